#include <cardamombay/serving/quota_history.hpp>

#include <utility>

namespace cardamombay::serving {

namespace {

/// A process that was not heard for longer may have been cut off and gone on spending. Longer than
/// the time between the end of a process and the first question of the next one.
constexpr Duration maxReportAge = std::chrono::seconds(3);

/// Answers of several peers are awaited, as the newest report counts.
constexpr Duration collectingTime = std::chrono::milliseconds(20);
constexpr Duration questionInterval = std::chrono::milliseconds(100);

} // namespace

void QuotaHistory::reported(const EntryId &entry, Incarnation since, QuotaReport report,
                            TimePoint now)
{
    auto &reports = reports_[entry];
    if (reports.last_.since_ != since)
        reports.previous_ = std::exchange(reports.last_, {});
    reports.last_ = {since, std::move(report), now};
}

std::optional<QuotaReportAnswer> QuotaHistory::before(const EntryId &entry, Incarnation since,
                                                      TimePoint now) const
{
    const auto found = reports_.find(entry);
    if (found == reports_.end())
        return std::nullopt;
    const auto &[last, previous] = found->second;
    const auto &report = last.since_ == since ? previous : last;
    if (report.at_ == TimePoint{} || now - report.at_ > maxReportAge)
        return std::nullopt;
    return QuotaReportAnswer{{}, since, false, now - report.at_, report.report_};
}

void QuotaHistory::expire(TimePoint now)
{
    std::erase_if(reports_,
                  [now](const auto &one) { return now - one.second.last_.at_ > maxReportAge; });
}

QuotaRecovery::QuotaRecovery(bool isFirstStart, TimePoint now)
    : state_(isFirstStart ? State::Newcomer : State::Asking)
    , startedAt_(now)
{
}

void QuotaRecovery::answered(const QuotaReportAnswer &answer, TimePoint now)
{
    if (state_ != State::Asking)
        return;
    if (!answeredAt_)
        answeredAt_ = now;
    if (!newest_ || newest_->isUnknown_ || (!answer.isUnknown_ && answer.age_ < newest_->age_)) {
        newest_ = answer;
        newestAt_ = now;
    }
}

std::optional<QuotaReportAnswer> QuotaRecovery::decide(Duration memory, TimePoint now)
{
    if (now - startedAt_ >= memory) {
        state_ = State::Expired;
        return std::nullopt;
    }
    if (state_ != State::Asking || !answeredAt_ || now - *answeredAt_ < collectingTime)
        return std::nullopt;
    if (newest_->isUnknown_) {
        state_ = State::Newcomer;
        return std::nullopt;
    }
    state_ = State::Inherited;
    newest_->age_ += now - newestAt_;
    return newest_;
}

bool QuotaRecovery::isQuestionDue(TimePoint now)
{
    const bool isDue = state_ == State::Asking
                       && (askedAt_ == TimePoint{} || now - askedAt_ >= questionInterval);
    if (isDue)
        askedAt_ = now;
    return isDue;
}

} // namespace cardamombay::serving
