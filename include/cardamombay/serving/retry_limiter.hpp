/// \file
/// \brief Keeps the retries of all entry VMs together within the budget of each service.
/// \details Decides whether an attempt may be repeated; the budget is divided into quotas, of which
/// each entry VM spends only its own and what others have transferred to it. Figures that peers
/// report serve logs and metrics only. Not thread-safe.
#pragma once

#include <cardamombay/serving/gateway_metrics.hpp>
#include <cardamombay/serving/quota_exchange.hpp>
#include <cardamombay/serving/retry_quota.hpp>

#include <map>

namespace cardamombay::serving {

/// \brief The retries that this entry VM may send.
class RetryLimiter final : public QuotaHolder
{
public:
    /// \param clock, metrics must outlive the limiter.
    RetryLimiter(Clock &clock, GatewayMetrics &metrics, Random random);

    /// \brief Sets the budget of the fleet.
    void setBound(const RetryBound &fleet);

    /// \brief Sets this entry VM's part of the fleet's reserve, 0 to 1. Initially 1.
    void setReservePart(double part) { reservePart_ = part; }

    /// \brief How long after its start, or after another entry VM has left, a process must not use
    /// the part of the reserve that another process may have used.
    [[nodiscard]] Duration reserveDelay() const { return RetryQuota::memory(fleet_); }

    /// \brief While true, this process spends only quota that it receives: the process before it
    /// may have spent all that both may spend together.
    void setBlocked(bool isBlocked) { isBlocked_ = isBlocked; }

    /// \brief Gives up the part of the reserve, since this process is about to end.
    void leave() { isLeaving_ = true; }

    /// \brief Adds what the previous process of this entry VM had counted \p age ago.
    void inherit(const QuotaReport &report, Duration age);

    /// \brief What this process has counted, to be reported to the peers.
    [[nodiscard]] QuotaReport report();

    /// \brief Retries since the last call of report().
    [[nodiscard]] std::size_t unreported() const { return unreported_; }

    /// \brief Gives quota for \p service to peers that ask for it, also before the first request.
    void addService(const ServiceName &service) { quotas_.try_emplace(service); }

    /// \brief Counts a request of a caller.
    void countRequest(const ServiceName &service);

    /// \brief Spends quota for one retry.
    /// \param request named in the log.
    /// \returns false if this entry VM has too little; peers are then asked for more.
    [[nodiscard]] bool take(const ServiceName &service, const RequestId &request);

    /// \brief True if quota for \p service may arrive soon.
    [[nodiscard]] bool awaitsQuota(const ServiceName &service) const
    {
        return exchange_.isHopeful(service);
    }

    /// \brief Counts of this entry VM in the last window, to be reported to the others.
    [[nodiscard]] std::map<ServiceName, RetryCounts> counts() const;

    /// \brief Sets the counts of the last window as last reported by the other entry VMs.
    /// \param oldestAt when the oldest of these reports arrived.
    void setPeerCounts(std::map<ServiceName, RetryCounts> counts, TimePoint oldestAt);

    [[nodiscard]] QuotaExchange &exchange() { return exchange_; }

    /// \brief Call every Gateway::sweepPeriod.
    void sweep();

    /// \name QuotaHolder
    /// \{
    [[nodiscard]] double giveQuota(const ServiceName &service, double wanted) override;
    void takeQuota(const ServiceName &service, double amount, TimePoint until) override;
    [[nodiscard]] Duration quotaLifetime() const override
    {
        return RetryQuota::transferLifetime(fleet_);
    }
    /// \}

private:
    [[nodiscard]] RetryBound ownBound() const;
    [[nodiscard]] double usedShare() const;
    void logDecision(const ServiceName &service, const RequestId &request, bool isTaken);

    Clock &clock_;
    GatewayMetrics &metrics_;
    QuotaExchange exchange_;
    RetryBound fleet_;
    double reservePart_ = 1;
    bool isBlocked_ = false;
    bool isLeaving_ = false;
    std::size_t unreported_ = 0;
    std::map<ServiceName, RetryQuota> quotas_;
    std::map<ServiceName, double> refused_; ///< Retries refused since the last sweep.
    std::map<ServiceName, TimePoint> refusalLoggedAt_;
    std::map<ServiceName, RetryCounts> peerCounts_;
    TimePoint peerCountsAt_{}; ///< When the oldest report in them arrived.
};

} // namespace cardamombay::serving
