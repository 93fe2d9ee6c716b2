/// \file
/// \brief A workload file: who asks for what, how often, over a part of the day.
#pragma once

#include <cardamombay/core/result.hpp>
#include <cardamombay/core/time.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cardamombay::load {

/// \brief Bounds of a size, drawn log-uniformly between them.
struct SizeRange
{
    std::uint32_t least_ = 1;
    std::uint32_t most_ = 1;

    friend bool operator==(const SizeRange &, const SizeRange &) = default;
};

/// \brief Rate of arrivals at a time of the day; linear between two points.
struct ProfilePoint
{
    Duration at_{};   ///< Since midnight.
    double rate_ = 0; ///< Requests a second, in the time of the run.

    friend bool operator==(const ProfilePoint &, const ProfilePoint &) = default;
};

/// \brief A team and its share of the arrivals.
struct WorkloadTeam
{
    std::string name_;  ///< Sent as X-Team unless there is a token.
    std::string token_; ///< Sent as bearer token.
    double share_ = 1;

    friend bool operator==(const WorkloadTeam &, const WorkloadTeam &) = default;
};

/// \brief What a kind of request is.
enum class RequestKind { Completion, Chat, Plain };

/// \brief One kind of request and its share of the arrivals.
struct RequestClass
{
    std::string name_;
    RequestKind kind_ = RequestKind::Completion;
    double share_ = 1;
    std::string service_; ///< Completions and chats: field "model".
    bool isStream_ = true;
    std::uint32_t prefixes_ = 1;    ///< Prompt prefixes in use; number k is drawn as 1 / k.
    std::uint32_t prefixWords_ = 0; ///< Length of each.
    SizeRange promptWords_{8, 64};  ///< Behind the prefix.
    SizeRange tokens_{16, 128};
    std::string method_ = "GET"; ///< Plain calls.
    std::string path_ = "/";
    SizeRange bodyBytes_{0, 0};
    bool isNonIdempotent_ = false; ///< Marked so.
    bool isKeyed_ = false;         ///< Carries an idempotency key of its own.
    Duration deadline_{};          ///< Sent as X-Deadline-Ms; zero sends none.

    friend bool operator==(const RequestClass &, const RequestClass &) = default;
};

/// \brief A workload, checked.
struct Workload
{
    std::string name_;
    std::uint64_t seed_ = 1;
    Duration duration_ = std::chrono::seconds(60); ///< The profile is stretched over this.
    std::uint32_t maxRequests_ = 20'000;
    std::uint32_t maxInFlight_ = 2'000;
    Duration timeout_ = std::chrono::seconds(60);
    std::vector<ProfilePoint> profile_;
    std::vector<WorkloadTeam> teams_;
    std::vector<RequestClass> requests_;

    friend bool operator==(const Workload &, const Workload &) = default;
};

/// \brief Reads a workload from TOML \p text.
/// \returns the workload, or InvalidInput for the first problem in order of lines.
[[nodiscard]] Result<Workload> parseWorkload(std::string_view text, const std::string &file);

/// \brief Reads a workload from a file.
[[nodiscard]] Result<Workload> loadWorkload(const std::string &file);

} // namespace cardamombay::load
