// Orders and queries that the manager sends, and when it considers an order lost.
#include "support/fake_store.hpp"
#include "support/gateway_fixture.hpp"

#include <cardamombay/serving/replica_manager.hpp>

#include <utility>

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::serving;
using namespace cardamombay::support;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Records orders and queries without answering them.
class SilentOrders final : public ReplicaOrders
{
public:
    void send(const Endpoint &engine, const Order &order, std::uint64_t /*fence*/,
              Callback<OrderAnswer> /*done*/) override
    {
        sent_.emplace_back(engine.id_, order);
    }
    void state(const Endpoint &engine, Callback<Endpoint> done) override
    {
        stateQueries_.emplace_back(engine, std::move(done));
    }

    std::vector<std::pair<VmId, Order>> sent_;
    std::vector<std::pair<Endpoint, Callback<Endpoint>>> stateQueries_;
};

/// A spare engine with model "m" in memory.
Endpoint loadedIn(const std::string &id, const std::string &domain)
{
    auto result = spareEngine(id, domain, "m");
    result.model_ = ModelName("m");
    return result;
}

struct Bench
{
    Bench()
    {
        endpointRegistry_.put(spareEngine("a", "d", "m"));
        endpointRegistry_.put(spareEngine("b", "d", "m"));
        lease_.setCandidateRank(0);
        lease_.start();
        while (!lease_.isHeldFor(seconds(5)))
            clock_.advance(milliseconds(100));
    }

    static leases::LeaseProgramPtr program()
    {
        const auto chart = chart::ChartFolder(SOURCE_FOLDER "/charts").load("lease");
        return valueOf(leases::LeaseKeeper::bind(valueOf(chart)));
    }

    ManualClock clock_;
    FakePlatform platform_{clock_};
    FakeTableStore store_{platform_};
    leases::LeaseKeeper lease_{clock_,
                               store_,
                               Random(1),
                               leases::LeaseSettings{},
                               EntryId("e"),
                               Incarnation(1),
                               FabricDomain("fleet"),
                               program()};
    SilentOrders orders_;
    EndpointRegistry endpointRegistry_;
    LoadTracker loadTracker_;
    ReplicaManager manager_{{clock_, lease_, orders_, endpointRegistry_, loadTracker_}};
    RouteTable routes_{gatewayConfiguration()};
};

} // namespace

Test(replica_manager, order_counts_as_lost_only_if_a_later_list_lacks_its_effect)
{
    Bench bench;
    const auto sent = bench.clock_.now();
    bench.manager_.tick(bench.routes_, sent);
    cr_assert_eq(bench.orders_.sent_.size(), 2);
    bench.clock_.advance(milliseconds(1500));
    bench.manager_.tick(bench.routes_, sent + milliseconds(100));
    cr_assert_eq(bench.orders_.sent_.size(), 2);
    bench.manager_.tick(bench.routes_, bench.clock_.now());
    cr_assert_eq(bench.orders_.sent_.size(), 4);
}

Test(replica_manager, shorter_cold_time_in_an_entry_is_not_an_effect_of_an_order)
{
    Bench bench;
    auto engine = *bench.endpointRegistry_.find(VmId("a"));
    engine.coldFor_ = seconds(3);
    bench.endpointRegistry_.put(engine);
    const auto revision = bench.endpointRegistry_.revision();
    bench.manager_.tick(bench.routes_, bench.clock_.now());
    cr_assert_eq(bench.orders_.sent_.size(), 2);
    engine.coldFor_ = seconds(2);
    bench.endpointRegistry_.put(engine);
    bench.clock_.advance(milliseconds(100));
    bench.manager_.tick(bench.routes_, bench.clock_.now());
    cr_assert_eq(bench.orders_.sent_.size(), 2);
    cr_assert_eq(bench.endpointRegistry_.revision(), revision);
}

Test(replica_manager, stale_list_of_engines_is_not_planned_on)
{
    Bench bench;
    bench.manager_.tick(bench.routes_, bench.clock_.now() - seconds(3));
    cr_assert(bench.orders_.sent_.empty());
}

Test(replica_manager, no_group_forms_in_an_evacuated_zone_until_it_returns)
{
    Bench bench;
    for (const auto *id : {"a", "b"}) {
        auto engine = *bench.endpointRegistry_.find(VmId(id));
        engine.zone_ = AvailabilityZone("z");
        bench.endpointRegistry_.put(engine);
    }
    bench.endpointRegistry_.setEvacuated({AvailabilityZone("z")});
    bench.manager_.tick(bench.routes_, bench.clock_.now());
    cr_assert(bench.orders_.sent_.empty());
    bench.endpointRegistry_.setEvacuated({});
    bench.manager_.tick(bench.routes_, bench.clock_.now());
    cr_assert_eq(bench.orders_.sent_.size(), 2);
}

Test(replica_manager, first_start_waits_until_no_more_engines_are_listed)
{
    Bench bench;
    bench.manager_.setFirstStart();
    bench.manager_.tick(bench.routes_, bench.clock_.now());
    bench.clock_.advance(milliseconds(400));
    bench.endpointRegistry_.put(spareEngine("c", "d"));
    bench.manager_.tick(bench.routes_, bench.clock_.now());
    bench.clock_.advance(milliseconds(400));
    bench.manager_.tick(bench.routes_, bench.clock_.now());
    cr_assert(bench.orders_.sent_.empty());
    bench.clock_.advance(milliseconds(600));
    bench.manager_.tick(bench.routes_, bench.clock_.now());
    cr_assert_not(bench.orders_.sent_.empty());
}

Test(replica_manager, loading_engine_gets_no_second_order_while_another_model_is_on_its_host)
{
    Bench bench;
    auto profile = gatewayConfiguration();
    profile.services_.front().engine_->models_[1].members_ = 1;
    const RouteTable routes(profile);
    for (const auto *id : {"a", "b"})
        bench.endpointRegistry_.put(
            engineIn(id, "d", GroupName("m.1"), 1, id[0] == 'a' ? 0 : 1,
                     id[0] == 'a' ? MemberState::Open : MemberState::Ready));
    auto smallGroup = engineIn("n", "d", GroupName("n.2"), 2, 0, MemberState::Open);
    smallGroup.staged_ = {ModelName("n")};
    bench.endpointRegistry_.put(smallGroup);
    for (int i = 0; i < 10; ++i) {
        bench.manager_.tick(routes, bench.clock_.now());
        bench.clock_.advance(seconds(1));
    }
    cr_assert_eq(bench.orders_.sent_.size(), 1);
    cr_assert(std::holds_alternative<StageOrder>(bench.orders_.sent_.front().second));
}

Test(replica_manager, restarted_engine_is_sent_its_orders_again)
{
    Bench bench;
    bench.manager_.tick(bench.routes_, bench.clock_.now());
    const auto before = bench.orders_.sent_.size();
    cr_assert_gt(before, 0);
    auto restarted = spareEngine("a", "d", "m");
    restarted.startedAt_ = 7;
    bench.endpointRegistry_.put(restarted);
    bench.clock_.advance(milliseconds(10));
    bench.manager_.tick(bench.routes_, bench.clock_.now());
    const auto &[engine, order] = bench.orders_.sent_.back();
    cr_assert_gt(bench.orders_.sent_.size(), before);
    cr_assert_eq(engine, VmId("a"));
}

Test(replica_manager, unresponsive_engine_is_queried_again_after_it_has_left_its_group)
{
    Bench bench;
    bench.endpointRegistry_.put(engineIn("a", "d", GroupName("m.1"), 1, 0, MemberState::Open));
    bench.endpointRegistry_.put(engineIn("b", "d", GroupName("m.1"), 1, 1, MemberState::Ready));
    bench.loadTracker_.started(VmId("a"), 10, bench.clock_.now());
    bench.loadTracker_.stalled(VmId("a"), bench.clock_.now());
    bench.manager_.tick(bench.routes_, bench.clock_.now());
    cr_assert_eq(bench.orders_.stateQueries_.size(), 2);
    for (const auto &[engine, done] : std::exchange(bench.orders_.stateQueries_, {}))
        done(Error(TimedOut{"question", milliseconds(150)}));
    for (const auto *id : {"a", "b"})
        bench.endpointRegistry_.put(spareEngine(id, "d", "m"));
    bench.clock_.advance(seconds(3));
    bench.manager_.tick(bench.routes_, bench.clock_.now());
    cr_assert(bench.orders_.sent_.empty());
    cr_assert_eq(bench.orders_.stateQueries_.size(), 2);
    for (const auto &[engine, done] : std::exchange(bench.orders_.stateQueries_, {}))
        done(engine);
    bench.clock_.advance(milliseconds(100));
    bench.manager_.tick(bench.routes_, bench.clock_.now());
    cr_assert_eq(bench.orders_.sent_.size(), 2);
}

/// Guards against planning one service discarding the manager's state of another service's engines.
Test(replica_manager, survivors_form_cross_domain_group_beside_a_second_service)
{
    Bench bench;
    auto configuration = gatewayConfiguration();
    auto second = configuration.services_.front();
    second.name_ = ServiceName("more-engines");
    configuration.services_.push_back(second);
    const RouteTable routes(configuration);
    bench.endpointRegistry_.put(loadedIn("a", "d"));
    bench.endpointRegistry_.put(loadedIn("b", "e"));
    auto other = loadedIn("c", "d");
    other.service_ = second.name_;
    bench.endpointRegistry_.put(other);
    for (int step = 0; step < 40 && bench.orders_.sent_.empty(); ++step) {
        bench.manager_.tick(routes, bench.clock_.now());
        bench.clock_.advance(milliseconds(100));
    }
    cr_assert_eq(bench.orders_.sent_.size(), 2);
}

/// Guards against engines that a small group gave for a larger one and that form small groups
/// again, since the demand has changed when they are free.
Test(replica_manager, engines_of_a_group_closed_for_a_larger_one_are_kept_for_it)
{
    Bench bench;
    auto configuration = gatewayConfiguration();
    auto &models = configuration.services_.front().engine_->models_;
    models[0].members_ = 4;
    models[1].members_ = 2;
    const RouteTable routes(configuration);
    const auto addGroup = [&bench](const std::string &name, const std::string &domain,
                                   std::uint32_t members) {
        for (std::uint32_t rank = 0; rank < members; ++rank) {
            auto engine = engineIn(name + "-" + std::to_string(rank), domain, GroupName(name), 1,
                                   rank, rank == 0 ? MemberState::Open : MemberState::Ready);
            engine.staged_ = {ModelName("m")};
            bench.endpointRegistry_.put(engine);
        }
    };
    for (const auto *name : {"n.1", "n.2", "n.3"})
        addGroup(name, "d", 2);
    addGroup("m.9", "e", 4);
    bench.endpointRegistry_.put(loadedIn("a", "d"));
    bench.endpointRegistry_.put(loadedIn("b", "d"));
    bench.manager_.setDemand({{ModelName("m"), 2}, {ModelName("n"), 2}});
    bench.manager_.tick(routes, bench.clock_.now());
    cr_assert_eq(bench.orders_.sent_.size(), 1);
    const auto *close = std::get_if<CloseOrder>(&bench.orders_.sent_.front().second);
    cr_assert_not_null(close);
    for (const auto *rank : {"-0", "-1"}) {
        auto engine = *bench.endpointRegistry_.find(VmId(close->group_.text() + rank));
        engine.membership_.reset();
        bench.endpointRegistry_.put(engine);
    }
    bench.manager_.setDemand({{ModelName("m"), 0.01}, {ModelName("n"), 9}});
    bench.clock_.advance(milliseconds(900));
    bench.manager_.tick(routes, bench.clock_.now());
    cr_assert_eq(bench.orders_.sent_.size(), 5);
    for (std::size_t i = 1; i < bench.orders_.sent_.size(); ++i) {
        const auto *join = std::get_if<JoinOrder>(&bench.orders_.sent_[i].second);
        cr_assert_not_null(join);
        cr_assert_eq(join->model_, ModelName("m"));
    }
}
