/// \file
/// \brief Writing and reading the fields of JSON arrays; internal to the module.
#pragma once

#include <cardamombay/core/time.hpp>

#include <json/value.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <utility>

namespace cardamombay::rpc::impl {

/// Longer ages are cut to this one; it also keeps the arithmetic of durations from overflowing.
constexpr std::int64_t longestMilliseconds = 10LL * 24 * 3600 * 1000;

/// Writes the fields of one JSON array, in order.
class ArrayWriter
{
public:
    ArrayWriter()
        : array_(Json::arrayValue)
    {
    }

    ArrayWriter &add(const std::string &text) { return append(Json::Value(text)); }
    ArrayWriter &add(std::uint64_t number) { return append(Json::Value(Json::UInt64(number))); }
    /// Rounds up: nothing may look younger than it is.
    ArrayWriter &addAge(Duration age)
    {
        const auto whole = std::chrono::ceil<std::chrono::milliseconds>(age).count();
        return add(
            static_cast<std::uint64_t>(std::clamp<std::int64_t>(whole, 0, longestMilliseconds)));
    }
    ArrayWriter &addHold(Duration hold)
    {
        const auto whole = toMilliseconds(hold);
        return add(
            static_cast<std::uint64_t>(std::clamp<std::int64_t>(whole, 0, longestMilliseconds)));
    }
    ArrayWriter &append(Json::Value value)
    {
        array_.append(std::move(value));
        return *this;
    }
    [[nodiscard]] Json::Value take() { return std::move(array_); }

private:
    Json::Value array_;
};

/// Reads the fields of one JSON array, in order; a missing or wrong field throws.
class ArrayReader
{
public:
    explicit ArrayReader(const Json::Value &array)
        : array_(array)
    {
        if (!array.isArray())
            throw std::runtime_error("an array is expected");
    }

    [[nodiscard]] bool isAtEnd() const { return next_ >= array_.size(); }
    const Json::Value &value()
    {
        if (isAtEnd())
            throw std::runtime_error("an array is too short");
        return array_[next_++];
    }
    std::string text()
    {
        const Json::Value &field = value();
        if (!field.isString())
            throw std::runtime_error("a string is expected");
        return field.asString();
    }
    std::uint64_t number(std::uint64_t bound = UINT64_MAX)
    {
        const Json::Value &field = value();
        if (!field.isUInt64() || field.type() == Json::realValue || field.asUInt64() > bound)
            throw std::runtime_error("a whole number in range is expected");
        return field.asUInt64();
    }
    std::uint32_t small() { return static_cast<std::uint32_t>(number(UINT32_MAX)); }
    bool flag() { return number(1) != 0; }
    Duration duration()
    {
        const auto count = std::min<std::uint64_t>(number(), longestMilliseconds);
        return std::chrono::milliseconds(count);
    }
    template<typename Id>
    Id textId()
    {
        return Id(text());
    }
    /// Numbers that rise get one added here and there; the upper half is refused.
    template<typename Id>
    Id numberId()
    {
        return Id(number(INT64_MAX));
    }
    template<typename Enum>
    Enum choice(Enum last)
    {
        return static_cast<Enum>(number(static_cast<std::uint64_t>(last)));
    }

private:
    const Json::Value &array_;
    Json::ArrayIndex next_ = 0;
};

} // namespace cardamombay::rpc::impl
