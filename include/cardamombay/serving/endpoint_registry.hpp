/// \file
/// \brief Registry of the endpoints known to this entry VM.
/// \details Decides when an endpoint whose entry disappeared counts as gone. An entry may expire
/// merely because the store was unavailable. Such an endpoint stays in use for a short grace period
/// in which its entry may reappear. Also ensures that an endpoint that is shutting down gets no new
/// requests.
#pragma once

#include <cardamombay/core/time.hpp>
#include <cardamombay/serving/group_view.hpp>

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>

namespace cardamombay::serving {

/// \brief Endpoints by id. Not thread-safe: used on the control thread only.
class EndpointRegistry
{
public:
    /// \name Changes
    /// \{
    /// \brief Adds or updates an entry; ignores an entry of an earlier incarnation.
    void put(Endpoint endpoint);
    void remove(const VmId &id, TimePoint now);
    /// \brief Applies a complete listing and removes endpoints that are missing from it.
    void replaceAll(std::vector<Endpoint> endpoints, TimePoint now);
    /// \brief After a store outage, keeps endpoints whose entries are missing until \p until.
    void tolerateAbsence(TimePoint until) { absenceToleratedUntil_ = until; }
    /// \brief After the store was restored from a backup, entries may predate an endpoint's
    /// shutdown. Until \p until, an incarnation known to be draining or gone stays so.
    void keepLeaving(TimePoint until) { deferredUntil_ = until; }
    /// \brief Marks a listed endpoint as draining because it announced its shutdown, possibly
    /// before its entry says so.
    void markLeaving(const EndpointIncarnation &endpoint);
    /// \brief Stops new requests to endpoints in \p zones. Replaces the previous set.
    void setEvacuated(std::set<AvailabilityZone> zones);
    /// \brief Drops endpoints whose grace period is over and applies deferred entries. Call a few
    /// times per second.
    void expire(TimePoint now);
    /// \}

    /// \brief Sets the callback for an endpoint that was listed again after a restart under the
    /// same id.
    /// \param action receives the entry of the earlier incarnation.
    void onRestarted(std::function<void(const Endpoint &)> action)
    {
        restartCallback_ = std::move(action);
    }

    /// \brief Sets the callback for an endpoint that is listed in another group than before,
    /// without a restart. \param action receives the id of the endpoint.
    void onRegrouped(std::function<void(const VmId &)> action)
    {
        regroupCallback_ = std::move(action);
    }

    /// \brief Entries of endpoints for which \p action returns true count as draining, whatever
    /// they say.
    void setLeavingCheck(std::function<bool(const EndpointIncarnation &)> action)
    {
        isKnownLeaving_ = std::move(action);
    }

    /// \brief Returns the endpoint, or null if it is unknown or gone.
    [[nodiscard]] const Endpoint *find(const VmId &id) const;

    /// \brief True if the endpoint's availability zone is being evacuated.
    [[nodiscard]] bool isEvacuated(const Endpoint &endpoint) const
    {
        return evacuated_.contains(endpoint.zone_);
    }

    /// \brief True if the endpoint accepts new requests.
    [[nodiscard]] bool takesRequests(const Endpoint &endpoint) const
    {
        return !endpoint.isDraining_ && !isEvacuated(endpoint);
    }

    /// \brief Listed endpoints of an availability zone.
    [[nodiscard]] std::vector<const Endpoint *> inZone(const AvailabilityZone &zone) const;

    /// \brief Listed endpoints of a service, including draining ones.
    [[nodiscard]] std::vector<const Endpoint *> ofService(const ServiceName &service) const;

    /// \brief Incremented on each change, so that readers can cache derived data.
    [[nodiscard]] std::uint64_t revision() const { return revision_; }

    /// \brief Ids of all listed endpoints.
    [[nodiscard]] std::vector<VmId> ids() const;

    [[nodiscard]] std::size_t size() const { return endpoints_.size(); }

private:
    /// An endpoint that is no longer listed.
    struct Removed
    {
        Endpoint endpoint_;
        TimePoint at_{};
    };
    void drop(const VmId &id, TimePoint now);
    void apply(Endpoint endpoint);
    [[nodiscard]] bool mayPredateLeaving(const Endpoint &endpoint) const;

    std::map<VmId, Endpoint> endpoints_;
    std::map<VmId, Removed> removed_;
    std::function<void(const Endpoint &)> restartCallback_;
    std::function<void(const VmId &)> regroupCallback_;
    std::function<bool(const EndpointIncarnation &)> isKnownLeaving_;
    std::map<VmId, TimePoint> missing_; ///< Unlisted endpoints and when they are dropped.
    TimePoint absenceToleratedUntil_{};
    std::map<VmId, Endpoint> deferred_; ///< Entries that may predate a shutdown.
    std::optional<TimePoint> deferredUntil_;
    std::set<AvailabilityZone> evacuated_;
    std::uint64_t revision_ = 0;
};

} // namespace cardamombay::serving
