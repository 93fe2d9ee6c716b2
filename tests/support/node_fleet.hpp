/// \file
/// \brief Many entry VMs' control sides in one process, on a paused clock.
/// \details Each has a clock of its own with another zero, datagrams that are late, lost and out of
/// order, and a link to one store in memory. A node may be paused, read its datagrams late, or be
/// cut off from the store.
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

/// \brief A clock that is ahead of the fleet's, and stands still with its process.
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

    /// \brief Runs \p action now, or once the process goes on.
    void run(std::function<void()> action);
    void setPaused(bool isPaused);

private:
    ManualClock &clock_;
    Duration ahead_;
    bool isPaused_ = false;
    std::vector<std::function<void()>> deferred_;
};

/// \brief Rows "endpoints", as "domain" or "domain group rank" or "domain group rank cold-ms", and
/// "config", the latter as "version key key". An endpoint that leaves has drainingMark before its
/// domain; its availability zone has the name of the domain. Beside the configuration stand rows
/// "evacuate zone".
class FleetFormat final : public serving::StoreFormat
{
public:
    static constexpr std::string_view drainingMark = "draining";
    static constexpr std::string_view evacuationMark = "evacuate ";
    /// \brief What a cold endpoint takes, requests a second.
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

/// \brief Where an endpoint of a NodeFleet listens.
[[nodiscard]] Address engineAddress(const std::string &endpoint);

/// \brief Faults of the network between entry VMs.
struct DatagramFaults
{
    double lossShare_ = 0;
    Duration longestWay_ = std::chrono::milliseconds(5);
};

class FleetNode;

/// \brief The entry VMs and what they share.
class NodeFleet
{
public:
    /// \param large entry VMs of each zone that are large, the first ones.
    NodeFleet(std::size_t entries, std::size_t zones, std::size_t large, std::uint64_t seed);
    ~NodeFleet();

    void start(bool isFirstStart = true);
    /// \brief Advances the fleet's clock.
    void pass(Duration time) { clock_.advance(time); }

    /// \brief Lists an endpoint in fabric domain \p domain, or ends it if that is empty.
    void list(const std::string &endpoint, const std::string &domain);

    /// \brief A listed endpoint says that it leaves.
    void drain(const std::string &endpoint);

    /// \brief Lists an open group of two engines of model "m" whose head is \p head.
    /// \param coldFor how long the head says that it stays cold.
    void listGroup(const std::string &head, const std::string &domain = "d", Duration coldFor = {});

    /// \brief Operators evacuate a zone, or take that back.
    void evacuate(const std::string &zone);
    void takeBack(const std::string &zone);

    /// \brief Writes a configuration in which \p keys are valid.
    void configure(std::uint64_t version, const std::vector<std::string> &keys);

    /// \brief Time in which all entry VMs must know of a change.
    [[nodiscard]] Duration newsBound() const;

    void deliver(const Address &to, std::string text);
    [[nodiscard]] FleetNode &node(std::size_t index) { return *nodes_[index]; }
    [[nodiscard]] std::size_t size() const { return nodes_.size(); }
    /// \brief Calls to the store of all nodes.
    [[nodiscard]] std::size_t storeCalls() const;
    /// \brief Peers that a node knows, the fewest and the most of all nodes from \p first on.
    [[nodiscard]] std::pair<std::size_t, std::size_t> peersKnown(std::size_t first = 0);
    /// \brief The node that holds the planner's lease; null if none does.
    [[nodiscard]] FleetNode *planner();

    ManualClock clock_;
    FakePlatform platform_{clock_};
    FleetFormat format_;
    DatagramFaults faults_;
    std::function<void(std::string &)> spoils_; ///< May change each datagram; nothing if empty.
    RowVersion historyFrom_;                    ///< The store has forgotten the changes before.
    std::map<std::string, RowVersion> ended_;   ///< Endpoints that are listed no more, since when.
    std::map<std::string, RowVersion>
        takenBack_; ///< Rows of evacuations that are gone, since when.
    Random random_;
    std::size_t datagramsSent_ = 0; ///< By all nodes, lost ones included.
    std::size_t bytesSent_ = 0;     ///< In these.

private:
    std::vector<std::unique_ptr<FleetNode>> nodes_;
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

    /// \brief True if it has made a call to the store since \p calls were counted.
    [[nodiscard]] bool hasCalledSince(std::size_t calls) const { return storeCalls_ > calls; }

    /// \brief The version of the configuration in force here; none before the first one.
    [[nodiscard]] ConfigVersion configuration() const;

    /// \brief True if a request with \p key would be let in now.
    [[nodiscard]] bool honours(const std::string &key) const;

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
    Duration readsLateBy_{};     ///< A datagram waits that long in the queue of this node.
    bool isFeedCut_ = false;     ///< Calls for changes fail; others reach the store.
    bool isStoreSilent_ = false; ///< Calls get no answer and fail when their time is over.
    std::map<std::string, Duration> slowTables_; ///< How much later their listings arrive.
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
    class NoOrders;
    /// Fails a call of a store that is silent for this node; true if it was one.
    template<typename Answer>
    bool isUnanswered(Duration wait, const Callback<Answer> &done);
    void poll(const platform::ChangeQuery &query, TimePoint until,
              const Callback<platform::ChangePage> &done);

    EntryId entry_;
    AvailabilityZone zone_;
    std::unique_ptr<serving::ReplicaOrders> orders_;
    std::function<void(std::string_view)> handler_;
};

} // namespace cardamombay::support
