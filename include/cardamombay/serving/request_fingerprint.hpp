/// \file
/// \brief Tells whether two requests ask for the same, whatever ids their attempts have.
#pragma once

#include <cardamombay/core/ids.hpp>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace cardamombay::serving {

/// \brief What makes a request the same as another one.
struct RequestContent
{
    std::string_view method_;
    std::string_view host_;
    std::string_view target_; ///< Path and query.
    TeamName team_;           ///< The caller; empty on routes without keys.
    std::string_view body_;
};

/// \brief Hash of a request's content; the same at all entry VMs.
/// \code
/// const auto fingerprint = fingerprintOf({"POST", "a.example", "/draft/7", team, body});
/// std::cout << fingerprint.text(); // 0f3c5a2e9d7b1846
/// \endcode
class RequestFingerprint
{
public:
    RequestFingerprint() = default;
    explicit RequestFingerprint(std::uint64_t value)
        : value_(value)
    {
    }

    [[nodiscard]] std::uint64_t value() const { return value_; }
    /// \brief Sixteen hexadecimal digits.
    [[nodiscard]] std::string text() const;
    /// \returns nothing if \p text is no fingerprint.
    [[nodiscard]] static std::optional<RequestFingerprint> parse(std::string_view text);

    friend auto operator<=>(const RequestFingerprint &, const RequestFingerprint &) = default;

private:
    std::uint64_t value_ = 0;
};

[[nodiscard]] RequestFingerprint fingerprintOf(const RequestContent &content);

} // namespace cardamombay::serving

/// \brief Makes fingerprints usable as keys of unordered containers; they are hashes already.
template<>
struct std::hash<cardamombay::serving::RequestFingerprint>
{
    std::size_t operator()(const cardamombay::serving::RequestFingerprint &request) const noexcept
    {
        return static_cast<std::size_t>(request.value());
    }
};
