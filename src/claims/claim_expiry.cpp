#include <cardamombay/claims/claim_expiry.hpp>

#include <cardamombay/claims/claim_row.hpp>

#include <boost/json.hpp>

#include <utility>

namespace cardamombay::claims {

namespace json = boost::json;
using platform::CommitReceipt;
using platform::Row;
using platform::ScanPage;

platform::RowKey periodRowKey()
{
    return {"claim-periods", "current"};
}

std::string encode(const ClaimPeriods &periods)
{
    json::array begins;
    for (const auto version : periods.startVersions_)
        begins.emplace_back(version.value());
    return json::serialize(json::object{{"number", periods.number_}, {"begins", begins}});
}

Result<ClaimPeriods> decodeClaimPeriods(std::string_view text)
{
    try {
        const auto value = json::parse(json::string_view(text.data(), text.size()));
        const auto &object = value.as_object();
        ClaimPeriods periods;
        periods.number_ = json::value_to<std::uint64_t>(object.at("number"));
        for (const auto &begin : object.at("begins").as_array())
            periods.startVersions_.emplace_back(json::value_to<std::uint64_t>(begin));
        return periods;
    } catch (const std::exception &error) {
        return Error(MalformedMessage{"claim period row", error.what()});
    }
}

ClaimExpiry::ClaimExpiry(Clock &clock, platform::TableStore &store, Random &random,
                         platform::WriterTokens tokens, ExpiryPolicy policy)
    : clock_(clock)
    , store_(store)
    , random_(random)
    , tokens_(std::move(tokens))
    , policy_(policy)
    , commit_(clock, store, random)
    , alive_(std::make_shared<char>())
{
}

void ClaimExpiry::start()
{
    // Random delay, so that entry VMs that start at the same time do not read at the same time.
    const auto quarter = static_cast<std::uint64_t>(policy_.period_.count() / 4);
    scheduleStep(Duration(static_cast<std::int64_t>(random_.below(quarter + 1))),
                 &ClaimExpiry::poll);
}

void ClaimExpiry::scheduleStep(Duration delay, void (ClaimExpiry::*step)())
{
    clock_.schedule(delay, [this, step, alive = std::weak_ptr(alive_)] {
        if (!alive.expired())
            (this->*step)();
    });
}

void ClaimExpiry::poll()
{
    scheduleStep(policy_.period_ / 4, &ClaimExpiry::poll);
    store_.read({periodRowKey()},
                [this, alive = std::weak_ptr(alive_)](const Result<std::vector<Row>> &result) {
                    if (alive.expired() || !isOk(result))
                        return;
                    const auto &rows = valueOf(result);
                    observe(rows.empty() ? nullptr : &rows.front());
                });
}

void ClaimExpiry::observe(const Row *row)
{
    const RowVersion version = row ? row->version_ : RowVersion{};
    if (!hasSeen_ || version > seenVersion_) {
        hasSeen_ = true;
        seenVersion_ = version;
        firstSeenAt_ = clock_.now();
    }
    const bool isDue = !row || clock_.now() - firstSeenAt_ >= policy_.period_;
    if (isDue && version == seenVersion_)
        beginPeriod(row);
}

void ClaimExpiry::beginPeriod(const Row *row)
{
    ClaimPeriods periods;
    if (row) {
        auto decoded = decodeClaimPeriods(row->value_);
        if (!isOk(decoded))
            return;
        periods = std::move(valueOf(decoded));
        periods.startVersions_.push_back(row->version_);
    }
    ++periods.number_;
    RowVersion expired;
    if (periods.startVersions_.size() >= policy_.keptPeriods_) {
        const auto surplus = periods.startVersions_.size() - policy_.keptPeriods_;
        expired = periods.startVersions_[surplus];
        periods.startVersions_.erase(periods.startVersions_.begin(),
                                     periods.startVersions_.begin()
                                         + static_cast<std::ptrdiff_t>(surplus));
    }
    platform::Transaction transaction{tokens_.next(),
                                      {{periodRowKey(), row ? row->version_ : RowVersion{}}},
                                      {{periodRowKey(), encode(periods)}}};
    commit_.commit(std::move(transaction), [this, expired](const Result<CommitReceipt> &result) {
        if (!isOk(result))
            return;
        ++counts_.periodsBegun_;
        if (expired.isNone())
            return;
        expiredUpTo_ = expired;
        if (!std::exchange(isSweeping_, true))
            sweep({});
    });
}

void ClaimExpiry::sweep(const std::string &after)
{
    platform::Scan scan{std::string(claimTable), {}, after, {}, policy_.pageRows_};
    store_.scan(std::move(scan),
                [this, alive = std::weak_ptr(alive_)](const Result<ScanPage> &result) {
                    if (alive.expired())
                        return;
                    if (isOk(result))
                        sweepPage(valueOf(result));
                    else
                        isSweeping_ = false;
                });
}

/// If a row has changed since it was read, the deletion of its page fails on the version condition;
/// the next sweep retries it.
void ClaimExpiry::sweepPage(const ScanPage &page)
{
    ++counts_.pages_;
    platform::Transaction transaction{tokens_.next(), {}, {}};
    for (const auto &row : page.rows_) {
        if (row.version_ > expiredUpTo_)
            continue;
        transaction.conditions_.push_back({row.key_, row.version_});
        transaction.writes_.push_back({row.key_, std::nullopt});
    }
    const auto count = transaction.writes_.size();
    if (count > 0) {
        commit_.commit(std::move(transaction), [this, count](const Result<CommitReceipt> &result) {
            counts_.deleted_ += isOk(result) ? count : 0;
        });
    }
    isSweeping_ = !page.isLast_ && !page.rows_.empty();
    if (!isSweeping_)
        return;
    sweepCursor_ = page.rows_.back().key_.key_;
    scheduleStep(policy_.pageDelay_, &ClaimExpiry::continueSweep);
}

} // namespace cardamombay::claims
