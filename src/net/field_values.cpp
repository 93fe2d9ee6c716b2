#include "net/field_values.hpp"

#include <boost/beast/core/string.hpp>

#include <algorithm>

namespace cardamombay::net::impl {

namespace {

constexpr std::string_view blanks = " \t";

std::string_view trimmed(std::string_view text)
{
    const auto begin = text.find_first_not_of(blanks);
    if (begin == std::string_view::npos)
        return {};
    return text.substr(begin, text.find_last_not_of(blanks) - begin + 1);
}

/// Appends the elements of \p list that are not empty.
void appendElements(std::vector<std::string_view> &elements, std::string_view list, char separator)
{
    while (!list.empty()) {
        const auto end = std::min(list.find(separator), list.size());
        if (const auto element = trimmed(list.substr(0, end)); !element.empty())
            elements.push_back(element);
        list.remove_prefix(std::min(end + 1, list.size()));
    }
}

/// True for a weight such as "q=0" or "q=0.000", which forbids a coding.
bool isZeroWeight(std::string_view parameter)
{
    return (parameter.starts_with("q=") || parameter.starts_with("Q="))
           && parameter.substr(2).find_first_not_of("0.") == std::string_view::npos;
}

} // namespace

std::string valueOf(std::span<const HttpField> fields, std::string_view name)
{
    std::string value;
    for (const auto &field : fields) {
        if (boost::beast::iequals(field.name_, name))
            value += (value.empty() ? "" : ",") + field.value_;
    }
    return value;
}

std::vector<std::string_view> elementsOf(std::span<const HttpField> fields, std::string_view name)
{
    std::vector<std::string_view> elements;
    for (const auto &field : fields) {
        if (boost::beast::iequals(field.name_, name))
            appendElements(elements, field.value_, ',');
    }
    return elements;
}

bool acceptsCoding(std::string_view accepted, std::string_view coding)
{
    if (boost::beast::iequals(coding, "identity"))
        return true;
    bool acceptsOthers = false;
    std::vector<std::string_view> elements;
    appendElements(elements, accepted, ',');
    for (const auto element : elements) {
        std::vector<std::string_view> parts; // A coding and its parameters.
        appendElements(parts, element, ';');
        if (parts.empty())
            continue;
        const bool isForbidden = std::any_of(parts.begin() + 1, parts.end(), isZeroWeight);
        if (boost::beast::iequals(parts.front(), coding))
            return !isForbidden;
        if (parts.front() == "*")
            acceptsOthers = !isForbidden;
    }
    return acceptsOthers;
}

} // namespace cardamombay::net::impl
