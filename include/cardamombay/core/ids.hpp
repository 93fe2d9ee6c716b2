/// \file
/// \brief The identifiers of the system.
#pragma once

#include <cardamombay/core/id.hpp>
#include <cardamombay/core/row_version.hpp>

namespace cardamombay {

/// \name Places
/// \{
using VmId = TextId<struct VmIdTag>;                         ///< An endpoint VM.
using EntryId = TextId<struct EntryIdTag>;                   ///< An entry VM (one daemon).
using AvailabilityZone = TextId<struct AvailabilityZoneTag>; ///< Also the name of the site there.
using RegionName = TextId<struct RegionNameTag>;             ///< Availability zones close together.
using FabricDomain = TextId<struct FabricDomainTag>;         ///< VMs with a fast interconnect.
/// \}

/// \name Services, groups and callers
/// \{
using ServiceName = TextId<struct ServiceNameTag>; ///< A model service or a plain service.
using GroupId = TextId<struct GroupIdTag>;         ///< "service/zone/slot": one replica slot.
using TeamName = TextId<struct TeamNameTag>;       ///< A customer of the deployment.
using ModelName = TextId<struct ModelNameTag>;
using ModelVersion = TextId<struct ModelVersionTag>;
/// \}

/// \name Requests and orders
/// \{
using RequestId = TextId<struct RequestIdTag>;        ///< One request of a caller.
using AttemptId = TextId<struct AttemptIdTag>;        ///< "request.number.incarnation".
using IdempotencyKey = TextId<struct IdempotencyTag>; ///< Chosen by the caller.
using OrderId = TextId<struct OrderIdTag>;            ///< One idempotent order to an endpoint.
using WriterToken = TextId<struct WriterTokenTag>;    ///< Unique for each transaction.
/// \}

/// \name Numbers that only rise
/// \{
using Epoch = NumberId<struct EpochTag>;             ///< Fencing number of a planner lease.
using Generation = NumberId<struct GenerationTag>;   ///< Formation count of a group slot.
using Incarnation = NumberId<struct IncarnationTag>; ///< Start count or start stamp of a process.
using ConfigVersion = NumberId<struct ConfigVersionTag>;
/// \}

} // namespace cardamombay
