/// \file
/// \brief Forward declarations: the vocabulary of the library, module by module.
/// \details Decides nothing and defines nothing. A header that only names a type includes this
/// one; each type is defined in <cardamombay/(module)/(type)>.hpp. Identifiers, durations and
/// results are aliases and stand in <cardamombay/core/ids.hpp>, time.hpp and result.hpp.
#pragma once

namespace cardamombay {

/// \name Time, randomness, decision records and the kinds of errors
/// \{
class Clock;
class DecisionLog;
class DecisionSink;
class ManualClock;
class Random;
struct Address;
struct Alternative;
struct ConfigConflict;
struct DecisionRecord;
struct Detail;
struct Done;
struct EndpointRefused;
struct EndpointUnreachable;
struct InvalidInput;
struct LeaseLost;
struct MalformedMessage;
struct NotFound;
struct PeerUnreachable;
struct SourcePosition;
struct StoreAnswerLost;
struct StoreConflict;
struct StoreThrottled;
struct StoreUnavailable;
struct TimedOut;
/// \}

/// Answers of an entry VM to the operators' program.
namespace admin {
struct AdminAck;
struct AdminConfig;
struct AdminEvent;
struct AdminGroup;
struct AdminGroupMember;
struct AdminMember;
struct AdminService;
struct AdminStatus;
struct AdminVm;
} // namespace admin

/// State charts read from files and interpreted.
namespace chart {
class Chart;
class ChartFolder;
struct BoundNames;
struct Cell;
struct Transition;
struct TransitionTable;
} // namespace chart

/// Claims of keyed, non-idempotent requests in the table service.
namespace claims {
class ClaimRegistry;
class ClaimExpiry;
class EntryLiveness;
class RowBatcher;
struct BatchPolicy;
struct ClaimOwner;
struct ClaimPeriods;
struct ClaimPolicy;
struct ClaimRequest;
struct ClaimRow;
struct Duplicate;
struct ExpiryPolicy;
struct Granted;
struct InProgress;
struct KeyMismatch;
struct OutcomeUnknown;
struct RowChange;
struct RowConflict;
struct RowWritten;
struct StoredOutcome;
} // namespace claims

/// The operators' program.
namespace cli {
class CommandLine;
struct GivenOption;
struct Option;
struct ParsedCommandLine;
} // namespace cli

/// The configuration: its files, its checks, its versions and their spread.
namespace config {
class ConfigAgent;
class ConfigStore;
struct ChangeNote;
struct ConfigAgentOptions;
struct ConfigChange;
struct ConfigRecord;
struct ConfigSources;
struct Configuration;
struct PlannerPolicy;
struct RefusedConfig;
struct RouteRule;
struct Service;
struct Site;
struct SiteCapacity;
struct SourceFile;
struct StoredConfig;
struct Team;
} // namespace config

/// The control thread of an entry VM: all decisions about the fleet.
namespace control {
class ConfigPeers;
class ControlNode;
class HostedNode;
class PeerReports;
class VmListPoller;
class ZonePlanner;
struct ControlLinks;
struct ControlSettings;
struct HostedNodeDependencies;
struct NodeCharts;
struct PlanTickInput;
struct SnapshotInput;
} // namespace control

/// Orders to endpoint VMs and the state that they report.
namespace endpoint {
class EndpointOrders;
class HttpEndpointOrders;
struct Assignment;
struct EndpointOrder;
struct EndpointState;
struct EndpointTimeouts;
struct LoadReport;
struct ModelSpec;
} // namespace endpoint

/// Life of the groups of a fabric domain: rows, orders, phases.
namespace groups {
class GroupCache;
class GroupStateMachine;
class GroupManager;
class VmView;
struct GroupCacheSettings;
struct GroupRow;
struct GroupStatus;
struct ManagerSettings;
struct PlanInput;
struct VmObservation;
struct VmRow;
} // namespace groups

/// The planner lease of each fabric domain, and its fencing token.
namespace leases {
class LeaseKeeper;
struct LeaseRow;
struct LeaseSettings;
} // namespace leases

/// Admission: declared capacity, fair shares of teams, early refusal.
namespace limits {
class Admission;
struct AdmissionRequest;
struct Admitted;
struct LimitsPolicy;
struct Queued;
struct Released;
struct Shed;
struct WeightedDemand;
} // namespace limits

/// The load tool: arrivals, calls and reports.
namespace load {
class Arrivals;
class Histogram;
class HttpCaller;
class LoadRun;
struct Arrival;
struct Call;
struct CallResult;
struct ClassFigures;
struct LoadReport;
struct ProfilePoint;
struct RequestClass;
struct SecondFigures;
struct SizeRange;
struct TeamFigures;
struct Workload;
struct WorkloadTeam;
} // namespace load

/// Log lines and the sink that turns decisions into them.
namespace log {
class LoggingSink;
} // namespace log

/// Which entry VMs are alive, and the digests they exchange.
namespace membership {
class MemberTable;
class Membership;
class PeerLink;
class PeerTransport;
class UpdateQueue;
struct Digest;
struct EchoEntry;
struct GoneEntry;
struct InFlightEntry;
struct LeavingEntry;
struct LoadEntry;
struct Member;
struct MemberEntry;
struct MemberEvent;
struct MembershipSettings;
struct ObservationEntry;
struct ReachReport;
struct ReachRequest;
struct RegionSummary;
struct SiteSummary;
struct WatchSummary;
} // namespace membership

/// Counters, gauges and histograms for scraping.
namespace metrics {
class Counter;
class Gauge;
class Histogram;
class Registry;
} // namespace metrics

/// HTTP and time over an event loop.
namespace net {
class AsioClock;
class AsioHttpClient;
class HttpClient;
class HttpHandler;
class HttpServer;
class ServerExchange;
class Upstream;
class UpstreamCall;
class UpstreamClient;
class UpstreamListener;
struct HttpClientLimits;
struct HttpFailure;
struct HttpField;
struct HttpRequest;
struct HttpResponse;
struct HttpServerLimits;
struct ServerRequest;
struct ServerWorker;
struct UpstreamFailure;
struct UpstreamRequest;
} // namespace net

/// What became of an attempt: ran, not run or unknown.
namespace outcomes {
class Attempt;
class StreamContinuity;
struct AttemptResult;
struct CallerMessage;
struct DroppedAnswers;
struct RequestSafety;
struct ResponseHead;
struct StreamTraits;
} // namespace outcomes

/// Which VMs make up which groups: pure decisions.
namespace planning {
class AlwaysReplacePolicy;
class AlwaysWaitPolicy;
class LeastCostPolicy;
class Planner;
class RepairPolicy;
class ReturnHistory;
class ReturnModel;
struct PendingSlot;
struct PlanDecision;
struct PlanState;
struct PlannedGroup;
struct PlannedService;
struct PlannedVm;
struct RepairCase;
struct RepairEstimate;
struct ReturnEstimate;
} // namespace planning

/// The table service, the object store and the VM list of the platform.
namespace platform {
class HttpObjectStore;
class HttpTableStore;
class HttpVmDirectory;
class ObjectStore;
class PacedTableStore;
class ReliableCommit;
class TableStore;
class VmDirectory;
class WriterTokens;
struct CommitPolicy;
struct CommitReceipt;
struct Condition;
struct HttpEndpoint;
struct Row;
struct RowKey;
struct RowWrite;
struct Scan;
struct ScanPage;
struct StorePacing;
struct Transaction;
struct VmList;
struct VmRecord;
} // namespace platform

/// Retry budget, back-off and circuits.
namespace retries {
class Backoff;
class CircuitBreaker;
class CircuitBreakerRegistry;
class RetryBudget;
class RetryPolicy;
struct BackoffPolicy;
struct CircuitBreakerPolicy;
struct FailedAttempt;
struct GiveUp;
struct Retry;
struct RetryBudgetPolicy;
struct RetrySettings;
} // namespace retries

/// The routing snapshot and the choice of a group for a request.
namespace routing {
class PrefixIndex;
class Router;
struct CacheEvent;
struct DemandReport;
struct SkippedGroups;
struct PeerDemand;
struct PrefixHolders;
struct RequestSample;
struct RouteCandidate;
struct RouteDecision;
struct RouteRequest;
struct RouterPolicy;
struct RoutingSnapshot;
struct SnapshotGroup;
struct SnapshotService;
} // namespace routing

/// JSON-RPC 2.0 between entry VMs.
namespace rpc {
class JsonRpcDispatcher;
class JsonRpcPeerTransport;
class RpcHttpHandler;
} // namespace rpc

/// Settings file of one daemon.
namespace settings {
struct DrainTimes;
struct Intervals;
struct Limits;
struct Settings;
} // namespace settings

/// Trace contexts and spans.
namespace trace {
class Span;
class SpanSink;
class Tracer;
struct TraceContext;
} // namespace trace

/// The request path of an entry VM.
namespace traffic {
class ControlLink;
class ControlSide;
class Dispatcher;
class Lifecycle;
class LifecycleActions;
class SnapshotHolder;
class StreamRelay;
class TrafficMetrics;
class TrafficService;
struct ClaimAnswer;
struct ClaimCompletion;
struct ClaimRequest;
struct DispatchPolicy;
struct ParsedRequest;
struct Problem;
struct RelayStep;
struct RouteChoice;
struct RouteQuery;
struct StoredAnswer;
struct TrafficContext;
struct TrafficReport;
struct TrafficSettings;
} // namespace traffic

/// Observations of endpoint VMs, and vetoes on those that leave.
namespace watching {
class EndpointWatcher;
class VetoTable;
struct Observation;
struct WatchSettings;
} // namespace watching

} // namespace cardamombay
