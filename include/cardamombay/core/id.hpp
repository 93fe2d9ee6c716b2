/// \file
/// \brief Strong identifier types: text and number identifiers that do not mix.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <string_view>
#include <utility>

namespace cardamombay {

/// \brief Text identifier; \p Tag keeps kinds apart.
/// \code
/// const VmId vm{"vm-21"};
/// std::cout << vm; // vm-21
/// \endcode
template<typename Tag>
class TextId
{
public:
    TextId() = default;
    explicit TextId(std::string text)
        : text_(std::move(text))
    {
    }
    explicit TextId(std::string_view text)
        : text_(text)
    {
    }
    explicit TextId(const char *text)
        : text_(text)
    {
    }

    [[nodiscard]] const std::string &text() const { return text_; }
    [[nodiscard]] bool isEmpty() const { return text_.empty(); }

    friend auto operator<=>(const TextId &, const TextId &) = default;
    friend bool operator==(const TextId &, const TextId &) = default;
    friend std::ostream &operator<<(std::ostream &out, const TextId &id) { return out << id.text_; }

private:
    std::string text_;
};

/// \brief Number that only rises; \p Tag keeps kinds apart. Zero means none yet.
template<typename Tag>
class NumberId
{
public:
    constexpr NumberId() = default;
    constexpr explicit NumberId(std::uint64_t value)
        : value_(value)
    {
    }

    [[nodiscard]] constexpr std::uint64_t value() const { return value_; }
    [[nodiscard]] constexpr bool isNone() const { return value_ == 0; }
    [[nodiscard]] constexpr NumberId next() const { return NumberId(value_ + 1); }

    friend constexpr auto operator<=>(const NumberId &, const NumberId &) = default;
    friend constexpr bool operator==(const NumberId &, const NumberId &) = default;
    friend std::ostream &operator<<(std::ostream &out, NumberId id) { return out << id.value_; }

private:
    std::uint64_t value_ = 0;
};

} // namespace cardamombay

template<typename Tag>
struct std::hash<cardamombay::TextId<Tag>>
{
    std::size_t operator()(const cardamombay::TextId<Tag> &id) const noexcept
    {
        return std::hash<std::string>{}(id.text());
    }
};

template<typename Tag>
struct std::hash<cardamombay::NumberId<Tag>>
{
    std::size_t operator()(const cardamombay::NumberId<Tag> &id) const noexcept
    {
        return std::hash<std::uint64_t>{}(id.value());
    }
};
