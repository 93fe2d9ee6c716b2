#include <cardamombay/control/peer_reports.hpp>

#include <algorithm>

namespace cardamombay::control {

void PeerReports::update(const membership::Digest &digest, TimePoint now)
{
    reports_[digest.from_.id_] = Report{now, digest.demand_, digest.inFlight_};
}

void PeerReports::removeExpired(std::span<const membership::MemberEntry> alive, TimePoint now,
                                Duration window)
{
    std::erase_if(reports_, [&](const auto &item) {
        const bool isAlive = std::any_of(alive.begin(), alive.end(), [&](const auto &member) {
            return member.id_ == item.first;
        });
        return !isAlive || now - item.second.takenAt_ > window;
    });
}

PeerLoad PeerReports::load() const
{
    PeerLoad total;
    for (const auto &[entry, report] : reports_) {
        for (const auto &group : report.inFlight_)
            total[group.group_] += group.inFlight_;
    }
    return total;
}

std::vector<routing::PeerDemand> PeerReports::demand() const
{
    std::vector<routing::PeerDemand> all;
    for (const auto &[entry, report] : reports_)
        all.push_back({entry, report.demand_});
    return all;
}

} // namespace cardamombay::control
