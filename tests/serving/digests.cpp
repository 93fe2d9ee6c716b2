// Collecting digests in a large fleet: selection of reporters, contents of sums, change history.
#include <cardamombay/serving/change_history.hpp>
#include <cardamombay/serving/digest_hub.hpp>
#include <cardamombay/serving/load_tracker.hpp>
#include <cardamombay/serving/reporters.hpp>

#include <algorithm>
#include <set>

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::serving;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const VmId head("head");
const TimePoint start{seconds(100)};

PeerInfo peerInfo(const std::string &name, const std::string &zone = "a")
{
    return {EntryId(name), {"10.0.0.1", 7340}, AvailabilityZone(zone)};
}

LoadDigest digest(const std::string &name, std::size_t underWay, std::size_t sent)
{
    LoadDigest result;
    result.from_ = EntryId(name);
    result.address_ = {"10.0.0.1", 7340};
    result.zone_ = AvailabilityZone("a");
    result.underWay_ = {{head, underWay}};
    result.sent_ = {{head, sent}};
    result.retries_ = {{ServiceName("s"), {10, 1}}};
    return result;
}

std::map<EntryId, AvailabilityZone> fleet(std::size_t each)
{
    std::map<EntryId, AvailabilityZone> result;
    for (const auto *zone : {"a", "b", "c"}) {
        for (std::size_t i = 0; i < each; ++i)
            result.emplace(EntryId(std::string(zone) + std::to_string(i)), AvailabilityZone(zone));
    }
    return result;
}

/// The reporters as seen by the entry VM \p name of the fleet \p all.
Reporters reportersOf(const std::string &name, std::map<EntryId, AvailabilityZone> all)
{
    Reporters result(EntryId(name), AvailabilityZone(name.substr(0, 1)));
    all.erase(EntryId(name));
    result.setPeers(std::move(all));
    return result;
}

EndpointChange change(const std::string &id, std::uint64_t version, std::uint32_t slots = 1)
{
    Endpoint endpoint;
    endpoint.id_ = VmId(id);
    endpoint.slots_ = slots;
    return {endpoint.id_, RowVersion(version), endpoint};
}

} // namespace

Test(digest_hub, sums_add_up_the_zone_and_the_other_zones)
{
    DigestHub hub(peerInfo("r"), Incarnation(1));
    hub.take(digest("r", 1, 100), start);
    hub.take(digest("m", 2, 100), start);
    LoadSummary other;
    other.sum_ = digest("x", 4, 100);
    other.roster_ = {peerInfo("x", "b"), peerInfo("y", "b")};
    hub.take(other, start);
    cr_assert_eq(hub.zoneSummary(start).sum_.underWay_.at(head), 3);
    const auto sum = hub.fleetSummary(start).sum_;
    cr_assert_eq(sum.underWay_.at(head), 7);
    cr_assert_eq(sum.retries_.at(ServiceName("s")).requests_, 30);
    cr_assert_eq(hub.roster(true, start).size(), 4);
    cr_assert_eq(hub.roster(false, start).size(), 2);
    cr_assert_eq(hub.members().size(), 1);
}

Test(digest_hub, source_that_falls_silent_drops_out_and_sent_tokens_never_fall)
{
    DigestHub hub(peerInfo("r"), Incarnation(1));
    hub.take(digest("m", 2, 1000), start);
    hub.take(digest("m", 2, 1500), start + milliseconds(100));
    const auto later = start + seconds(2);
    hub.take(digest("n", 1, 50), later);
    hub.expire(later);
    hub.take(digest("n", 1, 80), later + milliseconds(100));
    const auto sum = hub.zoneSummary(later + milliseconds(100)).sum_;
    cr_assert_eq(sum.underWay_.at(head), 1);
    cr_assert_eq(sum.sent_.at(head), 530);
}

Test(digest_hub, confirmations_grow_old_while_they_are_held)
{
    DigestHub hub(peerInfo("r"), Incarnation(1));
    auto watching = digest("m", 0, 0);
    watching.relay_ = RelayState{ConfigVersion(3), milliseconds(100), RowVersion(9), {}};
    hub.take(watching, start);
    const auto sum = hub.fleetSummary(start + milliseconds(300)).sum_;
    cr_assert_eq(sum.relay_->config_, ConfigVersion(3));
    cr_assert_geq(sum.relay_->configAge_.count(), Duration(milliseconds(400)).count());
}

Test(fleet_reader, own_news_are_taken_off_the_sum_of_the_fleet)
{
    FleetReader reader;
    LoadSummary fleet;
    fleet.sum_ = digest("r", 5, 10'000);
    fleet.since_ = Incarnation(1);
    auto others = reader.others(fleet, digest("self", 2, 3000));
    cr_assert_eq(others.underWay_.at(head), 3);
    cr_assert_eq(others.retries_.at(ServiceName("s")).retries_, 0);
    cr_assert_eq(others.sent_.at(head), 0);
    // This entry VM reports 700 more tokens, which appear in the sum a digest later, together with
    // 500 of others.
    others = reader.others(fleet, digest("self", 2, 3700));
    cr_assert_eq(others.sent_.at(head), 0);
    fleet.sum_.sent_[head] = 11'200;
    others = reader.others(fleet, digest("self", 2, 3700));
    cr_assert_eq(others.sent_.at(head), 500);
}

Test(reporters, small_fleet_needs_none)
{
    cr_assert_not(reportersOf("a0", fleet(5)).areNeeded());
    cr_assert(reportersOf("a0", fleet(6)).areNeeded());
}

Test(reporters, all_of_a_zone_agree_on_one_and_other_zones_know_it)
{
    const auto all = fleet(6);
    std::set<EntryId> chosen;
    for (const auto &[entry, zone] : all) {
        if (zone == AvailabilityZone("a"))
            chosen.insert(reportersOf(entry.text(), all).own(start).value_or(entry));
    }
    cr_assert_eq(chosen.size(), 1);
    const auto known = reportersOf("b0", all).others(start);
    cr_assert_eq(known.size(), 4);
    cr_assert(std::find(known.begin(), known.end(), *chosen.begin()) != known.end());
}

Test(reporters, one_that_brings_no_sums_is_passed_over_for_a_while)
{
    const auto all = fleet(6);
    for (const auto &[entry, zone] : all) {
        auto reporters = reportersOf(entry.text(), all);
        const auto first = reporters.own(start);
        if (!first)
            continue;
        reporters.check(start);
        reporters.heard(*first, start + milliseconds(400));
        reporters.check(start + milliseconds(800));
        cr_assert(reporters.own(start + milliseconds(800)) == first);
        reporters.check(start + milliseconds(900));
        cr_assert(reporters.own(start + milliseconds(900)) != first);
        cr_assert(reporters.own(start + seconds(4)) == first);
    }
}

// Guards against zones that do not hear each other once the first two of each have ended: sums went
// to these two only.
Test(reporters, all_members_of_a_silent_zone_are_tried_in_turn)
{
    const auto all = fleet(6);
    for (const auto &[entry, zone] : all) {
        auto reporters = reportersOf(entry.text(), all);
        if (reporters.own(start))
            continue;
        reporters.check(start);
        cr_assert_eq(reporters.others(start + milliseconds(400)).size(), 4);
        std::set<EntryId> tried;
        for (auto at = milliseconds(500); at < milliseconds(800); at += milliseconds(100)) {
            reporters.check(start + at);
            const auto others = reporters.others(start + at);
            cr_assert_leq(others.size(), 8);
            tried.insert(others.begin(), others.end());
        }
        cr_assert_eq(tried.size(), 12);
    }
}

// Guards against a reporter of another zone that is told nothing because others rank before it.
Test(reporters, one_that_reports_for_another_zone_is_told_whatever_its_rank)
{
    const auto all = fleet(6);
    auto reporters = reportersOf("a0", all);
    reporters.check(start);
    const auto usual = reporters.others(start);
    for (int i = 0; i < 6; ++i) {
        const EntryId last("b" + std::to_string(i));
        const bool isUsual = std::find(usual.begin(), usual.end(), last) != usual.end();
        reporters.heardZone(AvailabilityZone("b"), last, start);
        const auto others = reporters.others(start + milliseconds(400));
        cr_assert(std::find(others.begin(), others.end(), last) != others.end());
        reporters.check(start + milliseconds(500));
        reporters.heardZone(AvailabilityZone("b"), usual.front(), start + milliseconds(500));
        const auto later = reporters.others(start + milliseconds(500));
        cr_assert_eq(std::find(later.begin(), later.end(), last) != later.end(), isUsual);
    }
}

Test(change_history, tells_each_endpoint_once_with_its_newest_entry)
{
    ChangeHistory history;
    cr_assert_not(history.after(RowVersion(1)));
    history.restart(RowVersion(4));
    history.add(change("x", 5, 3), start);
    history.add(change("y", 6), start);
    history.add(change("x", 7, 4), start);
    const auto missed = history.after(RowVersion(4));
    cr_assert(missed);
    cr_assert_eq(missed->to_, RowVersion(7));
    cr_assert_eq(missed->changes_.size(), 2);
    cr_assert_eq(missed->changes_.back().endpoint_->slots_, 4);
    cr_assert_not(history.after(RowVersion(7)));
    cr_assert_not(history.after(RowVersion(3)));
}

Test(change_history, ends_that_are_old_are_forgotten_and_their_readers_list_anew)
{
    ChangeHistory history;
    history.restart(RowVersion(4));
    history.add({VmId("x"), RowVersion(5), std::nullopt}, start);
    cr_assert(history.after(RowVersion(4)));
    history.add(change("y", 6), start + seconds(11));
    cr_assert_not(history.after(RowVersion(4)));
    cr_assert(history.after(RowVersion(5)));
}

Test(change_history, reader_that_missed_many_changes_is_told_each_endpoint_once)
{
    ChangeHistory history;
    history.restart(RowVersion(1));
    std::uint64_t version = 1;
    for (int round = 0; round < 5; ++round) {
        for (int engine = 0; engine < 1100; ++engine)
            history.add(change("e" + std::to_string(engine), ++version),
                        start + seconds(round * 4));
    }
    const auto missed = history.after(RowVersion(1));
    cr_assert(missed);
    cr_assert_eq(missed->changes_.size(), 1100);
    cr_assert_eq(missed->to_, RowVersion(version));
    cr_assert(std::is_sorted(
        missed->changes_.begin(), missed->changes_.end(),
        [](const auto &left, const auto &right) { return left.version_ < right.version_; }));
}

Test(change_history, endpoint_that_is_listed_again_is_not_told_as_ended)
{
    ChangeHistory history;
    history.restart(RowVersion(4));
    history.add({VmId("x"), RowVersion(5), std::nullopt}, start);
    history.add(change("x", 6), start + seconds(1));
    history.add(change("y", 7), start + seconds(12));
    const auto missed = history.after(RowVersion(5));
    cr_assert(missed);
    cr_assert_eq(missed->changes_.size(), 2);
    cr_assert(missed->changes_.front().endpoint_);
}
