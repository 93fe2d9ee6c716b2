/// \file
/// \brief Identifies requests with the same content, independent of their request ids.
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

/// \brief The parts of a request that determine its fingerprint.
struct RequestContent
{
    std::string_view method_;
    std::string_view host_;
    std::string_view target_; ///< Path and query.
    TeamName team_;           ///< The caller; empty on routes without keys.
    std::string_view body_;
};

/// \brief Hash of a request's content; identical on all entry VMs.
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
    /// \brief Returns the value as 16 hexadecimal digits.
    [[nodiscard]] std::string text() const;
    /// \returns std::nullopt if \p text is not a valid fingerprint.
    [[nodiscard]] static std::optional<RequestFingerprint> parse(std::string_view text);

    friend auto operator<=>(const RequestFingerprint &, const RequestFingerprint &) = default;

private:
    std::uint64_t value_ = 0;
};

[[nodiscard]] RequestFingerprint fingerprintOf(const RequestContent &content);

} // namespace cardamombay::serving

/// \brief Hash support for unordered containers; the value is already a hash.
template<>
struct std::hash<cardamombay::serving::RequestFingerprint>
{
    std::size_t operator()(const cardamombay::serving::RequestFingerprint &request) const noexcept
    {
        return static_cast<std::size_t>(request.value());
    }
};
