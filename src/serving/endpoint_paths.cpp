#include <cardamombay/serving/endpoint_paths.hpp>

#include "serving/log_events.hpp"

#include <cardamombay/log/log.hpp>

#include <algorithm>
#include <functional>
#include <utility>

namespace cardamombay::serving {

namespace {

/// Fewer lost paths are as likely due to the endpoints.
constexpr std::size_t minLostPaths = 2;
/// Lost paths to endpoints that other entry VMs hear. A single one may be due to an endpoint that
/// was silent for a moment.
constexpr std::size_t minConfirmedPaths = 2;

/// Endpoints that were heard within this time count as reachable until an attempt fails.
constexpr Duration heardPeriod = std::chrono::seconds(2);

/// Reports that arrive sooner may answer the inquiry of another entry VM, and cover data of the
/// last 250 ms.
constexpr Duration reportDelay = std::chrono::milliseconds(300);
/// After this time without a report the endpoints count as failed.
constexpr Duration maxReportWait = std::chrono::milliseconds(500);
/// So many losses in a short time are hardly due to the endpoints.
constexpr std::size_t sweepingLosses = 4;
constexpr std::size_t maxVerifications = 2;
constexpr Duration sweepingPeriod = std::chrono::milliseconds(250);
/// Peers are asked for longer: few of them may use the same endpoints.
constexpr Duration inquiryPeriod = std::chrono::seconds(2);

constexpr Duration probeInterval = std::chrono::milliseconds(300);
constexpr Duration probeTimeout = std::chrono::milliseconds(250);
/// Probes in a row, each to another endpoint, that end a partition. One may reach the only endpoint
/// that is reachable.
constexpr std::size_t probesToEnd = 3;

/// Paths on which nothing happened for so long are forgotten.
constexpr Duration pathLifetime = std::chrono::seconds(30);

std::string scopeText(const std::optional<ServiceName> &service)
{
    return service ? service->text() : "all";
}

} // namespace

/// Opens a connection without sending a request.
class EndpointPaths::Probe final : public net::UpstreamListener
{
public:
    Probe(net::Upstream &upstream, const Address &address)
        : call_(upstream.probe(address, probeTimeout, *this))
    {
    }

    [[nodiscard]] bool isConnected() const { return isConnected_; }
    [[nodiscard]] bool hasFailed() const { return hasFailed_; }

    bool onConnected() override
    {
        isConnected_ = true;
        return false;
    }
    void onHead(net::HttpResponse /*head*/) override {}
    void onData(std::string_view /*data*/) override {}
    void onEnd(std::string_view /*rest*/) override {}
    void onFailure(net::UpstreamFailure /*failure*/) override { hasFailed_ = true; }

private:
    bool isConnected_ = false;
    bool hasFailed_ = false;
    std::unique_ptr<net::UpstreamCall> call_;
};

EndpointPaths::EndpointPaths(net::Upstream &upstream, const EndpointWitness &witness)
    : upstream_(upstream)
    , witness_(witness)
{
}

EndpointPaths::~EndpointPaths() = default;

EndpointPaths::Path &EndpointPaths::pathOf(const PathTarget &target)
{
    const auto [place, isNew] = paths_.try_emplace(target.endpoint_);
    if (isNew) {
        place->second.service_ = target.service_;
        place->second.address_ = target.address_;
    }
    return place->second;
}

/// An attempt on an established connection may still receive data after new connections have
/// failed, so only later attempts show that the path is whole.
void EndpointPaths::heard(const PathTarget &target, TimePoint sentAt, TimePoint now)
{
    auto &path = pathOf(target);
    path.heardAt_ = now;
    if (path.lostAt_ && (path.failure_ == Failure::Silence || sentAt > *path.lostAt_))
        regain(target.endpoint_, path);
}

EndpointPaths::Path &EndpointPaths::lose(const PathTarget &target, Failure failure, TimePoint now)
{
    auto &path = pathOf(target);
    if (!path.lostAt_) {
        path.lostAt_ = now;
        path.failure_ = failure;
        path.isConfirmed_ = false;
    }
    path.failure_ = std::max(path.failure_, failure);
    if (partitionOf(path) != nullptr && exonerate_)
        exonerate_(target.endpoint_, path.address_);
    return path;
}

/// What others heard before the failure says nothing about it.
void EndpointPaths::noteConnectFailure(Path &path, TimePoint startedAt)
{
    if (path.failure_ != Failure::Connect || !path.isConfirmed_)
        path.connectFailedAt_ = startedAt;
    path.failure_ = Failure::Connect;
}

void EndpointPaths::connectFailed(const PathTarget &target, TimePoint startedAt, TimePoint now)
{
    noteConnectFailure(lose(target, Failure::Break, now), startedAt);
}

void EndpointPaths::connectRefused(const VmId &endpoint, TimePoint now)
{
    const auto found = paths_.find(endpoint);
    const bool isKnown = found != paths_.end() && found->second.lostAt_;
    if (isKnown && found->second.failure_ != Failure::Connect)
        noteConnectFailure(found->second, now);
}

void EndpointPaths::connectionBroke(const PathTarget &target, TimePoint now)
{
    lose(target, Failure::Break, now);
}

void EndpointPaths::stalled(const PathTarget &target, TimePoint now)
{
    lose(target, Failure::Silence, now);
}

void EndpointPaths::regain(const VmId &endpoint, Path &path)
{
    path.lostAt_.reset();
    if (partitionOf(path) != nullptr && exonerate_)
        exonerate_(endpoint, path.address_);
}

void EndpointPaths::forget(const VmId &endpoint)
{
    paths_.erase(endpoint);
}

void EndpointPaths::sweep(TimePoint now)
{
    sweptAt_ = now;
    dropEnded();
    if (isIdle())
        return;
    verifySilence();
    confirmLosses();
    review(fleet_, std::nullopt);
    for (const auto &[endpoint, path] : paths_)
        services_.try_emplace(path.service_);
    for (auto &[service, scope] : services_)
        review(scope, service);
    probe();
}

void EndpointPaths::dropEnded()
{
    const auto now = sweptAt_;
    std::erase_if(paths_, [this](const auto &one) {
        return one.second.lostAt_ && isListed_ && !isListed_(one.first);
    });
    if (now - expiredAt_ < pathLifetime / 10)
        return;
    expiredAt_ = now;
    std::erase_if(paths_, [now](const auto &one) {
        const auto &path = one.second;
        return now - std::max(path.heardAt_, path.lostAt_.value_or(path.heardAt_)) > pathLifetime;
    });
}

/// True if no path is lost and no loss awaits its end, as in nearly all sweeps.
bool EndpointPaths::isIdle() const
{
    const auto isCalm = [](const Scope &scope) { return !scope.suspectedAt_; };
    return isCalm(fleet_)
           && std::all_of(services_.begin(), services_.end(),
                          [&](const auto &one) { return isCalm(one.second); })
           && std::none_of(paths_.begin(), paths_.end(),
                           [](const auto &one) { return one.second.lostAt_.has_value(); });
}

void EndpointPaths::confirmLosses()
{
    const auto now = sweptAt_;
    for (auto &[endpoint, path] : paths_) {
        const bool isOpen = path.lostAt_ && path.failure_ == Failure::Connect && !path.isConfirmed_;
        const auto since = path.connectFailedAt_ + reportDelay;
        if (isOpen && now >= since)
            path.isConfirmed_ = witness_.wasHeardElsewhere(endpoint, since, now);
        if (isOpen && path.isConfirmed_ && heardElsewhere_)
            heardElsewhere_(endpoint);
    }
}

/// Widespread: since one of the losses, no more endpoints were heard than were lost from then on.
EndpointPaths::Extent EndpointPaths::extentOfLoss(const std::optional<ServiceName> &service,
                                                  bool isSilenceIncluded) const
{
    std::vector<const Path *> lost;
    std::vector<TimePoint> heardAt;
    const auto earliest = sweptAt_ - heardPeriod;
    for (const auto &[endpoint, path] : paths_) {
        if (service && path.service_ != *service)
            continue;
        if (path.isLost(isSilenceIncluded))
            lost.push_back(&path);
        else if (!path.lostAt_ && path.heardAt_ >= earliest)
            heardAt.push_back(path.heardAt_);
    }
    std::sort(lost.begin(), lost.end(),
              [](const Path *left, const Path *right) { return left->lostAt_ > right->lostAt_; });
    std::sort(heardAt.begin(), heardAt.end(), std::greater<>());
    auto result = Extent::Few;
    std::size_t beyondBreaks = 0;
    for (std::size_t count = 1; count <= lost.size(); ++count) {
        const auto &path = *lost[count - 1];
        beyondBreaks += path.failure_ == Failure::Break ? 0 : 1;
        const auto working = static_cast<std::size_t>(
            std::lower_bound(heardAt.begin(), heardAt.end(), *path.lostAt_, std::greater<>())
            - heardAt.begin());
        if (beyondBreaks < minLostPaths || count < working)
            continue;
        result = Extent::Widespread;
        if (count >= sweepingLosses && *lost.front()->lostAt_ - *path.lostAt_ <= sweepingPeriod)
            return Extent::Sweeping;
    }
    return result;
}

/// If many endpoints are silent, probes tell whether they still accept connections. Requests find
/// that out only once no connection that still looks whole is left.
void EndpointPaths::verifySilence()
{
    const auto now = sweptAt_;
    std::erase_if(verifications_, [&](const auto &one) {
        const auto &[endpoint, verification] = one;
        const bool isConnected = verification.probe_->isConnected();
        const bool hasFailed
            = verification.probe_->hasFailed() || now - verification.startedAt_ > probeTimeout;
        const auto found = paths_.find(endpoint);
        if (found != paths_.end() && found->second.lostAt_) {
            if (isConnected)
                regain(endpoint, found->second);
            else if (hasFailed)
                noteConnectFailure(found->second, verification.startedAt_);
        }
        return isConnected || hasFailed;
    });
    const auto lost = std::count_if(paths_.begin(), paths_.end(),
                                    [](const auto &one) { return one.second.lostAt_.has_value(); });
    const bool isLikely = static_cast<std::size_t>(lost) >= sweepingLosses
                          && extentOfLoss(std::nullopt, true) != Extent::Few;
    if (fleet_.isPartitioned() || !isLikely)
        return;
    for (auto &[endpoint, path] : paths_) {
        const bool isOpen = path.lostAt_ && path.failure_ == Failure::Silence
                            && now - path.verifiedAt_ > heardPeriod;
        if (!isOpen || verifications_.size() >= maxVerifications)
            continue;
        path.verifiedAt_ = now;
        verifications_[endpoint] = {std::make_unique<Probe>(upstream_, path.address_), now};
    }
}

void EndpointPaths::review(Scope &scope, const std::optional<ServiceName> &service)
{
    const auto now = sweptAt_;
    std::size_t lost = 0;
    std::size_t confirmed = 0;
    for (const auto &[endpoint, path] : paths_) {
        if (!path.isLost(false) || (service && path.service_ != *service))
            continue;
        ++lost;
        confirmed += path.isConfirmed_ ? 1 : 0;
    }
    const auto extent = lost < minLostPaths ? Extent::Few : extentOfLoss(service, false);
    if (lost < minLostPaths || (!scope.partitionedAt_ && extent == Extent::Few)) {
        // All lost endpoints have left meanwhile, or were heard again.
        if (const auto since = std::exchange(scope.partitionedAt_, std::nullopt))
            logState(event::pathsRestored, service, now - *since);
        scope.suspectedAt_.reset();
        scope.isSweeping_ = false;
        return;
    }
    scope.isSweeping_ = scope.isSweeping_ || extent == Extent::Sweeping;
    if (!scope.suspectedAt_)
        scope.suspectedAt_ = now;
    if (scope.partitionedAt_ || confirmed < minConfirmedPaths)
        return;
    scope.partitionedAt_ = scope.suspectedAt_;
    logState(event::pathsLost, service, now - *scope.suspectedAt_);
    for (const auto &[endpoint, path] : paths_) {
        if (path.isLost(true) && (!service || path.service_ == *service) && exonerate_)
            exonerate_(endpoint, path.address_);
    }
}

const EndpointPaths::Scope *EndpointPaths::partitionOf(const Path &path) const
{
    if (fleet_.isPartitioned())
        return &fleet_;
    const auto found = services_.find(path.service_);
    return found != services_.end() && found->second.isPartitioned() ? &found->second : nullptr;
}

bool EndpointPaths::isPartitionedFrom(const ServiceName &service) const
{
    const auto found = services_.find(service);
    return fleet_.isPartitioned() || (found != services_.end() && found->second.isPartitioned());
}

bool EndpointPaths::isPartitionedFromAny() const
{
    return fleet_.isPartitioned()
           || std::any_of(services_.begin(), services_.end(),
                          [](const auto &one) { return one.second.isPartitioned(); });
}

bool EndpointPaths::isAwaitingReports() const
{
    return witness_.hasReports(sweptAt_) && isSuspected(maxReportWait, true);
}

bool EndpointPaths::isSuspected(Duration within, bool isSweeping) const
{
    const auto applies = [=, earliest = sweptAt_ - within](const Scope &scope) {
        return scope.suspectedAt_ && !scope.isPartitioned() && *scope.suspectedAt_ >= earliest
               && (!isSweeping || scope.isSweeping_);
    };
    return applies(fleet_) || std::any_of(services_.begin(), services_.end(), [&](const auto &one) {
               return applies(one.second);
           });
}

bool EndpointPaths::isReachable(const Path &path) const
{
    const auto *partition = partitionOf(path);
    return partition == nullptr || (!path.lostAt_ && path.heardAt_ > *partition->partitionedAt_);
}

/// An endpoint that was never used counts as unreachable as well: nothing shows that its path was
/// spared.
bool EndpointPaths::isReachable(const VmId &endpoint) const
{
    const auto found = paths_.find(endpoint);
    return found == paths_.end() ? !fleet_.isPartitioned() : isReachable(found->second);
}

std::vector<VmId> EndpointPaths::unconfirmed() const
{
    std::vector<VmId> result;
    if (!isSuspected(inquiryPeriod, false))
        return result;
    for (const auto &[endpoint, path] : paths_) {
        if (path.isLost(false) && !path.isConfirmed_)
            result.push_back(endpoint);
    }
    return result;
}

PathCounts EndpointPaths::counts() const
{
    PathCounts result;
    for (const auto &[endpoint, path] : paths_) {
        if (!path.lostAt_) {
            result.working_ += sweptAt_ - path.heardAt_ <= heardPeriod ? 1 : 0;
            continue;
        }
        result.lost_ += path.isLost(false) ? 1 : 0;
        result.confirmed_ += path.isConfirmed_ ? 1 : 0;
    }
    return result;
}

void EndpointPaths::logState(std::string_view event, const std::optional<ServiceName> &service,
                             Duration since) const
{
    const auto paths = counts();
    log::warning(event, {{"service", scopeText(service)},
                         {"lost", std::to_string(paths.lost_)},
                         {"heard-elsewhere", std::to_string(paths.confirmed_)},
                         {"working", std::to_string(paths.working_)},
                         {"since-ms", std::to_string(toMilliseconds(since))}});
}

/// One connection at a time, after a failure not before the next interval. A probe that fails
/// reaches no endpoint.
void EndpointPaths::probe()
{
    const auto now = sweptAt_;
    if (probe_ && probe_->isConnected()) {
        probe_.reset();
        if (const auto found = paths_.find(probed_); found != paths_.end()) {
            found->second.heardAt_ = now;
            // That a path works which was never seen to fail says nothing about the others.
            probesAnswered_ += found->second.lostAt_ ? 1 : 0;
            regain(probed_, found->second);
        }
        if (probesAnswered_ >= probesToEnd)
            endPartitions();
        else
            startProbe();
        return;
    }
    if (probe_ && (probe_->hasFailed() || now - probedAt_ > probeTimeout)) {
        probe_.reset();
        probesAnswered_ = 0;
    }
    if (!probe_ && now - probedAt_ >= probeInterval)
        startProbe();
}

void EndpointPaths::startProbe()
{
    const auto isWanted = [this](const auto &one) { return !isReachable(one.second); };
    auto next = std::find_if(paths_.upper_bound(probed_), paths_.end(), isWanted);
    if (next == paths_.end())
        next = std::find_if(paths_.begin(), paths_.end(), isWanted);
    if (next == paths_.end()) {
        probesAnswered_ = 0;
        return;
    }
    probed_ = next->first;
    probedAt_ = sweptAt_;
    probe_ = std::make_unique<Probe>(upstream_, next->second.address_);
}

void EndpointPaths::endPartitions()
{
    const auto now = sweptAt_;
    probesAnswered_ = 0;
    for (auto &[endpoint, path] : paths_) {
        if (partitionOf(path) != nullptr && path.lostAt_)
            regain(endpoint, path);
    }
    if (const auto since = std::exchange(fleet_.partitionedAt_, std::nullopt))
        logState(event::pathsRestored, std::nullopt, now - *since);
    for (auto &[service, scope] : services_) {
        if (const auto since = std::exchange(scope.partitionedAt_, std::nullopt))
            logState(event::pathsRestored, service, now - *since);
    }
}

} // namespace cardamombay::serving
