/// \file
/// \brief Seeded changes to texts of a corpus.
#pragma once

#include <cardamombay/core/random.hpp>

#include <string>
#include <vector>

namespace cardamombay::fuzz {

/// \brief Makes new texts from a corpus; the same seed gives the same texts.
class Mutator
{
public:
    Mutator(std::vector<std::string> corpus, std::uint64_t seed);

    /// \brief A text of the corpus after a few random changes.
    [[nodiscard]] std::string next();

private:
    [[nodiscard]] const std::string &pick();
    [[nodiscard]] std::size_t place(const std::string &text);
    void change(std::string &text);
    void insertToken(std::string &text);
    void replaceNumber(std::string &text);
    void copyWithin(std::string &text);
    void splice(std::string &text);

    std::vector<std::string> corpus_;
    Random random_;
};

} // namespace cardamombay::fuzz
