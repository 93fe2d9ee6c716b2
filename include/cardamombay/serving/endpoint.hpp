/// \file
/// \brief What an endpoint VM says of itself in the platform's list.
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

/// \brief Name of a group of engines, chosen by the planner; never used again with other members.
using GroupName = TextId<struct GroupNameTag>;

/// \brief State of an engine's membership in its group.
enum class MemberState {
    Joining, ///< Still loading.
    Ready,   ///< Loaded; serves nothing.
    Open,    ///< Head only: the group serves.
    Closing, ///< Head only: finishes its work.
    Broken,  ///< Head only: lost a member and has given up.
};

/// \brief Short name for logs.
[[nodiscard]] std::string_view nameOf(MemberState state);

/// \brief An engine's place in a group.
struct Membership
{
    GroupName group_;
    std::uint64_t epoch_ = 0;
    std::uint32_t rank_ = 0; ///< 0 is the head, which takes the group's requests.
    MemberState state_ = MemberState::Joining;

    [[nodiscard]] bool isHead() const { return rank_ == 0; }
    friend bool operator==(const Membership &, const Membership &) = default;
};

/// \brief One start of an endpoint, which may start again under its id.
struct EndpointIncarnation
{
    VmId id_;
    std::uint64_t startedAt_ = 0; ///< As Endpoint::bornAt_.

    /// \brief The id, and the start if the endpoint says it.
    [[nodiscard]] std::string text() const;
    [[nodiscard]] static EndpointIncarnation parse(std::string_view text);
    friend auto operator<=>(const EndpointIncarnation &, const EndpointIncarnation &) = default;
};

/// \brief An endpoint as it lists itself. One that starts again may keep its id; it knows nothing
/// of before then, and its bornAt_ is higher.
struct Endpoint
{
    VmId id_;
    ServiceName service_;
    Address address_;
    AvailabilityZone zone_;
    FabricDomain domain_;           ///< Empty for plain services.
    std::uint32_t slots_ = 0;       ///< Requests at once.
    bool isDraining_ = false;       ///< Leaving; gets nothing new.
    ModelName model_;               ///< Loaded now, or by its last group; empty if none.
    std::vector<ModelName> staged_; ///< Models on its host.
    std::optional<Membership> membership_;
    std::uint64_t startedAt_ = 0; ///< Its start, Unix time in milliseconds; 0 if it does not say.
    Duration coldFor_{};          ///< Time for which it stays cold, as of its entry.

    [[nodiscard]] EndpointIncarnation incarnation() const { return {id_, startedAt_}; }
    [[nodiscard]] bool hasStaged(const ModelName &model) const;
    friend bool operator==(const Endpoint &, const Endpoint &) = default;
};

} // namespace cardamombay::serving
