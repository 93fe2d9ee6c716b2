/// \file
/// \brief The endpoints that this entry VM knows of, and the groups among them.
/// \details Decides when an entry that vanished counts as gone. An entry may lapse only because the
/// store was away; such an endpoint gets a short grace in which its entry may come back, and is
/// meanwhile used as before. Guards that a leaving endpoint gets nothing new.
#pragma once

#include <cardamombay/core/time.hpp>
#include <cardamombay/serving/group_view.hpp>

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>

namespace cardamombay::serving {

/// \brief Endpoints by id; belongs to the control thread.
class EndpointRegistry
{
public:
    /// \name Changes
    /// \{
    /// \brief Takes an entry; one of an earlier life than the known one is old news and left out.
    void put(Endpoint endpoint);
    void remove(const VmId &id, TimePoint now);
    /// \brief Takes a whole listing: endpoints that it lacks are removed.
    void replaceAll(std::vector<Endpoint> endpoints, TimePoint now);
    /// \brief The store is back after an outage: entries may be missing without cause until \p
    /// until.
    void tolerateAbsence(TimePoint until) { excusedUntil_ = until; }
    /// \brief The store was restored from a backup and may list endpoints as they were before they
    /// left. Until \p until one that was known to leave, or to be gone, stays so in the same life.
    void keepLeaving(TimePoint until) { heldUntil_ = until; }
    /// \brief A listed endpoint has said itself that it leaves; its entry may still be on its way.
    void markLeaving(const EndpointIncarnation &endpoint);
    /// \brief Endpoints of \p zones get nothing new until other zones are set.
    void setEvacuated(std::set<AvailabilityZone> zones);
    /// \brief Drops those whose grace is over, and takes entries that were held back. Call a few
    /// times a second.
    void expire(TimePoint now);
    /// \}

    /// \brief Called after an endpoint was listed that has started again under its id.
    /// \param action gets what was known of its earlier life.
    void onRestarted(std::function<void(const Endpoint &)> action)
    {
        restarted_ = std::move(action);
    }

    /// \brief Entries of endpoints for which \p action is true count as leaving, whatever they
    /// list.
    void setLeavingCheck(std::function<bool(const EndpointIncarnation &)> action)
    {
        isKnownLeaving_ = std::move(action);
    }

    /// \brief The endpoint; null if it is unknown or gone.
    [[nodiscard]] const Endpoint *find(const VmId &id) const;

    /// \brief True if operators empty the endpoint's availability zone.
    [[nodiscard]] bool isEvacuated(const Endpoint &endpoint) const
    {
        return evacuated_.contains(endpoint.zone_);
    }

    /// \brief True if something new may be sent to the endpoint.
    [[nodiscard]] bool takesRequests(const Endpoint &endpoint) const
    {
        return !endpoint.isDraining_ && !isEvacuated(endpoint);
    }

    /// \brief Endpoints of an availability zone that are listed.
    [[nodiscard]] std::vector<const Endpoint *> inZone(const AvailabilityZone &zone) const;

    /// \brief Endpoints of a service that are listed, leaving ones included.
    [[nodiscard]] std::vector<const Endpoint *> ofService(const ServiceName &service) const;

    /// \brief Rises with each change, so that readers may keep what they derive.
    [[nodiscard]] std::uint64_t revision() const { return revision_; }

    /// \brief All endpoints that are listed.
    [[nodiscard]] std::vector<VmId> ids() const;

    [[nodiscard]] std::size_t size() const { return endpoints_.size(); }

private:
    /// What was listed before.
    struct Ended
    {
        Endpoint endpoint_;
        TimePoint at_{};
    };
    void drop(const VmId &id, TimePoint now);
    void take(Endpoint endpoint);
    [[nodiscard]] bool isOlderThanLeaving(const Endpoint &endpoint) const;

    std::map<VmId, Endpoint> endpoints_;
    std::map<VmId, Ended> ended_;
    std::function<void(const Endpoint &)> restarted_;
    std::function<bool(const EndpointIncarnation &)> isKnownLeaving_;
    std::map<VmId, TimePoint> missing_; ///< Not listed; dropped at that time.
    TimePoint excusedUntil_{};
    std::map<VmId, Endpoint> heldBack_; ///< Entries that may be older than a leaving.
    std::optional<TimePoint> heldUntil_;
    std::set<AvailabilityZone> evacuated_;
    std::uint64_t revision_ = 0;
};

} // namespace cardamombay::serving
