/// \file
/// \brief Fields of the operators' JSON, read with defaults so that old and new releases talk.
#pragma once

#include <cardamombay/core/id.hpp>
#include <cardamombay/core/result.hpp>
#include <cardamombay/core/time.hpp>

#include <boost/json.hpp>

#include <cstdint>
#include <span>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cardamombay::admin::impl {

namespace json = boost::json;

/// \name Reading; an absent field gives the default, a wrong type throws
/// \{
inline std::string textAt(const json::object &object, std::string_view key)
{
    const json::value *value = object.if_contains(key);
    return value ? json::value_to<std::string>(*value) : std::string();
}

template<typename Id>
Id idAt(const json::object &object, std::string_view key)
{
    return Id(textAt(object, key));
}

inline std::uint64_t numberAt(const json::object &object, std::string_view key)
{
    const json::value *value = object.if_contains(key);
    return value ? json::value_to<std::uint64_t>(*value) : 0;
}

inline std::uint32_t countAt(const json::object &object, std::string_view key)
{
    const json::value *value = object.if_contains(key);
    return value ? json::value_to<std::uint32_t>(*value) : 0;
}

inline bool flagAt(const json::object &object, std::string_view key)
{
    const json::value *value = object.if_contains(key);
    return value && value->as_bool();
}

/// Longest duration a message may state; longer ones would not fit a Duration.
inline constexpr std::int64_t longestMilliseconds = std::int64_t{100} * 365 * 24 * 3600 * 1000;

inline Duration millisecondsAt(const json::object &object, std::string_view key)
{
    const json::value *value = object.if_contains(key);
    const auto count = value ? json::value_to<std::int64_t>(*value) : 0;
    if (count < 0 || count > longestMilliseconds)
        throw std::out_of_range(std::string(key));
    return std::chrono::milliseconds(count);
}

template<typename Item>
std::vector<Item> listAt(const json::object &object, std::string_view key,
                         Item (*read)(const json::object &))
{
    std::vector<Item> items;
    const json::value *value = object.if_contains(key);
    if (!value)
        return items;
    for (const auto &item : value->as_array())
        items.push_back(read(item.as_object()));
    return items;
}
/// \}

/// \brief A list of \p items, each written by \p write.
template<typename Item>
json::array listOf(std::span<const Item> items, json::object (*write)(const Item &))
{
    json::array list;
    for (const auto &item : items)
        list.push_back(write(item));
    return list;
}

/// \brief Reads a document with \p read; what is wrong with it becomes MalformedMessage.
template<typename Reader>
auto decode(std::string_view text, std::string_view source, Reader read)
    -> Result<decltype(read(std::declval<const json::object &>()))>
{
    try {
        return read(json::parse(text).as_object());
    } catch (const std::exception &error) {
        return Error(MalformedMessage{std::string(source), error.what()});
    }
}

} // namespace cardamombay::admin::impl
