/// \file
/// \brief Limits of the rate of requests that endpoints name in their answers.
/// \details Such a limit holds for all entry VMs together. Keeps the newest word of each endpoint,
/// whichever entry VM heard it; decides nothing about requests.
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

/// \brief Who told of a limit.
enum class LimitSource {
    Answer, ///< The endpoint itself, in an answer to a request from here.
    Peer,   ///< Another entry VM.
};

/// \brief Short name for logs.
[[nodiscard]] std::string_view nameOf(LimitSource source);

/// \brief The limit of one endpoint, as known here.
struct EndpointLimit
{
    double perSecond_ = 0; ///< Requests from all entry VMs.
    TimePoint since_{};    ///< It has had a limit since then.
    TimePoint statedAt_{}; ///< The endpoint named it last then.
    LimitSource source_ = LimitSource::Answer;
};

/// \brief What an entry VM tells of an endpoint's limit.
struct LimitUpdate
{
    EndpointIncarnation endpoint_;
    std::optional<double> perSecond_; ///< Nothing if the limit has ended.
    Duration age_{};                  ///< Since the endpoint said so.

    friend bool operator==(const LimitUpdate &, const LimitUpdate &) = default;
};

/// \brief Adds \p from to \p into; of two that tell of one endpoint the younger one stays.
void mergeUpdates(std::vector<LimitUpdate> &into, const std::vector<LimitUpdate> &from);

/// \brief A rate for logs: three significant digits.
[[nodiscard]] std::string textOf(double perSecond);

/// \brief What one entry VM knows of limits; belongs to the gateway's thread.
/// \code
/// limits.stated(endpoint, 3.4, now);
/// if (const auto limit = limits.find(endpoint))
///     reserve(limit->perSecond_);
/// \endcode
class EndpointLimits final : public SendRates
{
public:
    /// \name Answers of endpoints
    /// \{
    void stated(const EndpointIncarnation &endpoint, double perSecond, TimePoint now);
    /// \brief An answer names no limit. One that was named while the answer was on its way stands.
    /// \param sentAt when the request was sent that it answers.
    void notStated(const EndpointIncarnation &endpoint, TimePoint sentAt, TimePoint now);
    /// \brief An answer names a limit that cannot be read; what was known stands.
    void unreadable(const EndpointIncarnation &endpoint);
    /// \}

    /// \name Peers
    /// \{
    /// \brief What was heard from endpoints just now, and what is known of those that this entry
    /// VM tells of in any case.
    /// \param isTold true for these.
    [[nodiscard]] std::vector<LimitUpdate>
    updates(TimePoint now, const std::function<bool(const EndpointIncarnation &)> &isTold);
    /// \brief Takes what a peer tells.
    void take(const std::vector<LimitUpdate> &updates, TimePoint now);
    /// \}

    /// \brief Drops what was not heard for long.
    void expire(TimePoint now);

    /// \brief The limit in force; nothing if there is none.
    [[nodiscard]] std::optional<EndpointLimit> find(const EndpointIncarnation &endpoint) const;
    [[nodiscard]] std::optional<double>
    perSecond(const EndpointIncarnation &endpoint) const override;

private:
    struct Ended
    {
        TimePoint at_{}; ///< The endpoint said so then, or later.
        LimitSource source_ = LimitSource::Answer;
    };

    void set(const EndpointIncarnation &endpoint, double perSecond, TimePoint statedAt,
             LimitSource source, TimePoint now);
    void end(const EndpointIncarnation &endpoint, TimePoint at, LimitSource source, TimePoint now);

    std::map<EndpointIncarnation, EndpointLimit> limits_;
    std::map<EndpointIncarnation, Ended> ended_;  ///< Lately.
    std::optional<EndpointIncarnation> lastTold_; ///< For the turn of the next ones.
    std::set<EndpointIncarnation> unreadable_;    ///< Already logged.
};

} // namespace cardamombay::serving
