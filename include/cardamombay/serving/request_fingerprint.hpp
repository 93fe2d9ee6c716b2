/// \file
/// \brief Identifies requests with the same content, and parts of prompts that requests share.
#pragma once

#include <cardamombay/core/ids.hpp>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <span>
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

/// \brief What a fingerprint identifies.
enum class FingerprintKind : std::uint8_t {
    Content,    ///< The content of a request, independent of its request id.
    PromptPart, ///< A part of a prompt, which requests with different contents may share.
};

/// \brief Identifies a request's content or a part of its prompt; identical on all entry VMs.
/// \code
/// const auto fingerprint = fingerprintOf({"POST", "a.example", "/draft/7", team, body});
/// std::cout << fingerprint.text(); // 0f3c5a2e9d7b1846
/// \endcode
class RequestFingerprint
{
public:
    RequestFingerprint() = default;
    explicit RequestFingerprint(std::uint64_t value,
                                FingerprintKind kind = FingerprintKind::Content)
        : value_(value)
        , kind_(kind)
    {
    }

    [[nodiscard]] std::uint64_t value() const { return value_; }
    [[nodiscard]] bool isPromptPart() const { return kind_ == FingerprintKind::PromptPart; }
    /// \brief Returns 16 hexadecimal digits for a content, and "part-" with as many as needed for
    /// a part of a prompt.
    [[nodiscard]] std::string text() const;
    /// \returns std::nullopt if \p text is not a valid fingerprint.
    [[nodiscard]] static std::optional<RequestFingerprint> parse(std::string_view text);

    friend auto operator<=>(const RequestFingerprint &, const RequestFingerprint &) = default;

private:
    std::uint64_t value_ = 0;
    FingerprintKind kind_ = FingerprintKind::Content;
};

[[nodiscard]] RequestFingerprint fingerprintOf(const RequestContent &content);

/// \brief Returns the fingerprints' texts, separated by commas.
[[nodiscard]] std::string textOf(std::span<const RequestFingerprint> fingerprints);

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
