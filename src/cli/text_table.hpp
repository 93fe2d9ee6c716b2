/// \file
/// \brief Tables with aligned columns for a terminal.
#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace cardamombay::cli {

/// \brief Collects rows, then writes them with columns as wide as their widest cell.
class TextTable
{
public:
    explicit TextTable(std::vector<std::string> header);

    /// \brief Adds a row; an empty cell is shown as "-".
    void add(std::vector<std::string> cells);

    friend std::ostream &operator<<(std::ostream &out, const TextTable &table);

private:
    std::vector<std::vector<std::string>> rows_;
};

} // namespace cardamombay::cli
