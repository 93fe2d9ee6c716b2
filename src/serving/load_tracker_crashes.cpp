// Crashes part of LoadTracker: crashes observed here or reported by peers, and what refutes them.
#include <cardamombay/serving/load_tracker.hpp>

#include <algorithm>

namespace cardamombay::serving {

void LoadTracker::crashed(const EndpointIncarnation &endpoint, TimePoint now)
{
    crashed_.insert_or_assign(endpoint.id_, Crash{endpoint.startedAt_, now, now});
}

/// The report is repeated in several digests.
void LoadTracker::reportedCrashed(const EndpointIncarnation &endpoint, TimePoint now)
{
    const Crash crash{endpoint.startedAt_, now, now, true};
    const auto [place, isNew] = crashed_.try_emplace(endpoint.id_, crash);
    if (!isNew && place->second.startedAt_ != endpoint.startedAt_)
        place->second = crash;
    place->second.at_ = now;
    inquire(endpoint.id_, now);
}

void LoadTracker::inquire(const VmId &endpoint, TimePoint now)
{
    inquiries_.try_emplace(endpoint, Inquiry{now, now}).first->second.repeatedAt_ = now;
}

/// Other entry VMs have received data since the report.
void LoadTracker::refuteCrashes(std::span<const VmId> witnessed)
{
    for (const auto &endpoint : witnessed) {
        const auto found = crashed_.find(endpoint);
        if (found != crashed_.end() && found->second.isReported_)
            found->second.isRefuted_ = true;
    }
}

void LoadTracker::retractCrash(const VmId &endpoint)
{
    crashed_.erase(endpoint);
}

void LoadTracker::crashRetracted(const EndpointIncarnation &endpoint)
{
    const auto found = crashed_.find(endpoint.id_);
    if (found != crashed_.end() && found->second.isReported_
        && found->second.startedAt_ == endpoint.startedAt_)
        found->second.isRefuted_ = true;
}

std::optional<EndpointIncarnation> LoadTracker::observedCrash(const VmId &endpoint) const
{
    const auto found = crashed_.find(endpoint);
    if (found == crashed_.end() || found->second.isReported_)
        return std::nullopt;
    return EndpointIncarnation{endpoint, found->second.startedAt_};
}

bool LoadTracker::hasCrashed(const VmId &endpoint, std::uint64_t startedAt) const
{
    const auto found = crashed_.find(endpoint);
    return found != crashed_.end() && found->second.startedAt_ == startedAt
           && !found->second.isRefuted_;
}

/// Data from before the inquiry does not count: the endpoint may have ended since.
std::vector<VmId> LoadTracker::locallyWitnessed(TimePoint now) const
{
    std::vector<VmId> result;
    for (const auto &[id, inquiry] : inquiries_) {
        const auto heardAt = lastProgressAt(id);
        if (heardAt > inquiry.since_ + lateDataPeriod && now - heardAt < activityWindow
            && !restartedAt_.contains(id))
            result.push_back(id);
    }
    return result;
}

bool LoadTracker::wasHeardElsewhere(const VmId &endpoint, TimePoint since, TimePoint now) const
{
    return std::any_of(peers_.begin(), peers_.end(), [&](const auto &one) {
        const auto &witnessed = one.second.witnessed_;
        return one.second.at_ >= since && now - one.second.at_ < maxReportAge
               && std::find(witnessed.begin(), witnessed.end(), endpoint) != witnessed.end();
    });
}

bool LoadTracker::hasReports(TimePoint now) const
{
    return std::any_of(peers_.begin(), peers_.end(), [now](const auto &one) {
        return one.second.entries_ > 0 && now - one.second.at_ < maxReportAge;
    });
}

} // namespace cardamombay::serving
