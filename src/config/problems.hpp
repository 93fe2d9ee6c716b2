/// \file
/// \brief Collects what is wrong with an input, so that one check shows all of it.
#pragma once

#include <cardamombay/core/error.hpp>

#include <string>
#include <vector>

namespace cardamombay::config::impl {

/// \brief Problems of one or several files.
class Problems
{
public:
    /// \brief Adds a problem; \p key is the whole dotted key, empty if none is meant.
    void add(SourcePosition position, std::string key, std::string problem, std::string remedy)
    {
        items_.push_back(
            {std::move(position), std::move(key), std::move(problem), std::move(remedy)});
    }

    [[nodiscard]] bool isEmpty() const { return items_.empty(); }

    /// \brief The problems; files in the order of their first problem, lines rising in each.
    [[nodiscard]] std::vector<InvalidInput> sorted() const;

private:
    std::vector<InvalidInput> items_;
};

} // namespace cardamombay::config::impl
