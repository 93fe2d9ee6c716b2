#include "claims/claim_record.hpp"

#include <cardamombay/core/hash.hpp>

#include <utility>

namespace cardamombay::claims {

namespace {

Error claimTimeoutError()
{
    return StoreUnavailable{"claim", "not written in time"};
}

} // namespace

Result<ClaimProgramPtr> makeClaimProgram(const chart::Chart &chart)
{
    return chart::bind(chart, ClaimRecord::binding());
}

chart::Binding<ClaimRecord> ClaimRecord::binding()
{
    chart::Binding<ClaimRecord> binding;
    binding.state("claiming").state("held").state("storing").state("done");
    binding.events({"written", "taken", "not-written", "effect-unknown", "timed-out", "completed",
                    "not-run", "answer-kept", "retry-due", "found-own", "found-other"});
    binding.guard("retries-left", [](const ClaimRecord &record) {
        return record.retries_ < record.registry_.policy_.maxRetries_;
    });
    binding.action("grant", [](ClaimRecord &record) { record.grant(); });
    binding.action("answer-taken", [](ClaimRecord &record) { record.answerTaken(); });
    binding.action("refuse", [](ClaimRecord &record) { record.refuse(); });
    binding.action("keep-answer", [](ClaimRecord &record) { record.keepAnswer(); });
    binding.action("write-outcome", [](ClaimRecord &record) { record.writeOutcome(); });
    binding.action("write-release", [](ClaimRecord &record) { record.writeRelease(); });
    binding.action("schedule-retry", [](ClaimRecord &record) {
        record.schedule(record.registry_.policy_.retryDelay_);
    });
    binding.action("schedule-check", [](ClaimRecord &record) {
        record.schedule(record.registry_.policy_.checkDelay_);
    });
    binding.action("read-row", [](ClaimRecord &record) { record.readRow(); });
    binding.action("count-dropped",
                   [](ClaimRecord &record) { ++record.registry_.counts_.dropped_; });
    return binding;
}

ClaimRecord::ClaimRecord(ClaimRegistry &registry, ClaimNumber number, ClaimRequest request,
                         Callback<ClaimAnswer> done)
    : registry_(registry)
    , request_(std::move(request))
    , done_(std::move(done))
    , key_(rowKeyOf(request_.team_, request_.key_))
    , machine_(registry.dependencies_.program_)
{
    row_.key_ = request_.key_;
    row_.requestHash_ = request_.requestHash_;
    row_.owner_ = {registry.dependencies_.self_, registry.dependencies_.incarnation_, number};
}

void ClaimRecord::start()
{
    auto &clock = registry_.dependencies_.clock_;
    startedAt_ = clock.now();
    const Duration limit = registry_.policy_.claimTimeout_;
    write({key_, version_, encode(row_), startedAt_ + limit});
    clock.schedule(limit, [record = weak_from_this(), alive = std::weak_ptr(registry_.alive_)] {
        const auto self = record.lock();
        if (!alive.expired() && self && self->isIn("claiming")) {
            self->lastError_ = claimTimeoutError();
            self->handle("timed-out");
        }
    });
}

void ClaimRecord::complete(StoredOutcome stored)
{
    if (!isIn("held"))
        return;
    row_.isFinished_ = true;
    row_.stored_ = std::move(stored);
    handle("completed");
}

void ClaimRecord::release(std::function<void()> done)
{
    if (done)
        releaseCallbacks_.push_back(std::move(done));
    handle("not-run");
}

void ClaimRecord::addWaiter(ClaimRequest request, Callback<ClaimAnswer> done)
{
    auto waiter
        = std::make_shared<WaitingClaim>(WaitingClaim{std::move(request), std::move(done), false});
    waiters_.push_back(waiter);
    const Duration limit = registry_.policy_.claimTimeout_;
    registry_.dependencies_.clock_.schedule(limit, [waiter] {
        if (waiter->isAnswered_)
            return;
        waiter->isAnswered_ = true;
        waiter->done_(claimTimeoutError());
    });
}

void ClaimRecord::handle(std::string_view event)
{
    const auto self = shared_from_this();
    const auto handled = machine_.handle(*this, event);
    if (handled != chart::Handled::Queued && machine_.isFinal())
        registry_.removeRecord(*this);
}

void ClaimRecord::handleResult(RowChangeResult result)
{
    if (const auto *written = std::get_if<RowWritten>(&result)) {
        version_ = written->version_;
        handle("written");
    } else if (auto *taken = std::get_if<RowConflict>(&result)) {
        taken_ = std::move(taken->row_);
        handle("taken");
    } else {
        lastError_ = std::get<Error>(result);
        const bool isLost = std::holds_alternative<StoreAnswerLost>(lastError_);
        handle(isLost ? "effect-unknown" : "not-written");
    }
}

void ClaimRecord::answer(Result<ClaimAnswer> answer)
{
    if (!done_)
        return;
    const auto done = std::exchange(done_, nullptr);
    done(std::move(answer));
}

void ClaimRecord::grant()
{
    ++registry_.counts_.granted_;
    answer(ClaimAnswer(Granted{number(), startedAt_ + registry_.policy_.handOverTimeout_}));
}

void ClaimRecord::answerTaken()
{
    const auto done = std::exchange(done_, nullptr);
    registry_.answerFromRow(request_, *taken_, done);
}

void ClaimRecord::refuse()
{
    ++registry_.counts_.refused_;
    // Nothing was handed over, so even a lost store answer is reported as not-run.
    const bool isLost = std::holds_alternative<StoreAnswerLost>(lastError_);
    answer(isLost ? Error(StoreUnavailable{"claim", messageOf(lastError_)}) : lastError_);
}

void ClaimRecord::keepAnswer()
{
    retries_ = 0;
    auto &stored = row_.stored_;
    if (stored.body_.size() > registry_.policy_.maxStoredBytes_)
        stored = StoredOutcome::withoutAnswer(stored.outcome_);
    if (stored.body_.size() <= registry_.policy_.maxInlineBytes_) {
        handle("answer-kept");
        return;
    }
    constexpr std::uint64_t secondSeed = 1;
    row_.objectName_ = "answers-" + std::to_string(stableHash(stored.body_)) + "-"
                       + std::to_string(stableHash(stored.body_, secondSeed));
    registry_.dependencies_.objects_.put(
        row_.objectName_, stored.body_,
        [self = shared_from_this(),
         alive = std::weak_ptr(registry_.alive_)](const Result<Done> &result) {
            if (alive.expired())
                return;
            auto &row = self->row_;
            if (!isOk(result)) {
                row.stored_ = StoredOutcome::withoutAnswer(row.stored_.outcome_);
                row.objectName_.clear();
            }
            self->handle("answer-kept");
        });
}

void ClaimRecord::writeOutcome()
{
    ++retries_;
    RowChange change{key_, version_, encode(row_)};
    change.isUrgent_ = false;
    write(std::move(change));
}

void ClaimRecord::writeRelease()
{
    ++retries_;
    write({key_, version_, std::nullopt});
}

void ClaimRecord::schedule(Duration delay)
{
    ++retries_;
    registry_.dependencies_.clock_.schedule(
        delay, [self = shared_from_this(), alive = std::weak_ptr(registry_.alive_)] {
            if (!alive.expired())
                self->handle("retry-due");
        });
}

void ClaimRecord::readRow()
{
    auto done = [self = shared_from_this(), alive = std::weak_ptr(registry_.alive_)](
                    const Result<std::vector<platform::Row>> &r) {
        if (alive.expired())
            return;
        if (!isOk(r)) {
            self->handle("not-written");
            return;
        }
        bool isOwn = false;
        for (const auto &row : valueOf(r)) {
            const auto content = decodeClaimRow(row.value_);
            isOwn = isOk(content) && valueOf(content).owner_ == self->row_.owner_;
            self->version_ = row.version_;
        }
        self->handle(isOwn ? "found-own" : "found-other");
    };
    registry_.dependencies_.table_.read({key_}, std::move(done));
}

void ClaimRecord::write(RowChange change)
{
    registry_.batcher_.submit(std::move(change),
                              [self = shared_from_this()](RowChangeResult result) {
                                  self->handleResult(std::move(result));
                              });
}

} // namespace cardamombay::claims
