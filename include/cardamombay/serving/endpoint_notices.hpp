/// \file
/// \brief Rate limits, cooldowns and shutdown notices announced by endpoints in their responses.
/// \details Each notice applies to one incarnation of an endpoint and is stored with its start and
/// end; it does not carry over to a later incarnation. Makes no decisions about requests.
#pragma once

#include <cardamombay/serving/answer_notices.hpp>
#include <cardamombay/serving/endpoint_limits.hpp>
#include <cardamombay/serving/gateway_metrics.hpp>

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace cardamombay::serving {

/// \brief A period in which an endpoint accepts nothing from this entry VM.
struct Cooldown
{
    TimePoint since_{}; ///< Start of the uninterrupted cooldown.
    TimePoint until_{};

    [[nodiscard]] Duration left(TimePoint now) const { return until_ - now; }
};

/// \brief Tells peers that an endpoint has put the sender into a cooldown.
struct CooldownUpdate
{
    EndpointIncarnation endpoint_;
    Duration left_{};

    friend bool operator==(const CooldownUpdate &, const CooldownUpdate &) = default;
};

/// \brief Merges \p from into \p into, keeping the longer cooldown for each endpoint.
/// \param age time since \p from was sent.
void mergeUpdates(std::vector<CooldownUpdate> &into, const std::vector<CooldownUpdate> &from,
                  Duration age);

/// \brief The response that carried the notices.
struct AnswerOrigin
{
    EndpointIncarnation endpoint_;
    TimePoint sentAt_{};        ///< When the answered request was sent.
    bool mayOmitLimit_ = false; ///< A missing limit does not end a known one.
};

/// \brief Notices of all endpoints. Not thread-safe: used on the gateway's thread only.
/// \code
/// notices.take({endpoint, sentAt}, dialect.answerHead(head).notices_, now);
/// if (notices.cooldown(endpoint, now))
///     chooseAnother();
/// \endcode
class EndpointNotices
{
public:
    /// \param metrics must outlive this object.
    explicit EndpointNotices(GatewayMetrics &metrics);

    /// \brief Applies the notices of a response. Not for responses from another endpoint at the
    /// same address.
    void take(const AnswerOrigin &origin, const AnswerNotices &notices, TimePoint now);

    /// \brief Sets the callback for an endpoint's first shutdown notice.
    void onLeaving(std::function<void(const EndpointIncarnation &)> action)
    {
        leavingCallback_ = std::move(action);
    }

    /// \name Peers
    /// \{
    /// \brief Cooldowns recently started or renewed at this entry VM.
    [[nodiscard]] std::vector<CooldownUpdate> updates(TimePoint now) const;
    /// \brief Applies updates from a peer. A cooldown applies only to the entry VM that was
    /// refused, so here it only lowers the endpoint's priority.
    void take(const std::vector<CooldownUpdate> &updates, TimePoint now);
    /// \}

    /// \brief Counts a send that was withheld because of a notice.
    void countWithheld(const EndpointIncarnation &endpoint);

    /// \brief Removes expired notices.
    void expire(TimePoint now);

    /// \name State
    /// \{
    [[nodiscard]] EndpointLimits &limits() { return limits_; }
    [[nodiscard]] const EndpointLimits &limits() const { return limits_; }
    /// \brief The cooldown in force, if any.
    [[nodiscard]] std::optional<Cooldown> cooldown(const EndpointIncarnation &endpoint,
                                                   TimePoint now) const;
    [[nodiscard]] bool isLeaving(const EndpointIncarnation &endpoint) const;
    /// \brief True if the endpoint has refused peers, so that others should be tried first.
    [[nodiscard]] bool isDeprioritized(const EndpointIncarnation &endpoint, TimePoint now) const;
    /// \}

private:
    /// A cooldown with its request counts.
    struct Record
    {
        Cooldown cooldown_;
        TimePoint lastNamedAt_{};  ///< Last.
        std::size_t refusals_ = 0; ///< Responses that requested the cooldown.
        std::size_t withheld_ = 0; ///< Sends that were withheld.
    };

    void takeLimit(const AnswerOrigin &origin, const AnswerNotices &notices, TimePoint now);
    void takeCooldown(const AnswerOrigin &origin, const AnswerNotices &notices, TimePoint now);
    void takeLeaving(const EndpointIncarnation &endpoint, TimePoint now);
    void logCooldownEnd(const EndpointIncarnation &endpoint, const Record &record,
                        TimePoint now) const;

    GatewayMetrics &metrics_;
    EndpointLimits limits_;
    std::map<EndpointIncarnation, Record> cooldowns_;
    std::map<EndpointIncarnation, TimePoint>
        deprioritizedUntil_;                           ///< End of cooldowns reported by peers.
    std::map<EndpointIncarnation, TimePoint> leaving_; ///< Time of the latest shutdown notice.
    /// Endpoints whose malformed cooldowns were already logged.
    std::set<EndpointIncarnation> unreadable_;
    std::function<void(const EndpointIncarnation &)> leavingCallback_;
};

} // namespace cardamombay::serving
