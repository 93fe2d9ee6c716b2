/// \file
/// \brief A snapshot of one service with identical groups.
#pragma once

#include <cardamombay/routing/routing_snapshot.hpp>

#include <string>

namespace fixture {

/// \brief A mutable snapshot; call publish() after a change to give it a new sequence number.
struct Fleet
{
    explicit Fleet(std::size_t groups)
    {
        using namespace cardamombay;
        snapshot_.sequence_ = 1;
        snapshot_.zone_ = AvailabilityZone("a");
        snapshot_.services_.push_back({ServiceName("lm"), {}});
        for (std::size_t i = 0; i < groups; ++i) {
            routing::SnapshotGroup group;
            group.group_ = GroupId("lm/a/" + std::to_string(i));
            group.zone_ = snapshot_.zone_;
            group.domain_ = FabricDomain("a-1");
            group.model_ = {ModelName("m"), ModelVersion("1"), {}};
            group.freshUntil_ = now_ + std::chrono::seconds(60);
            group.capacity_ = 16;
            group.loadTakenAt_ = now_;
            snapshot_.services_[0].groups_.push_back(group);
        }
    }

    [[nodiscard]] cardamombay::routing::SnapshotGroup &group(std::size_t index)
    {
        return snapshot_.services_[0].groups_[index];
    }

    void publish() { ++snapshot_.sequence_; }

    cardamombay::TimePoint now_{std::chrono::hours(1)};
    cardamombay::routing::RoutingSnapshot snapshot_;
};

} // namespace fixture
