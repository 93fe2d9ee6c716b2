#include "config/toml_reader.hpp"

#include "config/nearest_name.hpp"

#include <cardamombay/config/address_text.hpp>
#include <cardamombay/config/duration_text.hpp>

#include <algorithm>
#include <sstream>

namespace cardamombay::config::impl {

namespace {

constexpr const char *addressForm = "an IP number and port, such as \"10.1.0.11:8080\"";
constexpr const char *durationForm = "a whole number with unit ms, s, m or h, such as \"500ms\"";

SourcePosition positionOf(const toml::source_region &region, const std::string &file)
{
    return {file, region.begin.line, region.begin.column};
}

std::string typeName(const toml::node &node)
{
    std::ostringstream out;
    out << node.type();
    return out.str();
}

template<typename T>
std::string numberText(T value)
{
    std::ostringstream out;
    out << value;
    return out.str();
}

} // namespace

std::optional<toml::table> parseToml(std::string_view text, const std::string &file,
                                     Problems &problems)
{
    try {
        return cardamombay::impl::parseToml(text, file);
    } catch (const cardamombay::impl::TomlFault &fault) {
        problems.add(fault.position_, "", fault.description_,
                     "correct the TOML syntax at this place");
        return std::nullopt;
    }
}

SourcePosition positionOf(const toml::node &node, const std::string &file)
{
    return positionOf(node.source(), file);
}

SourcePosition positionOf(const toml::key &key, const std::string &file)
{
    return positionOf(key.source(), file);
}

TableReader::TableReader(const toml::table &table, std::string path, std::string file,
                         Problems &problems)
    : table_(table)
    , path_(std::move(path))
    , file_(std::move(file))
    , problems_(problems)
{
}

void TableReader::read(std::string_view key, std::string &target)
{
    const toml::node *node = find(key);
    if (!node)
        return;
    const auto value = node->value_exact<std::string>();
    if (!value)
        reportType(key, *node, "a text in quotes");
    else if (value->empty())
        report(key, "the text is empty", "give a value or remove the key");
    else
        target = *value;
}

void TableReader::read(std::string_view key, bool &target)
{
    const toml::node *node = find(key);
    if (!node)
        return;
    if (const auto value = node->value_exact<bool>())
        target = *value;
    else
        reportType(key, *node, "true or false");
}

void TableReader::read(std::string_view key, double &target, Range<double> range)
{
    const toml::node *node = find(key);
    if (!node)
        return;
    if (!node->is_number()) {
        reportType(key, *node, "a number");
        return;
    }
    const double value = node->value<double>().value_or(0);
    const bool isInRange = value >= range.least_ && value <= range.most_; // false for NaN
    if (isInRange)
        target = value;
    else
        report(key, numberText(value) + " is out of range",
               "give a number from " + numberText(range.least_) + " to " + numberText(range.most_));
}

void TableReader::read(std::string_view key, std::uint32_t &target, Range<std::uint32_t> range)
{
    const toml::node *node = find(key);
    if (!node)
        return;
    const auto value = node->value_exact<std::int64_t>();
    if (!value)
        reportType(key, *node, "a whole number");
    else if (*value < range.least_ || *value > range.most_)
        report(key, numberText(*value) + " is out of range",
               "give a whole number from " + numberText(range.least_) + " to "
                   + numberText(range.most_));
    else
        target = static_cast<std::uint32_t>(*value);
}

void TableReader::read(std::string_view key, Duration &target, Range<Duration> range)
{
    const toml::node *node = find(key);
    if (!node)
        return;
    const auto text = node->value_exact<std::string>();
    const auto value = text ? durationOf(*text) : std::nullopt;
    if (!value)
        reportType(key, *node, durationForm);
    else if (*value < range.least_ || *value > range.most_)
        report(key, "\"" + *text + "\" is out of range",
               "give a duration from " + textOf(range.least_) + " to " + textOf(range.most_));
    else
        target = *value;
}

void TableReader::read(std::string_view key, Address &target)
{
    const toml::node *node = find(key);
    if (!node)
        return;
    const auto text = node->value_exact<std::string>();
    if (const auto value = text ? addressOf(*text) : std::nullopt)
        target = *value;
    else
        reportType(key, *node, addressForm);
}

void TableReader::read(std::string_view key, std::vector<Address> &target)
{
    std::vector<std::string> texts;
    read(key, texts);
    std::vector<Address> addresses;
    for (const auto &text : texts) {
        const auto value = addressOf(text);
        if (!value) {
            report(key, "\"" + text + "\" is not an address",
                   std::string("write each address as ") + addressForm);
            return;
        }
        addresses.push_back(*value);
    }
    if (!addresses.empty())
        target = std::move(addresses);
}

void TableReader::read(std::string_view key, std::vector<std::string> &target)
{
    const toml::node *node = find(key);
    if (!node)
        return;
    const toml::array *array = node->as_array();
    if (!array) {
        reportType(key, *node, "a list of texts in quotes");
        return;
    }
    std::vector<std::string> texts;
    for (const auto &item : *array) {
        const auto text = item.value_exact<std::string>();
        if (!text || text->empty()) {
            reportType(key, item, "texts in quotes, none empty");
            return;
        }
        texts.push_back(*text);
    }
    target = std::move(texts);
}

void TableReader::readChoice(std::string_view key, std::string &target,
                             std::vector<std::string> choices)
{
    std::string value;
    read(key, value);
    if (value.empty())
        return;
    if (std::find(choices.begin(), choices.end(), value) != choices.end()) {
        target = value;
        return;
    }
    std::string list;
    for (const auto &choice : choices)
        list += (list.empty() ? "\"" : ", \"") + choice + "\"";
    report(key, "\"" + value + "\" is not one of the choices", "give one of " + list);
}

const toml::table *TableReader::table(std::string_view key)
{
    const toml::node *node = find(key);
    if (!node)
        return nullptr;
    const toml::table *found = node->as_table();
    if (!found)
        reportType(key, *node, "a table");
    return found;
}

std::vector<const toml::table *> TableReader::tables(std::string_view key)
{
    std::vector<const toml::table *> found;
    const toml::node *node = find(key);
    if (!node)
        return found;
    const toml::array *array = node->as_array();
    const bool isTables = array
                          && std::all_of(array->begin(), array->end(),
                                         [](const toml::node &item) { return item.is_table(); });
    if (!isTables) {
        reportType(key, *node, "tables headed [[" + fullKey(key) + "]]");
        return found;
    }
    for (const auto &item : *array)
        found.push_back(item.as_table());
    return found;
}

TableReader TableReader::child(const toml::table &table, std::string_view key) const
{
    return {table, fullKey(key), file_, problems_};
}

void TableReader::require(std::string_view key, const std::string &remedy)
{
    if (!table_.contains(key))
        report(key, "the key is missing", remedy);
}

void TableReader::report(std::string_view key, std::string problem, std::string remedy)
{
    const toml::node *node = table_.get(key);
    const toml::source_region &region = node ? node->source() : table_.source();
    SourcePosition position = positionOf(region, file_);
    position.line_ = std::max(position.line_, 1U); // an empty root has no place of its own
    problems_.add(position, fullKey(key), std::move(problem), std::move(remedy));
}

void TableReader::refuse(std::string_view key, std::string problem, std::string remedy)
{
    if (!table_.contains(key))
        return;
    refused_.emplace_back(key);
    report(key, std::move(problem), std::move(remedy));
}

void TableReader::finish()
{
    for (const auto &[key, node] : table_) {
        const auto isIn = [&key = key](const std::vector<std::string> &names) {
            return std::find(names.begin(), names.end(), key.str()) != names.end();
        };
        if (isIn(known_) || isIn(refused_))
            continue;
        problems_.add(positionOf(key, file_), fullKey(key.str()), "unknown key",
                      remedyForUnknown(key.str(), known_));
    }
}

bool TableReader::holds(std::string_view key, std::int64_t value) const
{
    const toml::node *node = table_.get(key);
    return node && node->value_exact<std::int64_t>() == value;
}

std::string TableReader::fullKey(std::string_view key) const
{
    return path_.empty() ? std::string(key) : path_ + "." + std::string(key);
}

const toml::node *TableReader::find(std::string_view key)
{
    known_.emplace_back(key);
    return table_.get(key);
}

void TableReader::reportType(std::string_view key, const toml::node &node,
                             const std::string &wanted)
{
    problems_.add(positionOf(node, file_), fullKey(key), "wrong value of type " + typeName(node),
                  "give " + wanted);
}

} // namespace cardamombay::config::impl
