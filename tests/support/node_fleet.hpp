/// \file
/// \brief Control planes of many entry VMs in one process, on a manual clock.
/// \details Each has its own clock with an offset, a link to a shared in-memory store, and a
/// network that delays, loses and reorders datagrams. A node can be paused, read its datagrams
/// late, or be cut off from the store.
#pragma once

#include "support/fake_store.hpp"
#include "support/gateway_fixture.hpp"

#include <cardamombay/core/manual_clock.hpp>
#include <cardamombay/core/random.hpp>
#include <cardamombay/platform/change_feed.hpp>
#include <cardamombay/serving/node.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cardamombay::support {

/// \brief A clock with an offset to the fleet's, whose timers wait while its process is paused.
class NodeClock final : public Clock
{
public:
    NodeClock(ManualClock &clock, Duration ahead)
        : clock_(clock)
        , ahead_(ahead)
    {
    }

    [[nodiscard]] TimePoint now() const override { return clock_.now() + ahead_; }
    TimerId schedule(Duration delay, std::function<void()> action) override;
    void cancel(TimerId timer) override { clock_.cancel(timer); }

    /// \brief Runs \p action now, or once the process resumes.
    void run(std::function<void()> action);
    void setPaused(bool isPaused);

private:
    ManualClock &clock_;
    Duration ahead_;
    bool isPaused_ = false;
    std::vector<std::function<void()>> deferred_;
};

/// \brief Text format of the store's rows.
/// \details Rows "endpoints" are "domain", "domain group rank" or "domain group rank cold-ms"; that
/// of a plain endpoint is plainMark. A
/// leaving endpoint has drainingMark before its domain; its availability zone has the name of the
/// domain. The row of "config" is "version key key"; rows "evacuate zone" are in the same table.
class FleetFormat final : public serving::StoreFormat
{
public:
    static constexpr std::string_view drainingMark = "draining";
    static constexpr std::string_view evacuationMark = "evacuate ";
    static constexpr std::string_view plainMark = "plain";
    /// \brief Request rate that a cold endpoint accepts, per second.
    static constexpr double coldRate = 17;

    [[nodiscard]] std::string_view configurationTable() const override { return "config"; }
    [[nodiscard]] std::string_view configurationKey() const override { return "newest"; }
    [[nodiscard]] std::string_view endpointTable() const override { return "endpoints"; }
    [[nodiscard]] std::optional<AvailabilityZone>
    evacuatedZone(std::string_view key) const override;
    [[nodiscard]] Result<serving::Configuration>
    configuration(std::string_view text) const override;
    [[nodiscard]] Result<serving::Endpoint> endpoint(const VmId &id,
                                                     std::string_view text) const override;
};

/// \brief Address at which an endpoint of a NodeFleet listens.
[[nodiscard]] Address engineAddress(const std::string &endpoint);

/// \brief Faults of the network between entry VMs.
struct DatagramFaults
{
    double lossShare_ = 0;
    Duration maxDelay_ = std::chrono::milliseconds(5);
};

class FleetNode;

/// \brief A fleet of entry VMs, their network and their store.
class NodeFleet
{
public:
    /// \param large number of large entry VMs per zone; they come first.
    NodeFleet(std::size_t entries, std::size_t zones, std::size_t large, std::uint64_t seed);
    ~NodeFleet();

    void start(bool isFirstStart = true);
    /// \brief Ends the process of an entry VM: what it had in flight is lost with its memory.
    void kill(std::size_t index);
    /// \brief Starts a new process of an entry VM that was killed.
    FleetNode &restart(std::size_t index);
    /// \brief Adds an entry VM and starts it.
    FleetNode &add(const std::string &zone);
    /// \brief Advances the fleet's clock.
    void pass(Duration time) { clock_.advance(time); }

    /// \brief Lists an endpoint in fabric domain \p domain, or removes it if \p domain is empty.
    void list(const std::string &endpoint, const std::string &domain);

    /// \brief Marks a listed endpoint as draining.
    void drain(const std::string &endpoint);

    /// \brief Lists an open group of two engines of model "m" whose head is \p head.
    /// \param coldFor remaining time for which the head reports itself as cold.
    void listGroup(const std::string &head, const std::string &domain = "d", Duration coldFor = {});

    /// \brief Lists an endpoint of service "plain".
    void listPlain(const std::string &endpoint);

    /// \brief Evacuates a zone, or revokes its evacuation, as operators do.
    void evacuate(const std::string &zone);
    void revokeEvacuation(const std::string &zone);

    /// \brief Writes a configuration in which \p keys are valid.
    void configure(std::uint64_t version, const std::vector<std::string> &keys);

    /// \brief Time within which all entry VMs must know of a change.
    [[nodiscard]] Duration propagationBound() const;

    void deliver(const FleetNode &from, const Address &to, std::string text);
    [[nodiscard]] FleetNode &node(std::size_t index) { return *nodes_[index]; }
    [[nodiscard]] std::size_t size() const { return nodes_.size(); }
    /// \brief Total number of calls of all nodes to the store.
    [[nodiscard]] std::size_t storeCalls() const;
    /// \brief Minimum and maximum number of peers known to a node, over all nodes from \p first on.
    [[nodiscard]] std::pair<std::size_t, std::size_t> peerCounts(std::size_t first = 0);
    /// \brief The node that holds the planner's lease; null if none does.
    [[nodiscard]] FleetNode *planner();

    ManualClock clock_;
    FakePlatform platform_{clock_};
    FleetFormat format_;
    DatagramFaults faults_;
    /// If set, tells whether the network drops all datagrams from one entry VM to another.
    std::function<bool(const FleetNode &from, const FleetNode &to)> isCut_;
    /// If set, called with each datagram; may modify it.
    std::function<void(std::string &)> corrupt_;
    RowVersion historyStart_; ///< The store has no history of earlier changes.
    /// Removed endpoints and the versions of their removal.
    std::map<std::string, RowVersion> removedEndpoints_;
    /// Rows of revoked evacuations and the versions of their removal.
    std::map<std::string, RowVersion> revokedEvacuations_;
    Random random_;
    std::size_t datagramsSent_ = 0; ///< By all nodes, including lost ones.
    std::size_t bytesSent_ = 0;     ///< Total size of these.

private:
    std::vector<std::unique_ptr<FleetNode>> nodes_;
    /// Processes that were killed; timers and answers of the store may still refer to them.
    std::vector<std::unique_ptr<FleetNode>> ended_;
    std::map<Address, FleetNode *> byAddress_;
};

/// \brief One entry VM of a NodeFleet.
class FleetNode final : public serving::DatagramChannel,
                        public platform::TableStore,
                        public platform::ChangeFeed
{
public:
    FleetNode(NodeFleet &fleet, std::size_t index, std::string zone, bool isLarge);

    void start(bool isFirstStart);
    void receive(std::string text);

    /// \brief True if it has called the store since storeCalls_ was \p calls.
    [[nodiscard]] bool hasCalledSince(std::size_t calls) const { return storeCalls_ > calls; }

    /// \brief Version of the configuration in effect here; none before the first one.
    [[nodiscard]] ConfigVersion configuration() const;

    [[nodiscard]] const AvailabilityZone &zone() const { return zone_; }

    /// \brief False once the process was killed.
    [[nodiscard]] bool isRunning() const { return isRunning_; }

    /// \brief True if a request with \p key would be accepted now.
    [[nodiscard]] bool acceptsKey(const std::string &key) const;

    /// \name DatagramChannel, TableStore, ChangeFeed
    /// \{
    void send(const Address &to, std::string_view text) override;
    void onReceived(std::function<void(std::string_view)> handler) override;
    void commit(platform::Transaction transaction, Callback<platform::CommitReceipt> done) override;
    void read(std::vector<platform::RowKey> keys,
              Callback<std::vector<platform::Row>> done) override;
    void scan(platform::Scan scan, Callback<platform::ScanPage> done) override;
    void changes(platform::ChangeQuery query, Callback<platform::ChangePage> done) override;
    /// \}

    NodeFleet &fleet_;
    bool isLarge_;
    Address address_;
    NodeClock clock_;
    FakeTableStore store_;
    Duration receiveDelay_{};    ///< Time that a datagram spends in this node's receive queue.
    bool isFeedDown_ = false;    ///< Calls for changes fail; others reach the store.
    bool isStoreSilent_ = false; ///< Calls get no answer and fail by timeout.
    std::map<std::string, Duration> scanDelays_; ///< Additional delay of listings by table.
    std::size_t storeCalls_ = 0;
    FakeDialect dialect_;
    FakeUpstream upstream_;
    serving::EndpointRegistry endpointRegistry_;
    serving::LoadTracker loadTracker_;
    serving::Balancer balancer_;
    metrics::Registry registry_;
    serving::GatewayMetrics metrics_;
    serving::Gateway gateway_;
    std::unique_ptr<leases::LeaseKeeper> lease_;
    std::unique_ptr<serving::ReplicaManager> manager_;
    std::unique_ptr<serving::Node> node_;

private:
    friend class NodeFleet;

    class NoOrders;
    /// Lets a call time out if the store is silent for this node; true if so.
    template<typename Answer>
    bool timesOut(Duration wait, const Callback<Answer> &done);
    void poll(const platform::ChangeQuery &query, TimePoint until,
              const Callback<platform::ChangePage> &done);

    EntryId entry_;
    AvailabilityZone zone_;
    bool isRunning_ = true;
    std::unique_ptr<serving::ReplicaOrders> orders_;
    std::function<void(std::string_view)> handler_;
};

} // namespace cardamombay::support
