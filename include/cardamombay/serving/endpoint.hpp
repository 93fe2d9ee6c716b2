/// \file
/// \brief An endpoint VM's entry in the platform's listing.
#pragma once

#include <cardamombay/core/address.hpp>
#include <cardamombay/core/ids.hpp>
#include <cardamombay/core/time.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cardamombay::serving {

/// \brief Name of a group of engines, chosen by the planner; never reused with other members.
using GroupName = TextId<struct GroupNameTag>;

/// \brief State of an engine's membership in its group.
enum class MemberState {
    Joining, ///< Loading the model.
    Ready,   ///< Loaded, but not serving.
    Open,    ///< Head only: the group is serving.
    Closing, ///< Head only: finishing its requests.
    Broken,  ///< Head only: lost a member and stopped serving.
};

/// \brief Name used in logs.
[[nodiscard]] std::string_view nameOf(MemberState state);

/// \brief An engine's membership in a group.
struct Membership
{
    GroupName group_;
    std::uint64_t epoch_ = 0;
    std::uint32_t rank_ = 0; ///< 0 is the head, which receives the group's requests.
    MemberState state_ = MemberState::Joining;

    [[nodiscard]] bool isHead() const { return rank_ == 0; }
    friend bool operator==(const Membership &, const Membership &) = default;
};

/// \brief Identifies one run of an endpoint, which may restart under the same id.
struct EndpointIncarnation
{
    VmId id_;
    std::uint64_t startedAt_ = 0; ///< As Endpoint::startedAt_.

    /// \brief The id, followed by the start time if known.
    [[nodiscard]] std::string text() const;
    [[nodiscard]] static EndpointIncarnation parse(std::string_view text);
    friend auto operator<=>(const EndpointIncarnation &, const EndpointIncarnation &) = default;
};

/// \brief An endpoint as listed by itself. After a restart it may keep its id, but has lost all
/// state and has a higher startedAt_.
struct Endpoint
{
    VmId id_;
    ServiceName service_;
    Address address_;
    AvailabilityZone zone_;
    FabricDomain domain_;           ///< Empty for plain services.
    std::uint32_t slots_ = 0;       ///< Maximum number of concurrent requests.
    bool isDraining_ = false;       ///< Shutting down; gets no new requests.
    ModelName model_;               ///< Loaded now or by its last group; empty if none.
    std::vector<ModelName> staged_; ///< Models stored on its host.
    std::optional<Membership> membership_;
    std::uint64_t startedAt_ = 0; ///< Start time, Unix time in milliseconds; 0 if unknown.
    Duration coldFor_{};          ///< Remaining cold time when the entry was written.

    [[nodiscard]] EndpointIncarnation incarnation() const { return {id_, startedAt_}; }
    [[nodiscard]] bool hasStaged(const ModelName &model) const;
    friend bool operator==(const Endpoint &, const Endpoint &) = default;
};

} // namespace cardamombay::serving
