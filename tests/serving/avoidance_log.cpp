// Which lines are written about endpoints that break new requests.
#include <cardamombay/serving/avoidance_log.hpp>

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::serving;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr TimePoint start{std::chrono::hours(1)};
const VmId engine("e-1");

bool isAlwaysListed(const VmId & /*endpoint*/)
{
    return true;
}

LoadTracker::PeerLoad failing(std::size_t entries, std::size_t count)
{
    LoadTracker::PeerLoad result;
    result.at_ = start;
    result.entries_ = entries;
    result.failing_.emplace(engine, count);
    return result;
}

} // namespace

// Guards against a line for each digest period, and against an end without its duration.
Test(avoidance_log, begin_and_end_are_logged_once)
{
    AvoidanceLog log;
    const std::map<VmId, LoadTracker::Breaking> breaking{{engine, {true, 2, 1, {"entry-3"}}}};

    const auto begin = log.update(breaking, isAlwaysListed, start);
    cr_assert_eq(begin.size(), 1);
    cr_expect_eq(begin[0].event_, "endpoint-avoided");
    const std::vector<Detail> expected{{"endpoint", "e-1"},
                                       {"breaks", "2"},
                                       {"reports", "1"},
                                       {"from", "own"},
                                       {"told-by", "entry-3"}};
    cr_expect(begin[0].details_ == expected);
    cr_expect_eq(log.size(), 1);
    cr_expect(log.update(breaking, isAlwaysListed, start + seconds(1)).empty());
    const auto end = log.update({}, isAlwaysListed, start + milliseconds(1500));
    cr_assert_eq(end.size(), 1);
    cr_expect_eq(end[0].event_, "endpoint-used-again");
    cr_expect_eq(end[0].details_[1].value_, "1500");
    cr_expect_eq(log.size(), 0);
}

// Guards against a peer that fills the log with names of endpoints that do not exist, and against
// endpoints that remain avoided after the store has removed them.
Test(avoidance_log, endpoints_that_are_not_listed_are_left_out)
{
    AvoidanceLog log;
    const std::map<VmId, LoadTracker::Breaking> breaking{{engine, {false, 0, 5, {"entry-3"}}}};
    const auto isNeverListed = [](const VmId &) { return false; };

    cr_expect(log.update(breaking, isNeverListed, start).empty());
    cr_expect_eq(log.update(breaking, isAlwaysListed, start).size(), 1);
    const auto end = log.update(breaking, isNeverListed, start + seconds(1));
    cr_assert_eq(end.size(), 1);
    cr_expect_eq(end[0].details_[2].value_, "no");
}

// Guards against a log that senders with forged names fill.
Test(avoidance_log, ignored_reports_are_logged_once_a_sender_and_for_64_senders)
{
    AvoidanceLog log;

    cr_expect_not(log.ignored(EntryId("entry-1"), 0).has_value());
    cr_expect(log.ignored(EntryId("entry-1"), 3).has_value());
    cr_expect_not(log.ignored(EntryId("entry-1"), 3).has_value());
    std::size_t lines = 1;
    for (int i = 2; i < 500; ++i)
        lines += log.ignored(EntryId("entry-" + std::to_string(i)), 1).has_value() ? 1 : 0;
    cr_expect_eq(lines, 64);
}

// Guards against lines that differ from what the choice of endpoints goes by.
Test(avoidance_log, breaking_endpoints_are_those_that_are_avoided)
{
    LoadTracker tracker;
    tracker.broke(engine, tracker.started(engine, 0, start), start);
    cr_expect(tracker.breakingEndpoints(start).empty());
    tracker.broke(engine, tracker.started(engine, 0, start), start);
    const auto own = tracker.breakingEndpoints(start);
    cr_assert_eq(own.count(engine), 1);
    cr_expect(own.at(engine).isOwn_);
    cr_expect_eq(own.at(engine).breaks_, 2);
    tracker.answered(engine, tracker.started(engine, 0, start));
    cr_expect(tracker.breakingEndpoints(start).empty());

    tracker.setPeerLoad("entry-2", failing(1, 1000));
    cr_expect(tracker.breakingEndpoints(start).empty());
    tracker.setPeerLoad("entry-3", failing(1, 1));
    const auto told = tracker.breakingEndpoints(start);
    cr_assert_eq(told.count(engine), 1);
    cr_expect_not(told.at(engine).isOwn_);
    cr_expect_eq(told.at(engine).reports_, 2);
    cr_expect(told.at(engine).toldBy_ == (std::vector<std::string>{"entry-2", "entry-3"}));
    cr_expect(tracker.isBreaking(engine, start));
    cr_expect(tracker.breakingEndpoints(start + seconds(1)).empty());
}
