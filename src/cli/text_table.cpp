#include "cli/text_table.hpp"

#include <algorithm>
#include <ostream>

namespace cardamombay::cli {

TextTable::TextTable(std::vector<std::string> header)
    : rows_{std::move(header)}
{
}

void TextTable::add(std::vector<std::string> cells)
{
    cells.resize(rows_.front().size());
    std::replace(cells.begin(), cells.end(), std::string(), std::string("-"));
    rows_.push_back(std::move(cells));
}

std::ostream &operator<<(std::ostream &out, const TextTable &table)
{
    std::vector<std::size_t> widths(table.rows_.front().size());
    for (const auto &row : table.rows_) {
        for (std::size_t i = 0; i < row.size(); ++i)
            widths[i] = std::max(widths[i], row[i].size());
    }
    for (const auto &row : table.rows_) {
        std::string line;
        for (std::size_t i = 0; i < row.size(); ++i) {
            line += row[i];
            if (i + 1 < row.size())
                line.append(widths[i] - row[i].size() + 2, ' ');
        }
        out << line << '\n';
    }
    return out;
}

} // namespace cardamombay::cli
