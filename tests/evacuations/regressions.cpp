// Tests that all entry VMs learn of evacuated availability zones in time and send nothing there.
#include "support/node_fleet.hpp"

#include <cardamombay/core/hash.hpp>

#include <cstdio>

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::serving;
using namespace cardamombay::support;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Required time after which no request may reach the zone.
constexpr Duration evacuateWithin = seconds(5);
constexpr Duration settling = seconds(4);
constexpr Duration step = milliseconds(20);
constexpr double heavyLoss = 0.33;
const AvailabilityZone evacuatedZone("a");

/// Entry VMs and one group in each of three zones.
class Fleet
{
public:
    Fleet(std::size_t entries, double lossShare, std::uint64_t seed)
        : nodes_(entries, entries > 100 ? 5 : 3, entries > 16 ? 2 : 0, seed)
    {
        nodes_.faults_.lossShare_ = lossShare;
        for (const auto *zone : {"a", "b", "c"})
            nodes_.listGroup(std::string("head-") + zone, zone);
        nodes_.configure(1, {"key"});
        nodes_.start();
        nodes_.pass(settling);
    }

    [[nodiscard]] std::size_t obeying(bool isEvacuated)
    {
        std::size_t result = 0;
        for (std::size_t i = 0; i < nodes_.size(); ++i) {
            const auto *head = nodes_.node(i).endpointRegistry_.find(VmId("head-a"));
            if (head != nullptr
                && nodes_.node(i).endpointRegistry_.isEvacuated(*head) == isEvacuated)
                ++result;
        }
        return result;
    }

    /// \returns the time until all entry VMs know the change.
    Duration untilKnown(bool isEvacuated)
    {
        const auto since = nodes_.clock_.now();
        while (obeying(isEvacuated) < nodes_.size()
               && nodes_.clock_.now() - since < 4 * evacuateWithin)
            nodes_.pass(step);
        return nodes_.clock_.now() - since;
    }

    NodeFleet nodes_;
};

void check(std::size_t entries, double lossShare, std::uint64_t seed)
{
    Fleet fleet(entries, lossShare, seed);
    fleet.nodes_.evacuate("a");
    const auto known = fleet.untilKnown(true);
    fleet.nodes_.revokeEvacuation("a");
    const auto back = fleet.untilKnown(false);
    std::printf("%zu entry VMs, %.2f of the datagrams lost: evacuated after %ld ms, back after %ld "
                "ms\n",
                entries, lossShare, static_cast<long>(toMilliseconds(known)),
                static_cast<long>(toMilliseconds(back)));
    cr_expect_leq(known.count(), (evacuateWithin / 2).count());
    cr_expect_leq(back.count(), (evacuateWithin / 2).count());
}

} // namespace

Test(evacuations, seven_entry_vms_know_in_half_of_the_bound)
{
    check(7, heavyLoss, 1);
}

Test(evacuations, sixty_five_entry_vms_know_in_half_of_the_bound)
{
    check(65, heavyLoss, 2);
}

Test(evacuations, a_fleet_of_195_knows_in_half_of_the_bound)
{
    check(195, heavyLoss, 3);
}

Test(evacuations, nothing_is_sent_to_an_evacuated_zone)
{
    GatewayFixture fixture;
    auto endpoint = *fixture.endpointRegistry_.find(VmId("p-0"));
    endpoint.zone_ = evacuatedZone;
    fixture.endpointRegistry_.put(endpoint);
    fixture.endpointRegistry_.setEvacuated({evacuatedZone});
    for (int i = 0; i < 8; ++i) {
        (void)fixture.ask("/again/" + std::to_string(i));
        cr_assert_eq(fixture.lastCall()->field("endpoint"), "p-1");
    }
}

Test(evacuations, send_whose_connection_is_being_made_is_withheld)
{
    GatewayFixture fixture;
    fixture.addGroup("head");
    auto head = *fixture.endpointRegistry_.find(VmId("head"));
    head.zone_ = evacuatedZone;
    fixture.endpointRegistry_.put(head);
    (void)fixture.ask("/stream/1");
    fixture.endpointRegistry_.setEvacuated({evacuatedZone});
    cr_assert_not(fixture.lastCall()->connect());
}

Test(evacuations, group_serves_again_once_its_zone_is_back)
{
    GatewayFixture fixture;
    fixture.addGroup("head");
    auto head = *fixture.endpointRegistry_.find(VmId("head"));
    head.zone_ = evacuatedZone;
    fixture.endpointRegistry_.put(head);
    fixture.endpointRegistry_.setEvacuated({evacuatedZone});
    const auto caller = fixture.ask("/stream/1");
    cr_assert(fixture.upstream_.calls_.empty());
    fixture.endpointRegistry_.setEvacuated({});
    fixture.pass(milliseconds(40));
    cr_assert_eq(fixture.upstream_.calls_.size(), 1);
}

Test(evacuations, endpoints_of_a_zone_that_is_back_count_as_cold)
{
    Fleet fleet(7, 0, 4);
    fleet.nodes_.evacuate("a");
    (void)fleet.untilKnown(true);
    fleet.nodes_.revokeEvacuation("a");
    (void)fleet.untilKnown(false);
    for (std::size_t i = 0; i < fleet.nodes_.size(); ++i) {
        auto &node = fleet.nodes_.node(i);
        cr_assert(node.gateway_.coldEndpoints().perSecond({VmId("head-a"), 0}));
        cr_assert_not(node.gateway_.coldEndpoints().perSecond({VmId("head-b"), 0}));
    }
}

Test(evacuations, zone_stays_evacuated_while_entry_vms_have_lost_the_store)
{
    Fleet fleet(7, 0, 5);
    fleet.nodes_.evacuate("a");
    (void)fleet.untilKnown(true);
    for (std::size_t i = 0; i < fleet.nodes_.size(); ++i)
        fleet.nodes_.node(i).isStoreSilent_ = true;
    fleet.nodes_.pass(seconds(10));
    cr_assert_eq(fleet.obeying(true), 7);
}

Test(evacuations, zone_that_is_emptied_and_back_within_a_moment_serves)
{
    Fleet fleet(65, heavyLoss, 6);
    fleet.nodes_.evacuate("a");
    fleet.nodes_.pass(milliseconds(60));
    fleet.nodes_.revokeEvacuation("a");
    fleet.nodes_.pass(evacuateWithin);
    cr_assert_eq(fleet.obeying(false), 65);
}

Test(evacuations, older_word_of_a_peer_does_not_bring_an_evacuation_back)
{
    Evacuations evacuations;
    cr_assert(evacuations.changed(evacuatedZone, true, RowVersion(5)));
    cr_assert(evacuations.changed(evacuatedZone, false, RowVersion(8)));
    cr_assert_not(evacuations.take({RowVersion(6), {evacuatedZone}}));
    cr_assert(evacuations.zones().empty());
}

Test(evacuations, restored_store_that_lacks_the_row_takes_nothing_back)
{
    Evacuations evacuations;
    (void)evacuations.changed(evacuatedZone, true, RowVersion(5));
    cr_assert_not(evacuations.listed({}, RowVersion(9), true));
    cr_assert(evacuations.zones().contains(evacuatedZone));
    cr_assert(evacuations.listed({}, RowVersion(10), false));
}

Test(evacuations, digests_say_nothing_of_zones_while_none_was_ever_evacuated)
{
    LoadDigest digest;
    digest.from_ = EntryId("entry");
    digest.relay_ = RelayState{ConfigVersion(3), {}, RowVersion(9), {}};
    cr_assert_eq(encode(digest).find("evacuated"), std::string::npos);
    digest.relay_->evacuations_ = {RowVersion(12), {evacuatedZone}};
    cr_assert_eq(decodeLoadDigest(encode(digest))->relay_->evacuations_,
                 digest.relay_->evacuations_);
}
