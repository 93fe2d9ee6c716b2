/// \file
/// \brief What endpoints have said of themselves in their answers: limits, cooldowns, leaving.
/// \details Keeps each notice with the life of the endpoint that it holds for, since when and until
/// when. A notice of an earlier life says nothing of a later one. Decides nothing about requests.
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

/// \brief A time in which an endpoint wants nothing from this entry VM.
struct Cooldown
{
    TimePoint since_{}; ///< It has lasted without a gap since then.
    TimePoint until_{};

    [[nodiscard]] Duration left(TimePoint now) const { return until_ - now; }
};

/// \brief What an entry VM tells its peers of an endpoint that turned it away.
struct CooldownUpdate
{
    EndpointIncarnation endpoint_;
    Duration left_{};

    friend bool operator==(const CooldownUpdate &, const CooldownUpdate &) = default;
};

/// \brief Adds \p from to \p into; of two that tell of one endpoint the longer one stays.
/// \param age since \p from was told.
void mergeUpdates(std::vector<CooldownUpdate> &into, const std::vector<CooldownUpdate> &from,
                  Duration age);

/// \brief The answer that notices came with.
struct AnswerOrigin
{
    EndpointIncarnation endpoint_;
    TimePoint sentAt_{};        ///< Of the request that is answered.
    bool mayOmitLimit_ = false; ///< That a limit is not named does not end it.
};

/// \brief Notices of all endpoints; belongs to the gateway's thread.
/// \code
/// notices.take({endpoint, sentAt}, dialect.answerHead(head).notices_, now);
/// if (notices.cooldown(endpoint, now))
///     chooseAnother();
/// \endcode
class EndpointNotices
{
public:
    /// \param metrics outlives the notices.
    explicit EndpointNotices(GatewayMetrics &metrics);

    /// \brief Takes what an answer says; not for answers of another endpoint at the address.
    void take(const AnswerOrigin &origin, const AnswerNotices &notices, TimePoint now);

    /// \brief Called when an endpoint has said for the first time that it leaves.
    void onLeaving(std::function<void(const EndpointIncarnation &)> action)
    {
        leavingSeen_ = std::move(action);
    }

    /// \name Peers
    /// \{
    /// \brief Cooldowns that began or were named again here just now.
    [[nodiscard]] std::vector<CooldownUpdate> updates(TimePoint now) const;
    /// \brief Takes what a peer tells. An endpoint means only the entry VM that it turns away, so
    /// this is advice: it bars nothing.
    void take(const std::vector<CooldownUpdate> &updates, TimePoint now);
    /// \}

    /// \brief A send was withheld because of a notice; for the log.
    void countWithheld(const EndpointIncarnation &endpoint);

    /// \brief Drops what is over.
    void expire(TimePoint now);

    /// \name State
    /// \{
    [[nodiscard]] EndpointLimits &limits() { return limits_; }
    [[nodiscard]] const EndpointLimits &limits() const { return limits_; }
    /// \brief The cooldown in force; nothing if there is none.
    [[nodiscard]] std::optional<Cooldown> cooldown(const EndpointIncarnation &endpoint,
                                                   TimePoint now) const;
    [[nodiscard]] bool isLeaving(const EndpointIncarnation &endpoint) const;
    /// \brief True if the endpoint has turned peers away and others should be tried first.
    [[nodiscard]] bool isDeprioritized(const EndpointIncarnation &endpoint, TimePoint now) const;
    /// \}

private:
    /// A cooldown, and what became of requests meanwhile.
    struct Record
    {
        Cooldown cooldown_;
        TimePoint namedAt_{};      ///< Last.
        std::size_t refusals_ = 0; ///< Answers that asked for it.
        std::size_t withheld_ = 0; ///< Sends that were not made.
    };

    void takeLimit(const AnswerOrigin &origin, const AnswerNotices &notices, TimePoint now);
    void takeCooldown(const AnswerOrigin &origin, const AnswerNotices &notices, TimePoint now);
    void takeLeaving(const EndpointIncarnation &endpoint, TimePoint now);
    void end(const EndpointIncarnation &endpoint, const Record &record, TimePoint now) const;

    GatewayMetrics &metrics_;
    EndpointLimits limits_;
    std::map<EndpointIncarnation, Record> cooldowns_;
    std::map<EndpointIncarnation, TimePoint> advised_; ///< Until when peers are turned away.
    std::map<EndpointIncarnation, TimePoint> leaving_; ///< When they said so last.
    std::set<EndpointIncarnation> unreadable_;         ///< Already logged.
    std::function<void(const EndpointIncarnation &)> leavingSeen_;
};

} // namespace cardamombay::serving
