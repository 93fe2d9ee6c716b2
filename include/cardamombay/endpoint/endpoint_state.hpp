/// \file
/// \brief What an endpoint VM says of itself, and what it can be ordered to do.
/// \details Values only, as an endpoint VM reports them of itself. They are claims of that VM,
/// compared with the group's row before the group serves.
#pragma once

#include <cardamombay/core/ids.hpp>
#include <cardamombay/core/time.hpp>

#include <cstdint>
#include <optional>
#include <vector>

namespace cardamombay::endpoint {

/// \brief A model with version and adapters; replicas are alike only if all of it is equal.
struct ModelSpec
{
    ModelName name_;
    ModelVersion version_;
    std::vector<std::string> adapters_;

    friend bool operator==(const ModelSpec &, const ModelSpec &) = default;
};

/// \brief Work a group takes on; Prefill and Decode hand KV cache over.
enum class GroupRole { Mixed, Prefill, Decode };

/// \brief Membership of a VM in one formation of a group.
struct Assignment
{
    GroupId group_;
    Generation generation_;
    std::uint32_t rank_ = 0; ///< Rank 0 takes the group's requests.

    friend bool operator==(const Assignment &, const Assignment &) = default;
};

/// \brief Where the engine is in taking on an assignment.
enum class EnginePhase { Idle, Loading, Ready, Draining, Failed };

/// \brief Load as the engine last measured it.
struct LoadReport
{
    std::uint32_t running_ = 0; ///< Requests being batched.
    std::uint32_t queued_ = 0;
    double kvCacheUsed_ = 0; ///< Share of KV cache in use, 0 to 1.
    Duration lag_{};         ///< Age of the figures when reported.

    friend bool operator==(const LoadReport &, const LoadReport &) = default;
};

/// \brief State of an endpoint VM as it reports it.
struct EndpointState
{
    VmId vm_;
    Incarnation incarnation_; ///< Changes when the engine restarts.
    EnginePhase phase_ = EnginePhase::Idle;
    std::optional<Assignment> assignment_;
    ModelSpec model_;
    Epoch highestFencing_; ///< Highest fencing token seen.
    LoadReport load_;

    friend bool operator==(const EndpointState &, const EndpointState &) = default;
};

/// \brief What an order asks for.
enum class OrderKind {
    Assign, ///< Take on the assignment and load the model.
    Drain,  ///< Refuse new requests, finish those running.
    Release ///< Give the assignment up; becomes Idle.
};

/// \brief An idempotent order to one endpoint VM.
struct EndpointOrder
{
    OrderId id_;
    OrderKind kind_ = OrderKind::Assign;
    VmId vm_;
    Epoch fencing_;
    Assignment assignment_;
    ModelSpec model_;
    GroupRole role_ = GroupRole::Mixed;
    std::vector<VmId> members_; ///< All members, by rank.
};

} // namespace cardamombay::endpoint
