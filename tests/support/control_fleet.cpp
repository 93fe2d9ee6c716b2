#include "support/control_fleet.hpp"

#include <algorithm>
#include <stdexcept>

namespace cardamombay::support {

namespace {

constexpr Duration timeStep = std::chrono::milliseconds(50);
constexpr Duration callLatency = std::chrono::milliseconds(2);
constexpr Duration peerTimeout = std::chrono::seconds(1);
constexpr std::uint32_t replicasPerZone = 3; ///< Two of lm and one of sm.

std::string zoneName(std::size_t zone)
{
    return "z" + std::to_string(zone);
}

control::NodeCharts requireCharts(const std::string &folder)
{
    auto charts = control::loadCharts(chart::ChartFolder(folder));
    if (!isOk(charts))
        throw std::runtime_error(messageOf(errorOf(charts)));
    return valueOf(std::move(charts));
}

config::ConfigSources sources(const ControlFleetShape &shape, const std::string &note)
{
    config::ConfigSources all;
    const std::string fencing = shape.checksFencing_ ? "" : "checks_fencing = false";
    all.base_ = {"base.toml", "# " + note + R"(
deployment = "fleet"

[teams.clerks]

[services.lm]
kind = "model"
model = { name = "m", version = "1" }
vms_per_replica = 2
replicas = 2
)" + fencing + R"(

[services.sm]
kind = "model"
model = { name = "s", version = "1" }
vms_per_replica = 3
replicas = 1
)" + fencing + R"(

[planner]
concurrent_loads = )" + std::to_string(shape.concurrentLoads_)
                                  + "\n"};
    for (std::size_t zone = 0; zone < shape.entriesPerZone_.size(); ++zone) {
        const auto name = zoneName(zone);
        all.overlays_.push_back({name + ".toml", "site = \"" + name + "\"\nregion = \"r\"\n"});
    }
    return all;
}

template<typename Value>
Callback<Value> answerTo(const std::shared_ptr<NodeProcess> &process, Callback<Value> done)
{
    return [process, done = std::move(done)](Result<Value> result) {
        process->run([done, result = std::move(result)] { done(result); });
    };
}

/// True if the process is draining or has left, so that heal() replaces it.
bool isDrainingOrLeft(const control::ControlNode &node)
{
    const auto &self = node.membership().self();
    return self.isDraining_ || self.status_ == membership::MemberStatus::Left;
}

class Orders final : public endpoint::EndpointOrders
{
public:
    Orders(FakeEndpointOrders &inner, std::shared_ptr<NodeProcess> process)
        : inner_(inner)
        , process_(std::move(process))
    {
    }

    void probe(VmId vm, Address address, Callback<endpoint::EndpointState> done) override
    {
        inner_.probe(std::move(vm), std::move(address), answerTo(process_, std::move(done)));
    }
    void send(Address address, endpoint::EndpointOrder order,
              Callback<endpoint::EndpointState> done) override
    {
        inner_.send(std::move(address), std::move(order), answerTo(process_, std::move(done)));
    }

private:
    FakeEndpointOrders &inner_;
    std::shared_ptr<NodeProcess> process_;
};

} // namespace

void NodeProcess::run(std::function<void()> action)
{
    if (isDead_)
        return;
    if (clock_.isPaused())
        deferred_.push_back(std::move(action));
    else
        action();
}

void NodeProcess::wake()
{
    for (const auto &action : std::exchange(deferred_, {}))
        run(action);
}

// ---- links of a node -----------------------------------------------------------------------

class ControlFleet::Table final : public platform::TableStore
{
public:
    Table(ControlFleet &fleet, std::shared_ptr<NodeProcess> process)
        : inner_(fleet.platform_)
        , clock_(fleet.clock_)
        , calls_(fleet.storeCalls_)
        , process_(std::move(process))
    {
    }

    void commit(platform::Transaction transaction, Callback<platform::CommitReceipt> done) override
    {
        ++calls_.commits_;
        auto answer = delayed(std::move(done));
        inner_.commit(std::move(transaction),
                      [process = process_, answer](Result<platform::CommitReceipt> result) {
                          if (process->losesStoreAnswers_)
                              result = Error(StoreAnswerLost{"commit", "answer dropped"});
                          answer(std::move(result));
                      });
    }
    void read(std::vector<platform::RowKey> keys,
              Callback<std::vector<platform::Row>> done) override
    {
        ++calls_.reads_;
        inner_.read(std::move(keys), delayed(std::move(done)));
    }
    void scan(platform::Scan scan, Callback<platform::ScanPage> done) override
    {
        ++calls_.reads_;
        inner_.scan(std::move(scan), delayed(std::move(done)));
    }

    FakeTableStore inner_;

private:
    template<typename Value>
    Callback<Value> delayed(Callback<Value> done)
    {
        return [this, answer = answerTo(process_, std::move(done))](Result<Value> result) {
            clock_.schedule(process_->extraStoreLatency_,
                            [answer, result = std::move(result)] { answer(result); });
        };
    }

    Clock &clock_;
    StoreCalls &calls_;
    std::shared_ptr<NodeProcess> process_;
};

class ControlFleet::Objects final : public platform::ObjectStore
{
public:
    Objects(FakePlatform &platform, std::shared_ptr<NodeProcess> process)
        : inner_(platform)
        , process_(std::move(process))
    {
    }

    void put(std::string name, std::string content, Callback<Done> done) override
    {
        inner_.put(std::move(name), std::move(content), answerTo(process_, std::move(done)));
    }
    void fetch(std::string name, Callback<std::string> done) override
    {
        inner_.fetch(std::move(name), answerTo(process_, std::move(done)));
    }

private:
    FakeObjectStore inner_;
    std::shared_ptr<NodeProcess> process_;
};

class ControlFleet::Directory final : public platform::VmDirectory
{
public:
    Directory(ControlFleet &fleet, std::shared_ptr<NodeProcess> process)
        : fleet_(fleet)
        , process_(std::move(process))
    {
    }

    void list(Callback<platform::VmList> done) override
    {
        fleet_.clock_.schedule(callLatency, [this, answer = answerTo(process_, std::move(done))] {
            answer(platform::VmList{fleet_.list_, callLatency});
        });
    }

private:
    ControlFleet &fleet_;
    std::shared_ptr<NodeProcess> process_;
};

class ControlFleet::Peers final : public control::ConfigPeers
{
public:
    Peers(ControlFleet &fleet, std::size_t self, std::shared_ptr<NodeProcess> process)
        : fleet_(fleet)
        , self_(self)
        , process_(std::move(process))
    {
    }

    void fetch(Address address, Callback<std::string> done) override
    {
        const std::size_t peer = fleet_.indexAt(address);
        const bool isCut
            = fleet_.cuts_.contains({self_, peer}) || fleet_.cuts_.contains({peer, self_});
        const bool isSilent = isCut || !fleet_.entry(peer).isRunning();
        fleet_.clock_.schedule(
            isSilent ? peerTimeout : callLatency,
            [this, peer, isSilent, answer = answerTo(process_, std::move(done))] {
                answer(isSilent ? noAnswer(peer) : contentAt(peer));
            });
    }

private:
    [[nodiscard]] Result<std::string> noAnswer(std::size_t peer) const
    {
        return Error(PeerUnreachable{fleet_.entry(peer).id_, "no answer"});
    }
    [[nodiscard]] Result<std::string> contentAt(std::size_t peer) const
    {
        const auto &node = fleet_.entry(peer).node_;
        const auto content = node ? node->configuration().encodedCurrent() : std::nullopt;
        return content ? Result<std::string>(*content) : noAnswer(peer);
    }

    ControlFleet &fleet_;
    std::size_t self_;
    std::shared_ptr<NodeProcess> process_;
};

struct ControlEntry::Links
{
    std::shared_ptr<NodeProcess> process_;
    std::unique_ptr<platform::TableStore> table_;
    FakeTableStore *store_ = nullptr;
    std::unique_ptr<platform::ObjectStore> objects_;
    std::unique_ptr<platform::VmDirectory> directory_;
    std::unique_ptr<control::ConfigPeers> peers_;
    std::unique_ptr<FakeEndpointOrders> fakeOrders_;
    std::unique_ptr<endpoint::EndpointOrders> orders_;
    DecisionLog decisions_;
};

// ---- fleet ---------------------------------------------------------------------------------

ControlFleet::ControlFleet(ControlFleetShape shape, std::uint64_t seed)
    : platform_(clock_)
    , endpoints_(clock_)
    , network_(clock_, seed)
    , charts_(requireCharts(shape.charts_))
    , shape_(std::move(shape))
    , seed_(seed)
    , operatorTable_(platform_)
    , operatorObjects_(platform_)
{
    for (std::uint64_t number = 1; number <= 2; ++number) {
        const EntryId name("operator-" + std::to_string(number));
        operators_.push_back(std::make_unique<config::ConfigStore>(
            clock_, operatorTable_, operatorObjects_, operatorRandom_,
            platform::WriterTokens(name, Incarnation{number})));
    }
    addVms();
    addEntries(seed);
}

ControlFleet::~ControlFleet() = default;

void ControlFleet::addVms()
{
    for (std::size_t zone = 0; zone < shape_.entriesPerZone_.size(); ++zone) {
        for (std::uint32_t number = 0; number < shape_.domainsPerZone_; ++number) {
            const FabricDomain domain(zoneName(zone) + "-d" + std::to_string(number));
            domains_.push_back(domain);
            for (std::uint32_t vm = 0; vm < shape_.vmsPerDomain_; ++vm) {
                const VmId id(domain.text() + "-v" + std::to_string(vm));
                const Address address{
                    "10.1." + std::to_string(domains_.size()) + "." + std::to_string(vm), 9000};
                vms_.push_back(id);
                endpoints_.addVm(id, address, shape_.checksFencing_);
                platform::VmRecord record;
                record.id_ = id;
                record.address_ = address;
                record.zone_ = AvailabilityZone(zoneName(zone));
                record.domain_ = domain;
                list_.push_back(record);
                truths_[id].state_ = endpoints_.state(id);
                truths_[id].changedAt_ = clock_.now();
            }
        }
    }
}

void ControlFleet::addEntries(std::uint64_t)
{
    for (std::size_t zone = 0; zone < shape_.entriesPerZone_.size(); ++zone) {
        for (std::uint32_t number = 0; number < shape_.entriesPerZone_[zone]; ++number) {
            const std::size_t index = entries_.size();
            auto entry = std::make_unique<ControlEntry>();
            entry->id_ = EntryId("e" + std::to_string(index));
            entry->address_ = {"10.0.0." + std::to_string(index + 1), 7000};
            entry->zone_ = AvailabilityZone(zoneName(zone));
            platform::VmRecord record;
            record.id_ = VmId(entry->id_.text());
            record.role_ = platform::VmRole::Entry;
            record.address_ = entry->address_;
            record.zone_ = entry->zone_;
            list_.push_back(record);
            entries_.push_back(std::move(entry));
        }
    }
    for (std::size_t index = 0; index < entries_.size(); ++index)
        startEntry(index);
}

void ControlFleet::startEntry(std::size_t index)
{
    ControlEntry &entry = *entries_[index];
    if (entry.links_)
        retiredLinks_.push_back(entry.links_);
    ++entry.runs_;
    entry.isPaused_ = false;
    entry.runsSince_ = clock_.now();
    network_.addNode(entry.id_, entry.address_);
    entry.links_ = std::make_shared<ControlEntry::Links>();
    auto &links = *entry.links_;
    links.process_ = std::make_shared<NodeProcess>(network_.clock(entry.id_));
    auto table = std::make_unique<Table>(*this, links.process_);
    links.store_ = &table->inner_;
    links.table_ = std::move(table);
    links.objects_ = std::make_unique<Objects>(platform_, links.process_);
    links.directory_ = std::make_unique<Directory>(*this, links.process_);
    links.peers_ = std::make_unique<Peers>(*this, index, links.process_);
    links.fakeOrders_ = std::make_unique<FakeEndpointOrders>(endpoints_, entry.id_);
    links.orders_ = std::make_unique<Orders>(*links.fakeOrders_, links.process_);

    control::ControlSettings settings;
    settings.self_ = entry.id_;
    settings.incarnation_ = Incarnation{entry.runs_};
    settings.peerAddress_ = entry.address_;
    settings.zone_ = entry.zone_;
    settings.region_ = RegionName("r");
    settings.randomSeed_ = seed_ * 1000 + entry.runs_ * 10 + index;
    settings.seeds_ = {entries_[index == 0 ? 1 : 0]->address_};
    entry.node_ = std::make_unique<control::ControlNode>(
        control::ControlLinks{network_.clock(entry.id_), network_.transport(entry.id_),
                              *links.peers_, *links.table_, *links.objects_, *links.directory_,
                              *links.orders_, links.decisions_},
        settings, charts_);
    network_.setHandler(entry.id_, [node = entry.node_.get()](const membership::Digest &digest) {
        return node->handle(digest);
    });
    entry.node_->start();
}

void ControlFleet::run(Duration time)
{
    while (time > Duration::zero()) {
        const Duration step = std::min(time, timeStep);
        clock_.advance(step);
        time -= step;
        updateTruth();
    }
}

void ControlFleet::jump(Duration time)
{
    clock_.jump(time);
    updateTruth();
}

bool ControlFleet::runUntil(const std::function<bool()> &condition, Duration limit)
{
    const TimePoint end = clock_.now() + limit;
    while (!condition()) {
        if (clock_.now() >= end)
            return false;
        run(timeStep);
    }
    return true;
}

void ControlFleet::updateTruth()
{
    for (auto &[vm, truth] : truths_) {
        const auto &state = endpoints_.state(vm);
        const bool isSame = state.incarnation_ == truth.state_.incarnation_
                            && state.phase_ == truth.state_.phase_
                            && state.assignment_ == truth.state_.assignment_;
        if (!isSame)
            truth.changedAt_ = clock_.now();
        truth.state_ = state;
    }
    for (auto &entry : entries_) {
        if (entry->node_)
            entry->highestInForce_
                = std::max(entry->highestInForce_, entry->node_->configuration().version());
    }
}

// ---- entry VMs -----------------------------------------------------------------------------

void ControlFleet::killEntry(std::size_t index, bool isSilent)
{
    ControlEntry &entry = *entries_[index];
    if (!entry.node_)
        return;
    entry.links_->process_->die();
    entry.node_.reset();
    entry.isPaused_ = false;
    network_.kill(entry.id_, isSilent);
}

void ControlFleet::restartEntry(std::size_t index)
{
    killEntry(index);
    startEntry(index);
}

void ControlFleet::pauseEntry(std::size_t index)
{
    ControlEntry &entry = *entries_[index];
    if (!entry.isRunning())
        return;
    entry.isPaused_ = true;
    network_.pause(entry.id_);
}

void ControlFleet::resumeEntry(std::size_t index)
{
    ControlEntry &entry = *entries_[index];
    if (!entry.isPaused_)
        return;
    entry.isPaused_ = false;
    entry.runsSince_ = clock_.now();
    network_.resume(entry.id_);
    entry.links_->process_->wake();
}

void ControlFleet::cut(std::size_t from, std::size_t to)
{
    cuts_.insert({from, to});
    network_.cut(entries_[from]->id_, entries_[to]->id_);
}

void ControlFleet::healCuts()
{
    cuts_.clear();
    network_.heal();
}

FakeTableStore &ControlFleet::store(std::size_t index)
{
    return *entries_[index]->links_->store_;
}

FakeEndpointOrders &ControlFleet::orders(std::size_t index)
{
    return *entries_[index]->links_->fakeOrders_;
}

NodeProcess &ControlFleet::process(std::size_t index)
{
    return *entries_[index]->links_->process_;
}

std::size_t ControlFleet::indexAt(const Address &address) const
{
    for (std::size_t index = 0; index < entries_.size(); ++index) {
        if (entries_[index]->address_ == address)
            return index;
    }
    throw std::runtime_error("no entry VM has this address");
}

// ---- endpoint VMs --------------------------------------------------------------------------

void ControlFleet::killVm(const VmId &vm)
{
    auto &truth = truths_.at(vm);
    if (std::exchange(truth.isDead_, true))
        return;
    truth.isPaused_ = false;
    truth.changedAt_ = clock_.now();
    endpoints_.kill(vm);
}

void ControlFleet::restartVm(const VmId &vm)
{
    killVm(vm);
    auto &truth = truths_.at(vm);
    truth.isDead_ = false;
    truth.changedAt_ = clock_.now();
    endpoints_.restart(vm);
}

void ControlFleet::pauseVm(const VmId &vm)
{
    auto &truth = truths_.at(vm);
    if (truth.isDead_ || std::exchange(truth.isPaused_, true))
        return;
    truth.changedAt_ = clock_.now();
    endpoints_.pause(vm);
}

void ControlFleet::resumeVm(const VmId &vm)
{
    auto &truth = truths_.at(vm);
    if (!std::exchange(truth.isPaused_, false))
        return;
    truth.changedAt_ = clock_.now();
    endpoints_.resume(vm);
}

void ControlFleet::setLeaving(const VmId &vm, bool isLeaving)
{
    for (auto &record : list_) {
        if (record.id_ == vm)
            record.status_ = isLeaving ? platform::VmStatus::Leaving : platform::VmStatus::Live;
    }
    if (isLeaving)
        leaving_.emplace(vm, clock_.now());
    else
        leaving_.erase(vm);
}

Address ControlFleet::addressOf(const VmId &vm) const
{
    for (const auto &record : list_) {
        if (record.id_ == vm)
            return record.address_;
    }
    throw std::runtime_error("no VM has this id");
}

std::vector<VmId> ControlFleet::vmsOf(const FabricDomain &domain) const
{
    std::vector<VmId> all;
    for (const auto &record : list_) {
        if (record.domain_ == domain)
            all.push_back(record.id_);
    }
    return all;
}

void ControlFleet::heal()
{
    platform_.faults_ = StoreFaults{};
    healCuts();
    network_.faults_ = PeerFaults{};
    for (std::size_t index = 0; index < entries_.size(); ++index) {
        resumeEntry(index);
        if (!entry(index).node_ || isDrainingOrLeft(*entry(index).node_))
            restartEntry(index);
        store(index).isCutOff_ = false;
        orders(index).isCutOff_ = false;
        orders(index).losesAnswers_ = false;
        process(index).losesStoreAnswers_ = false;
        process(index).extraStoreLatency_ = {};
    }
    for (const VmId &vm : vms()) {
        endpoints_.faults(vm) = {};
        resumeVm(vm);
        const bool isReplaced = truth(vm).isDead_ || leaving().contains(vm);
        if (isReplaced)
            restartVm(vm);
        setLeaving(vm, false);
    }
}

// ---- configuration -------------------------------------------------------------------------

void ControlFleet::applyConfiguration(const std::string &note, std::size_t operatorIndex)
{
    config::ConfigChange change;
    change.sources_ = sources(shape_, note);
    change.expected_ = stored();
    operators_[operatorIndex]->apply(std::move(change), [this](Result<ConfigVersion> result) {
        if (isOk(result))
            accepted_ = std::max(accepted_, valueOf(result));
    });
}

ConfigVersion ControlFleet::stored() const
{
    const auto *row = platform_.row({"config", "current"});
    if (!row)
        return {};
    const auto record = config::decodeRecord(row->value_);
    return isOk(record) ? valueOf(record).version_ : ConfigVersion{};
}

// ---- queries of actual state ---------------------------------------------------------------

std::vector<groups::GroupRow> ControlFleet::groupRows() const
{
    std::vector<groups::GroupRow> all;
    for (const auto &[key, row] : platform_.rows()) {
        if (key.table_ != "groups")
            continue;
        auto group = groups::decodeGroupRow(row.value_);
        if (isOk(group))
            all.push_back(valueOf(std::move(group)));
    }
    return all;
}

bool ControlFleet::isRowOf(const VmId &vm, const groups::GroupRow &row) const
{
    const auto *found = platform_.row(groups::vmKey(vm));
    if (!found)
        return false;
    const auto content = groups::decodeVmRow(found->value_);
    return isOk(content) && valueOf(content).group_ == row.group_
           && valueOf(content).generation_ == row.generation_;
}

std::optional<VmId> ControlFleet::strandedVm() const
{
    const auto rows = groupRows();
    for (const VmId &vm : vms_) {
        const auto &held = truths_.at(vm).state_.assignment_;
        const bool isInRow = std::any_of(rows.begin(), rows.end(), [&](const auto &row) {
            return held && row.group_ == held->group_ && row.generation_ == held->generation_
                   && !row.isFreeSlot() && row.rankOf(vm);
        });
        if (held && !isInRow)
            return vm;
    }
    return std::nullopt;
}

bool ControlFleet::isEveryoneAlive() const
{
    return std::all_of(entries_.begin(), entries_.end(), [&](const auto &entry) {
        return entry->isRunning()
               && entry->node_->membership().aliveMembers().size() == entries_.size();
    });
}

bool ControlFleet::isWhole(const groups::GroupRow &row) const
{
    return std::all_of(row.members_.begin(), row.members_.end(), [&](const VmId &vm) {
        const auto &truth = truths_.at(vm);
        return !truth.isDead_ && !truth.isPaused_ && row.isMatchedBy(truth.state_);
    });
}

std::size_t ControlFleet::wholeGroups() const
{
    const auto rows = groupRows();
    return static_cast<std::size_t>(std::count_if(
        rows.begin(), rows.end(), [&](const auto &row) { return row.isActive() && isWhole(row); }));
}

std::size_t ControlFleet::declaredReplicas() const
{
    return shape_.entriesPerZone_.size() * replicasPerZone;
}

bool ControlFleet::isInForce() const
{
    return std::all_of(entries_.begin(), entries_.end(), [&](const auto &entry) {
        return entry->isRunning() && entry->node_->configuration().version() == stored();
    });
}

bool ControlFleet::isServing() const
{
    if (wholeGroups() < declaredReplicas())
        return false;
    return std::all_of(entries_.begin(), entries_.end(), [&](const auto &entry) {
        if (!entry->isRunning())
            return true;
        std::size_t usable = 0;
        for (const auto &service : entry->node_->snapshot()->services_) {
            for (const auto &group : service.groups_)
                usable += group.zone_ == entry->zone_ && group.isUsable(clock_.now()) ? 1 : 0;
        }
        return usable >= replicasPerZone;
    });
}

} // namespace cardamombay::support
