#include <cardamombay/platform/reliable_commit.hpp>

#include <algorithm>
#include <utility>

namespace cardamombay::platform {

namespace {

/// True if \p transaction, once in effect, makes one of its own conditions fail.
bool excludesItself(const Transaction &transaction)
{
    return std::any_of(
        transaction.writes_.begin(), transaction.writes_.end(), [&](const RowWrite &write) {
            return std::any_of(transaction.conditions_.begin(), transaction.conditions_.end(),
                               [&](const Condition &condition) {
                                   const bool isNoop
                                       = !write.value_ && condition.expected_.isNone();
                                   return condition.key_ == write.key_ && !isNoop;
                               });
        });
}

Error refusal(std::string problem, std::string remedy)
{
    return InvalidInput{{}, "transaction", std::move(problem), std::move(remedy)};
}

} // namespace

WriterToken WriterTokens::next()
{
    return WriterToken(entry_.text() + "." + std::to_string(incarnation_.value()) + "."
                       + std::to_string(++number_));
}

/// One commit under way.
struct ReliableCommit::Operation
{
    Transaction transaction_;
    Callback<CommitReceipt> done_;
    TimePoint deadline_;
    Duration delay_;
    bool hasLostAnswer_ = false;
};

ReliableCommit::ReliableCommit(Clock &clock, TableStore &store, Random &random, CommitPolicy policy)
    : clock_(clock)
    , store_(store)
    , random_(random)
    , policy_(policy)
    , alive_(std::make_shared<char>())
{
}

ReliableCommit::~ReliableCommit() = default;

void ReliableCommit::commit(Transaction transaction, Callback<CommitReceipt> done)
{
    commit(std::move(transaction), policy_.deadline_, std::move(done));
}

void ReliableCommit::commit(Transaction transaction, Duration deadline,
                            Callback<CommitReceipt> done)
{
    const bool hasToken = !transaction.writer_.isEmpty();
    const bool isSafe = hasToken && excludesItself(transaction);
    auto operation = std::make_shared<Operation>(Operation{
        std::move(transaction), std::move(done), clock_.now() + deadline, policy_.firstDelay_});
    if (isSafe) {
        attempt(operation);
        return;
    }
    auto error = hasToken ? refusal("has no condition on a row it writes",
                                    "add the version that the row was read with")
                          : refusal("has no writer token", "take one from WriterTokens");
    clock_.schedule(Duration::zero(),
                    [operation, error = std::move(error)] { operation->done_(error); });
}

void ReliableCommit::attempt(const OperationPtr &operation)
{
    ++counts_.tries_;
    store_.commit(operation->transaction_,
                  [this, alive = std::weak_ptr(alive_), operation](Result<CommitReceipt> result) {
                      if (!alive.expired())
                          judge(operation, std::move(result));
                  });
}

void ReliableCommit::judge(const OperationPtr &operation, Result<CommitReceipt> result)
{
    if (isOk(result)) {
        operation->done_(std::move(result));
        return;
    }
    const Error error = errorOf(result);
    if (std::holds_alternative<StoreAnswerLost>(error)) {
        ++counts_.lostAnswers_;
        operation->hasLostAnswer_ = true;
        retry(operation, Duration::zero(), error);
    } else if (const auto *throttled = std::get_if<StoreThrottled>(&error)) {
        retry(operation, throttled->retryAfter_, error);
    } else if (const auto *conflict = std::get_if<StoreConflict>(&error)) {
        judgeConflict(operation, *conflict);
    } else if (operation->hasLostAnswer_) {
        retry(operation, Duration::zero(), error);
    } else {
        operation->done_(error);
    }
}

void ReliableCommit::judgeConflict(const OperationPtr &operation, const StoreConflict &conflict)
{
    if (conflict.writer_ == operation->transaction_.writer_) {
        ++counts_.provenByToken_;
        operation->done_(CommitReceipt{conflict.found_});
    } else if (operation->hasLostAnswer_ && !provesNoEffect(conflict)) {
        searchToken(operation);
    } else {
        operation->done_(Error(conflict));
    }
}

bool ReliableCommit::provesNoEffect(const StoreConflict &conflict) const
{
    return policy_.isWriterSoleOwner_ && !conflict.writer_.isEmpty();
}

void ReliableCommit::searchToken(const OperationPtr &operation)
{
    std::vector<RowKey> keys;
    for (const auto &write : operation->transaction_.writes_) {
        if (write.value_)
            keys.push_back(write.key_);
    }
    store_.read(std::move(keys), [this, alive = std::weak_ptr(alive_),
                                  operation](Result<std::vector<Row>> result) {
        if (alive.expired())
            return;
        if (!isOk(result)) {
            retry(operation, Duration::zero(), errorOf(result));
            return;
        }
        for (const auto &row : valueOf(result)) {
            if (row.writer_ == operation->transaction_.writer_) {
                ++counts_.provenByToken_;
                operation->done_(CommitReceipt{row.version_});
                return;
            }
        }
        giveUp(operation, StoreAnswerLost{"commit", "another writer has replaced the row"});
    });
}

void ReliableCommit::retry(const OperationPtr &operation, Duration atLeast, Error error)
{
    const Duration delay = std::max(atLeast, nextDelay(*operation));
    if (clock_.now() + delay > operation->deadline_) {
        giveUp(operation, std::move(error));
        return;
    }
    clock_.schedule(delay, [this, alive = std::weak_ptr(alive_), operation] {
        if (!alive.expired())
            attempt(operation);
    });
}

void ReliableCommit::giveUp(const OperationPtr &operation, Error error)
{
    const bool isUnknown = operation->hasLostAnswer_;
    if (isUnknown) {
        ++counts_.unresolved_;
        if (!std::holds_alternative<StoreAnswerLost>(error))
            error = StoreAnswerLost{"commit", "deadline passed: " + messageOf(error)};
    }
    operation->done_(std::move(error));
}

Duration ReliableCommit::nextDelay(Operation &operation)
{
    const Duration delay = operation.delay_;
    operation.delay_ = std::min(delay * 2, policy_.longestDelay_);
    const Duration half = delay / 2;
    const auto bound = static_cast<std::uint64_t>(half.count()) + 1;
    return half + Duration(static_cast<std::int64_t>(random_.below(bound)));
}

} // namespace cardamombay::platform
