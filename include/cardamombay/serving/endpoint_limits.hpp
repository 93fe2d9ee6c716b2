/// \file
/// \brief Request rate limits announced by endpoints in their responses.
/// \details A limit applies to all entry VMs together. Keeps the latest announcement of each
/// endpoint, whichever entry VM received it. Makes no decisions about requests.
#pragma once

#include <cardamombay/core/time.hpp>
#include <cardamombay/serving/send_rates.hpp>

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace cardamombay::serving {

/// \brief Where a limit was learned from.
enum class LimitSource {
    Answer, ///< The endpoint, in a response to this entry VM.
    Peer,   ///< Another entry VM.
};

/// \brief Name used in logs.
[[nodiscard]] std::string_view nameOf(LimitSource source);

/// \brief Known rate limit of one endpoint.
struct EndpointLimit
{
    double perSecond_ = 0; ///< Requests per second from all entry VMs.
    TimePoint since_{};    ///< When the endpoint was first limited.
    TimePoint statedAt_{}; ///< When the endpoint last announced it.
    LimitSource source_ = LimitSource::Answer;
};

/// \brief Update about an endpoint's limit, exchanged between entry VMs.
struct LimitUpdate
{
    EndpointIncarnation endpoint_;
    std::optional<double> perSecond_; ///< No value if the limit has ended.
    Duration age_{};                  ///< Time since the endpoint's announcement.

    friend bool operator==(const LimitUpdate &, const LimitUpdate &) = default;
};

/// \brief Merges \p from into \p into, keeping the most recent update for each endpoint.
void mergeUpdates(std::vector<LimitUpdate> &into, const std::vector<LimitUpdate> &from);

/// \brief Formats a rate for logs with three significant digits.
[[nodiscard]] std::string textOf(double perSecond);

/// \brief Limits known to one entry VM. Not thread-safe: used on the gateway's thread only.
/// \code
/// limits.recordLimit(endpoint, 3.4, now);
/// if (const auto limit = limits.find(endpoint))
///     reserve(limit->perSecond_);
/// \endcode
class EndpointLimits final : public SendRates
{
public:
    /// \name Responses of endpoints
    /// \{
    void recordLimit(const EndpointIncarnation &endpoint, double perSecond, TimePoint now);
    /// \brief Records a response without a limit. A limit announced after the request was sent
    /// stays in force.
    /// \param sentAt when the answered request was sent.
    void recordNoLimit(const EndpointIncarnation &endpoint, TimePoint sentAt, TimePoint now);
    /// \brief Records a malformed limit; a known limit stays in force.
    void recordUnreadable(const EndpointIncarnation &endpoint);
    /// \}

    /// \name Peers
    /// \{
    /// \brief Limits recently received from endpoints, and those that this entry VM always reports.
    /// \param isReported true for endpoints that are always reported.
    [[nodiscard]] std::vector<LimitUpdate>
    updates(TimePoint now, const std::function<bool(const EndpointIncarnation &)> &isReported);
    /// \brief Applies updates received from a peer.
    void take(const std::vector<LimitUpdate> &updates, TimePoint now);
    /// \}

    /// \brief Removes limits that have not been announced recently.
    void expire(TimePoint now);

    /// \brief The limit in force, if any.
    [[nodiscard]] std::optional<EndpointLimit> find(const EndpointIncarnation &endpoint) const;
    [[nodiscard]] std::optional<double>
    perSecond(const EndpointIncarnation &endpoint) const override;

private:
    struct Ended
    {
        TimePoint at_{}; ///< The endpoint announced it then or later.
        LimitSource source_ = LimitSource::Answer;
    };

    void set(const EndpointIncarnation &endpoint, double perSecond, TimePoint statedAt,
             LimitSource source, TimePoint now);
    void end(const EndpointIncarnation &endpoint, TimePoint at, LimitSource source, TimePoint now);

    std::map<EndpointIncarnation, EndpointLimit> limits_;
    std::map<EndpointIncarnation, Ended> ended_;      ///< Recently ended limits.
    std::optional<EndpointIncarnation> lastReported_; ///< Round-robin position for the next digest.
    /// Endpoints whose malformed limits were already logged.
    std::set<EndpointIncarnation> unreadable_;
};

} // namespace cardamombay::serving
