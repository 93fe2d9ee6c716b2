#include "cli/text_diff.hpp"

#include <algorithm>

namespace cardamombay::cli {

namespace {

constexpr std::size_t contextLines = 3;

std::vector<std::string_view> splitLines(std::string_view text)
{
    std::vector<std::string_view> lines;
    while (!text.empty()) {
        const auto end = text.find('\n');
        lines.push_back(text.substr(0, end));
        text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
    }
    return lines;
}

/// Lengths of the longest common subsequence of the rests of both texts.
class CommonLengths
{
public:
    CommonLengths(const std::vector<std::string_view> &a, const std::vector<std::string_view> &b)
        : width_(b.size() + 1)
        , lengths_((a.size() + 1) * width_)
    {
        for (std::size_t i = a.size(); i-- > 0;) {
            for (std::size_t j = b.size(); j-- > 0;) {
                const auto longer = std::max(at(i + 1, j), at(i, j + 1));
                lengths_[i * width_ + j] = a[i] == b[j] ? at(i + 1, j + 1) + 1 : longer;
            }
        }
    }

    [[nodiscard]] std::size_t at(std::size_t i, std::size_t j) const
    {
        return lengths_[i * width_ + j];
    }

private:
    std::size_t width_;
    std::vector<std::size_t> lengths_;
};

std::vector<std::string> allLines(std::string_view before, std::string_view after)
{
    const auto a = splitLines(before);
    const auto b = splitLines(after);
    const CommonLengths lengths(a, b);
    std::vector<std::string> lines;
    std::size_t i = 0;
    std::size_t j = 0;
    while (i < a.size() || j < b.size()) {
        const bool isCommon = i < a.size() && j < b.size() && a[i] == b[j];
        const bool isRemoved
            = i < a.size() && (j == b.size() || lengths.at(i + 1, j) >= lengths.at(i, j + 1));
        if (isCommon) {
            lines.push_back("  " + std::string(a[i++]));
            ++j;
        } else if (isRemoved) {
            lines.push_back("- " + std::string(a[i++]));
        } else {
            lines.push_back("+ " + std::string(b[j++]));
        }
    }
    return lines;
}

bool isNearChange(const std::vector<std::string> &lines, std::size_t place)
{
    const std::size_t first = place - std::min(place, contextLines);
    const std::size_t last = std::min(place + contextLines + 1, lines.size());
    for (std::size_t i = first; i < last; ++i) {
        if (lines[i][0] != ' ')
            return true;
    }
    return false;
}

} // namespace

std::vector<std::string> diffLines(std::string_view before, std::string_view after)
{
    if (before == after)
        return {};
    const auto lines = allLines(before, after);
    std::vector<std::string> shown;
    bool isGap = false;
    for (std::size_t i = 0; i < lines.size(); ++i) {
        const bool isShown = isNearChange(lines, i);
        if (isShown)
            shown.push_back(lines[i]);
        else if (!isGap)
            shown.emplace_back("...");
        isGap = !isShown;
    }
    return shown;
}

} // namespace cardamombay::cli
