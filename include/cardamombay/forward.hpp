/// \file
/// \brief Forward declarations: the vocabulary of the library.
#pragma once

namespace cardamombay {

class Clock;
class ManualClock;
class Random;

namespace platform {
class TableStore;
class ObjectStore;
class VmDirectory;
struct Row;
struct Transaction;
struct VmList;
struct VmRecord;
} // namespace platform

namespace endpoint {
class EndpointOrders;
struct Assignment;
struct EndpointOrder;
struct EndpointState;
struct ModelSpec;
} // namespace endpoint

namespace config {
struct Configuration;
struct Service;
struct Site;
struct Team;
} // namespace config

namespace membership {
class PeerTransport;
struct Digest;
struct MemberEntry;
} // namespace membership

namespace routing {
struct RoutingSnapshot;
struct SnapshotGroup;
} // namespace routing

} // namespace cardamombay
