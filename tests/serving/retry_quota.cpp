// Tests how the fleet's budget of retries is divided, transferred and inherited.
#include <cardamombay/core/manual_clock.hpp>
#include <cardamombay/serving/fleet_size.hpp>
#include <cardamombay/serving/peer_digests.hpp>
#include <cardamombay/serving/quota_exchange.hpp>
#include <cardamombay/serving/quota_history.hpp>
#include <cardamombay/serving/retry_quota.hpp>

#include <map>
#include <memory>
#include <vector>

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::serving;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

const TimePoint start{seconds(100)};
const ServiceName service("s");
constexpr Duration window = seconds(10);
constexpr Duration slice = milliseconds(500);

RetryBound bound(double share, double reserve)
{
    return {share, reserve, window};
}

std::size_t takeAll(RetryQuota &quota, const RetryBound &limit, TimePoint now)
{
    std::size_t result = 0;
    while (result < 1000 && quota.take(limit, now))
        ++result;
    return result;
}

void countRequests(RetryQuota &quota, const RetryBound &limit, int count, TimePoint now)
{
    for (int i = 0; i < count; ++i)
        quota.countRequest(limit, now);
}

/// A holder with a fixed amount.
class FixedHolder final : public QuotaHolder
{
public:
    [[nodiscard]] double giveQuota(const ServiceName & /*service*/, double wanted) override
    {
        const auto given = std::min(wanted, left_);
        left_ -= given;
        return given;
    }
    void takeQuota(const ServiceName & /*service*/, double amount, TimePoint until) override
    {
        received_ += amount;
        until_ = until;
    }
    [[nodiscard]] Duration quotaLifetime() const override { return seconds(2); }

    double left_ = 0;
    double received_ = 0;
    TimePoint until_{};
};

/// Entry VMs whose messages wait until they are delivered.
class Exchanges
{
public:
    explicit Exchanges(const std::vector<double> &amounts)
    {
        std::map<EntryId, Address> all;
        for (std::size_t i = 0; i < amounts.size(); ++i) {
            entries_.push_back(std::make_unique<Entry>(*this, i));
            entries_.back()->holder_.left_ = amounts[i];
            all.emplace(nameOf(i), addressOf(i));
        }
        for (std::size_t i = 0; i < amounts.size(); ++i) {
            auto peers = all;
            peers.erase(nameOf(i));
            entries_[i]->exchange_.setPeers(peers);
        }
    }

    static EntryId nameOf(std::size_t index) { return EntryId(std::to_string(index)); }
    static Address addressOf(std::size_t index)
    {
        return {"10.0.0.1", static_cast<std::uint16_t>(1000 + index)};
    }
    FixedHolder &holder(std::size_t index) { return entries_[index]->holder_; }
    QuotaExchange &exchange(std::size_t index) { return entries_[index]->exchange_; }

    void deliver()
    {
        while (!messages_.empty()) {
            const auto [to, text] = messages_.front();
            messages_.erase(messages_.begin());
            delivered_ += 1;
            entries_[to]->exchange_.take(text);
        }
    }

    /// Entry VM 0 needs \p amount until \p time has passed.
    void need(double amount, Duration time)
    {
        for (Duration passed{}; passed < time; passed += milliseconds(20)) {
            const auto lacking = amount - holder(0).received_;
            if (lacking > 0)
                exchange(0).need(service, lacking);
            deliver();
            clock_.advance(milliseconds(20));
            exchange(0).sweep();
            deliver();
        }
    }

    ManualClock clock_;
    std::vector<std::pair<std::size_t, std::string>> messages_;
    std::size_t delivered_ = 0;

private:
    struct Entry
    {
        Entry(Exchanges &all, std::size_t index)
            : exchange_(all.clock_, holder_, Random(index))
        {
            exchange_.setSelf(nameOf(index), addressOf(index));
            exchange_.onSend([&all](const Address &to, std::string_view text) {
                all.messages_.emplace_back(to.port_ - 1000U, text);
            });
        }
        FixedHolder holder_;
        QuotaExchange exchange_;
    };
    std::vector<std::unique_ptr<Entry>> entries_;
};

} // namespace

Test(sliding_sum, amounts_stay_until_the_window_has_passed)
{
    SlidingSum sum;
    sum.add(3, start, window);
    cr_assert_eq(sum.within(start + window - slice, window), 3);
    cr_assert_eq(sum.within(start + window, window), 0);
    cr_assert_eq(sum.withinOrJustBefore(start + window, window), 3);
    cr_assert_eq(sum.withinOrJustBefore(start + window + slice, window), 0);
}

Test(sliding_sum, amounts_dated_ahead_count_at_once_and_longer)
{
    SlidingSum sum;
    sum.add(3, start + seconds(2), window);
    cr_assert_eq(sum.within(start, window), 3);
    cr_assert_eq(sum.withinOrJustBefore(start + seconds(2) + window, window), 3);
}

Test(sliding_sum, amounts_copied_by_age_are_never_dated_to_the_wrong_side)
{
    for (int offset = 0; offset < 20; ++offset) {
        const auto now = start + milliseconds(37 * offset);
        SlidingSum sum;
        sum.add(1, now - seconds(6), window);
        sum.add(2, now - seconds(1), window);
        sum.add(4, now + seconds(2), window);
        SlidingSum later;
        SlidingSum earlier;
        const auto amounts = sum.byAge(now, window);
        later.addByAge(amounts, SlidingSum::Dating::NotBefore, milliseconds(300),
                       now + milliseconds(300), window);
        earlier.addByAge(amounts, SlidingSum::Dating::NotAfter, milliseconds(300),
                         now + milliseconds(300), window);
        for (auto at = now + milliseconds(300); at < now + seconds(13); at += milliseconds(110)) {
            cr_expect_geq(later.within(at, window), sum.within(at, window));
            cr_expect_leq(earlier.within(at, window), sum.within(at, window));
        }
    }
}

Test(retry_quota, share_and_reserve_are_spent_once_per_window)
{
    RetryQuota quota;
    const auto limit = bound(0.2, 5);
    countRequests(quota, limit, 50, start);
    cr_assert_eq(takeAll(quota, limit, start), 15);
    countRequests(quota, limit, 50, start + window);
    cr_assert_eq(takeAll(quota, limit, start + window), 0, "the first ones may still count");
    cr_assert_eq(takeAll(quota, limit, start + window + slice), 15);
}

Test(retry_quota, transferred_quota_is_missing_until_it_may_be_spent_again)
{
    RetryQuota quota;
    const auto limit = bound(0, 21);
    const auto given = quota.transferOut(limit, 100, start);
    cr_assert_float_eq(given, 10, 1e-9);
    cr_assert_eq(takeAll(quota, limit, start), 11);
    const auto spentElsewhere = start + RetryQuota::transferLifetime(limit);
    cr_assert_eq(takeAll(quota, limit, spentElsewhere + window - slice), 11);
    cr_assert_eq(takeAll(quota, limit, spentElsewhere + window + slice), 10);
}

Test(retry_quota, quota_that_is_needed_here_is_not_transferred)
{
    RetryQuota quota;
    const auto limit = bound(0, 20);
    for (int i = 0; i < 9; ++i)
        cr_assert(quota.take(limit, start));
    const auto given = quota.transferOut(limit, 100, start);
    cr_assert_float_eq(given, 1, 1e-9);
    const auto tooLittle = RetryQuota().transferOut(bound(0, 0.5), 100, start);
    cr_assert_eq(tooLittle, 0);
}

Test(retry_quota, next_process_goes_on_where_the_last_one_ended)
{
    const auto limit = bound(0.2, 10);
    RetryQuota last;
    countRequests(last, limit, 100, start);
    cr_assert_eq(takeAll(last, limit, start), 30);
    RetryQuota next;
    const auto later = start + seconds(1);
    next.inherit(limit, last.use(limit, start), seconds(1), later);
    cr_assert_eq(takeAll(next, limit, later), 0);
    countRequests(next, limit, 100, start + window);
    cr_assert_geq(takeAll(next, limit, start + window + seconds(3)), 25);
}

Test(quota_exchange, entry_vm_in_need_collects_what_all_others_have_left)
{
    Exchanges fleet({0, 10, 10, 10, 0, 10, 10, 10});
    fleet.need(60, seconds(2));
    cr_assert_float_eq(fleet.holder(0).received_, 60, 1e-6);
}

Test(quota_exchange, fleet_without_unused_quota_is_asked_rarely)
{
    Exchanges fleet(std::vector<double>(8, 0));
    fleet.need(10, seconds(10));
    cr_assert_leq(fleet.delivered_, 2 * 10 * 20);
    cr_assert_geq(fleet.delivered_, 2 * 7);
    Exchanges full({0, 0, 0, 5});
    full.need(3, seconds(3));
    cr_assert_float_eq(full.holder(0).received_, 3, 1e-6);
}

Test(quota_exchange, silent_peer_is_passed_over)
{
    Exchanges fleet({0, 0, 5});
    for (int i = 0; i < 50; ++i) {
        fleet.exchange(0).need(service, 3 - fleet.holder(0).received_);
        std::erase_if(fleet.messages_, [](const auto &message) { return message.first == 1; });
        fleet.deliver();
        fleet.clock_.advance(milliseconds(20));
        fleet.exchange(0).sweep();
    }
    cr_assert_float_eq(fleet.holder(0).received_, 3, 1e-6);
}

/// Otherwise a datagram that arrives twice, or late, would create quota.
Test(quota_exchange, each_transfer_counts_once_and_only_in_time)
{
    Exchanges fleet({0, 5});
    fleet.exchange(0).need(service, 2);
    const auto request = *decodeQuotaRequest(fleet.messages_.front().second);
    const auto transfer = encode(QuotaTransfer{Exchanges::nameOf(1), request.number_, 2});
    fleet.exchange(0).take(transfer);
    fleet.exchange(0).take(transfer);
    cr_assert_eq(fleet.holder(0).received_, 2);
    fleet.messages_.clear();
    fleet.exchange(0).need(service, 2);
    const auto late = *decodeQuotaRequest(fleet.messages_.front().second);
    fleet.clock_.advance(seconds(2));
    fleet.exchange(0).take(encode(QuotaTransfer{Exchanges::nameOf(1), late.number_, 2}));
    cr_assert_eq(fleet.holder(0).received_, 2);
}

Test(quota_exchange, transfers_that_were_not_asked_for_are_ignored)
{
    Exchanges fleet({0, 5, 5});
    fleet.exchange(0).need(service, 2);
    const auto request = *decodeQuotaRequest(fleet.messages_.front().second);
    const auto stranger = Exchanges::nameOf(3 - fleet.messages_.front().first);
    fleet.exchange(0).take(encode(QuotaTransfer{stranger, request.number_, 2}));
    cr_assert_eq(fleet.holder(0).received_, 0);
    fleet.exchange(0).take(encode(
        QuotaTransfer{Exchanges::nameOf(fleet.messages_.front().first), request.number_, 1e9}));
    cr_assert_eq(fleet.holder(0).received_, 2);
}

Test(fleet_size, entry_vms_count_until_their_part_cannot_be_in_use)
{
    FleetSize fleet;
    fleet.present(EntryId("a"), start);
    fleet.present(EntryId("b"), start);
    cr_assert_eq(fleet.count(), 3);
    fleet.left(EntryId("a"), seconds(13), start);
    fleet.expire(start + seconds(12));
    cr_assert_eq(fleet.count(), 3);
    fleet.expire(start + seconds(13));
    cr_assert_eq(fleet.count(), 2);
    fleet.expire(start + minutes(9));
    cr_assert_eq(fleet.count(), 2, "b may be cut off");
    fleet.expire(start + minutes(10));
    cr_assert_eq(fleet.count(), 1);
}

Test(quota_history, report_of_the_process_before_is_told)
{
    QuotaHistory history;
    const EntryId entry("e");
    const QuotaReport first{0.5, {{service, {{5}, {1}}}}};
    history.reported(entry, Incarnation(1), first, start);
    cr_assert_eq(history.before(entry, Incarnation(2), start + seconds(1))->report_, first);
    cr_assert_eq(history.before(entry, Incarnation(2), start + seconds(1))->age_,
                 Duration(seconds(1)));
    history.reported(entry, Incarnation(2), {}, start + seconds(1));
    cr_assert_eq(history.before(entry, Incarnation(2), start + seconds(1))->report_, first);
    cr_assert_eq(
        history.before(entry, Incarnation(3), start + seconds(1))->report_.services_.size(), 0);
    cr_assert_not(history.before(EntryId("f"), Incarnation(3), start));
}

/// A process that was cut off may have spent quota after its last report.
Test(quota_history, old_report_is_not_told)
{
    QuotaHistory history;
    history.reported(EntryId("e"), Incarnation(1), {}, start);
    cr_assert_not(history.before(EntryId("e"), Incarnation(2), start + seconds(4)));
}

Test(quota_recovery, newest_of_several_answers_counts)
{
    QuotaRecovery recovery(false, start);
    const Duration memory = seconds(12);
    cr_assert(recovery.isQuestionDue(start));
    cr_assert_not(recovery.isQuestionDue(start + milliseconds(50)));
    recovery.answered({EntryId("a"), Incarnation(2), true, {}, {}}, start);
    recovery.answered(
        {EntryId("b"), Incarnation(2), false, seconds(2), {0, {{service, {{}, {9}}}}}}, start);
    recovery.answered(
        {EntryId("c"), Incarnation(2), false, seconds(1), {0, {{service, {{}, {4}}}}}},
        start + milliseconds(10));
    cr_assert_not(recovery.decide(memory, start + milliseconds(10)));
    const auto report = recovery.decide(memory, start + milliseconds(30));
    cr_assert(report);
    cr_assert_eq(report->from_, EntryId("c"));
    cr_assert_eq(recovery.state(), QuotaRecovery::State::Inherited);
    cr_assert_not(recovery.decide(memory, start + milliseconds(50)));
}

Test(quota_recovery, process_without_answer_waits_until_nothing_matters)
{
    QuotaRecovery recovery(false, start);
    cr_assert_not(recovery.decide(seconds(12), start + milliseconds(11'990)));
    cr_assert_eq(recovery.state(), QuotaRecovery::State::Asking);
    cr_assert_not(recovery.decide(seconds(12), start + seconds(12)));
    cr_assert_eq(recovery.state(), QuotaRecovery::State::Expired);
    cr_assert_eq(QuotaRecovery(true, start).state(), QuotaRecovery::State::Newcomer);
}

Test(quota_messages, messages_are_read_as_written)
{
    const QuotaRequest request{EntryId("a"), {"10.0.0.1", 7}, 12, service, 2.5};
    cr_assert_eq(*decodeQuotaRequest(encode(request)), request);
    const QuotaTransfer transfer{EntryId("b"), 12, 1.25};
    cr_assert_eq(*decodeQuotaTransfer(encode(transfer)), transfer);
    const QuotaReportRequest wanted{EntryId("a"), {"10.0.0.1", 7}, Incarnation(5)};
    cr_assert_eq(*decodeQuotaReportRequest(encode(wanted)), wanted);
    const QuotaReportAnswer answer{EntryId("b"),
                                   Incarnation(5),
                                   false,
                                   milliseconds(70),
                                   {0.125, {{service, {{3, 2}, {0, 1.5}}}}}};
    cr_assert_eq(*decodeQuotaReportAnswer(encode(answer)), answer);
    cr_assert_not(decodeQuotaTransfer(encode(request)));
}

Test(quota_messages, amounts_are_rounded_so_that_no_quota_is_created)
{
    const QuotaReportAnswer answer{
        EntryId("b"), Incarnation(5), false, {}, {0.1, {{service, {{1.26}, {1.24}}}}}};
    const auto read = decodeQuotaReportAnswer(encode(answer))->report_.services_.at(service);
    cr_assert_leq(read.requests_.front(), 1.26);
    cr_assert_geq(read.spent_.front(), 1.24);
}

Test(quota_messages, digests_of_releases_without_reports_are_read)
{
    LoadDigest digest;
    digest.from_ = EntryId("a");
    digest.retries_ = {{service, {10, 1}}};
    const auto plain = decodeLoadDigest(encode(digest));
    cr_assert(plain);
    cr_assert_not(plain->quota_);
    cr_assert_eq(plain->retries_, digest.retries_);
    digest.quota_ = QuotaReport{0.5, {{service, {{10}, {1}}}}};
    cr_assert_eq(*decodeLoadDigest(encode(digest))->quota_, *digest.quota_);
}
