/// \file
/// \brief A snapshot with one service of a given capacity, for admission tests.
#pragma once

#include <cardamombay/limits/admission.hpp>

#include <memory>
#include <string>

namespace fixture {

/// \brief Snapshot and clock of one entry VM, with a service named "lm".
struct AdmissionHarness
{
    AdmissionHarness(std::size_t groups, std::uint32_t slotsPerGroup)
    {
        using namespace cardamombay;
        auto configuration = std::make_shared<config::Configuration>();
        config::Service service;
        service.name_ = ServiceName("lm");
        service.requestsPerReplica_ = slotsPerGroup;
        configuration->services_.push_back(service);
        snapshot_.sequence_ = 1;
        snapshot_.self_ = EntryId("entry-1");
        snapshot_.configuration_ = configuration;
        snapshot_.services_.push_back({service.name_, {}});
        for (std::size_t i = 0; i < groups; ++i) {
            routing::SnapshotGroup group;
            group.group_ = GroupId("lm/a/" + std::to_string(i));
            group.zone_ = AvailabilityZone("a");
            group.freshUntil_ = now_ + std::chrono::hours(1);
            group.capacity_ = slotsPerGroup;
            snapshot_.services_[0].groups_.push_back(group);
        }
    }

    cardamombay::limits::AdmissionDecision offer(cardamombay::limits::Admission &admission,
                                                 const std::string &request,
                                                 const std::string &team = "a",
                                                 std::uint32_t priority = 100)
    {
        using namespace cardamombay;
        return admission.offer({.request_ = RequestId(request),
                                .service_ = ServiceName("lm"),
                                .team_ = TeamName(team),
                                .priority_ = priority},
                               snapshot_, now_);
    }

    [[nodiscard]] cardamombay::routing::SnapshotGroup &group(std::size_t index)
    {
        return snapshot_.services_[0].groups_[index];
    }

    void publish() { ++snapshot_.sequence_; }

    /// \brief Runs one request for \p time, so that waiting times can be estimated.
    void learnServiceTime(cardamombay::limits::Admission &admission, cardamombay::Duration time)
    {
        (void)offer(admission, "first");
        now_ += time;
        admission.finished(cardamombay::RequestId("first"), now_);
    }

    cardamombay::TimePoint now_{std::chrono::hours(1)};
    cardamombay::routing::RoutingSnapshot snapshot_;
};

} // namespace fixture
