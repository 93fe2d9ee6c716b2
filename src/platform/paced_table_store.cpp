#include <cardamombay/platform/paced_table_store.hpp>

#include "platform/call_lane.hpp"

#include <algorithm>
#include <utility>

namespace cardamombay::platform {

using impl::CallLane;
using impl::PendingCall;

namespace {

constexpr double recoveryShare = 0.1;
constexpr double leastShare = 0.05;

/// Any answer shows that the service is there, also a refusal for rate or a conflict.
bool isSilence(const Error &error)
{
    return std::holds_alternative<StoreUnavailable>(error)
           || std::holds_alternative<StoreAnswerLost>(error);
}

} // namespace

class PacedTableStore::Impl : public std::enable_shared_from_this<PacedTableStore::Impl>
{
public:
    Impl(TableStore &inner, Clock &clock, const Random &random, StorePacing pacing)
        : inner_(inner)
        , clock_(clock)
        , random_(random)
        , pacing_(std::move(pacing))
        , writes_(clock, random_,
                  {pacing_.writeBurst_, pacing_.waitingCalls_, pacing_.longestWait_})
        , reads_(clock, random_, {pacing_.readBurst_, pacing_.waitingCalls_, pacing_.longestWait_})
        , lastAnswer_(clock.now())
        , shareSet_(clock.now())
    {
        applyRates();
    }

    ~Impl() { clock_.cancel(probeTimer_); }

    /// Puts a call into its lane; \p start calls the inner store with the callback it is given.
    template<typename T, typename Start>
    void submit(CallLane &lane, std::uint64_t &sent, std::string operation, bool isUrgent,
                Start start, Callback<T> done)
    {
        growShare();
        const auto answer = std::make_shared<Callback<T>>(std::move(done));
        PendingCall call;
        call.operation_ = std::move(operation);
        call.isUrgent_ = isUrgent;
        call.send_ = [this, &lane, &sent, start = std::move(start), answer]() mutable {
            ++sent;
            start([weak = weak_from_this(), &lane, answer](Result<T> result) {
                if (const auto self = weak.lock())
                    self->note(lane, isOk(result) ? nullptr : &errorOf(result));
                (*answer)(std::move(result));
            });
        };
        call.refuse_ = [this, answer](Error error) {
            ++counters_.refused_;
            clock_.schedule(Duration::zero(),
                            [answer, error = std::move(error)] { (*answer)(error); });
        };
        if (isReachable_)
            lane.submit(std::move(call));
        else
            call.refuse_(StoreUnavailable{call.operation_, "the store is not reachable"});
    }

    void setFleetSize(std::size_t nodes)
    {
        nodes_ = std::max<std::size_t>(nodes, 1);
        applyRates();
    }

    TableStore &inner_;
    Clock &clock_;
    Random random_;
    StorePacing pacing_;
    StorePacingCounters counters_;
    CallLane writes_;
    CallLane reads_;
    std::function<void(bool)> listener_;
    bool isReachable_ = true;
    TimePoint lastAnswer_;

private:
    /// Takes the outcome of a call of \p lane; null is success.
    void note(CallLane &lane, const Error *error)
    {
        growShare();
        if (error && isSilence(*error)) {
            ++failures_;
            if (isReachable_ && failures_ >= pacing_.failuresToStop_)
                stop();
            return;
        }
        failures_ = 0;
        lastAnswer_ = clock_.now();
        if (!isReachable_)
            resume();
        if (const auto *throttled = error ? std::get_if<StoreThrottled>(error) : nullptr)
            slowDown(lane, throttled->retryAfter_);
    }

    void stop()
    {
        isReachable_ = false;
        ++counters_.outages_;
        nextProbe_ = pacing_.firstProbe_;
        const Error error = StoreUnavailable{"call", "the store is not reachable"};
        writes_.refuseAll(error);
        reads_.refuseAll(error);
        scheduleProbe();
        if (listener_)
            listener_(false);
    }

    void resume()
    {
        isReachable_ = true;
        clock_.cancel(probeTimer_);
        setShare(recoveryShare);
        if (listener_)
            listener_(true);
    }

    void scheduleProbe()
    {
        const double jitter = 0.5 + random_.unit();
        const std::chrono::duration<double> wait = nextProbe_ * jitter;
        nextProbe_ = std::min(nextProbe_ * 2, pacing_.longestProbe_);
        probeTimer_
            = clock_.schedule(std::chrono::duration_cast<Duration>(wait), [this] { probe(); });
    }

    void probe()
    {
        ++counters_.probes_;
        inner_.read({{"config", "current"}},
                    [weak = weak_from_this()](const Result<std::vector<Row>> &result) {
                        const auto self = weak.lock();
                        if (!self)
                            return;
                        self->note(self->reads_, isOk(result) ? nullptr : &errorOf(result));
                        if (!self->isReachable_)
                            self->scheduleProbe();
                    });
    }

    void slowDown(CallLane &lane, Duration retryAfter)
    {
        // Calls that were under way together are refused together; they count once.
        if (clock_.now() >= slowedUntil_)
            setShare(std::max(leastShare, share_ / 2));
        const std::chrono::duration<double> wait = retryAfter * (1 + random_.unit() / 2);
        slowedUntil_ = clock_.now() + std::chrono::duration_cast<Duration>(wait);
        lane.pauseUntil(slowedUntil_);
    }

    void growShare()
    {
        if (share_ >= 1)
            return;
        const std::chrono::duration<double> passed = clock_.now() - shareSet_;
        const std::chrono::duration<double> ramp = pacing_.rampTime_;
        setShare(std::min(1.0, share_ + passed / ramp));
    }

    void setShare(double share)
    {
        share_ = share;
        shareSet_ = clock_.now();
        applyRates();
    }

    void applyRates()
    {
        const auto nodes = static_cast<double>(nodes_);
        const double writes
            = std::max(pacing_.leastWritesPerSecond_, pacing_.fleetWritesPerSecond_ / nodes);
        const double reads
            = std::max(pacing_.leastReadsPerSecond_, pacing_.fleetReadsPerSecond_ / nodes);
        writes_.setRate(writes * share_, share_);
        reads_.setRate(reads * share_, share_);
    }

    std::size_t nodes_ = 1;
    double share_ = 1; ///< Part of the node's share that it uses now.
    TimePoint shareSet_;
    TimePoint slowedUntil_{};
    std::uint32_t failures_ = 0;
    Duration nextProbe_{};
    TimerId probeTimer_ = TimerId::None;
};

PacedTableStore::PacedTableStore(TableStore &inner, Clock &clock, const Random &random,
                                 StorePacing pacing)
    : impl_(std::make_shared<Impl>(inner, clock, random, std::move(pacing)))
{
}

PacedTableStore::~PacedTableStore() = default;

void PacedTableStore::commit(Transaction transaction, Callback<CommitReceipt> done)
{
    const auto &writes = transaction.writes_;
    const bool isUrgent = std::any_of(writes.begin(), writes.end(), [this](const RowWrite &write) {
        return write.key_.table_ == impl_->pacing_.urgentTable_;
    });
    const auto start
        = [&inner = impl_->inner_, transaction = std::move(transaction)](
              Callback<CommitReceipt> answer) { inner.commit(transaction, std::move(answer)); };
    impl_->submit<CommitReceipt>(impl_->writes_, impl_->counters_.writes_, "commit", isUrgent,
                                 start, std::move(done));
}

void PacedTableStore::read(std::vector<RowKey> keys, Callback<std::vector<Row>> done)
{
    const auto start
        = [&inner = impl_->inner_, keys = std::move(keys)](Callback<std::vector<Row>> answer) {
              inner.read(keys, std::move(answer));
          };
    impl_->submit<std::vector<Row>>(impl_->reads_, impl_->counters_.reads_, "read", false, start,
                                    std::move(done));
}

void PacedTableStore::scan(Scan scan, Callback<ScanPage> done)
{
    const auto start = [&inner = impl_->inner_, scan = std::move(scan)](Callback<ScanPage> answer) {
        inner.scan(scan, std::move(answer));
    };
    impl_->submit<ScanPage>(impl_->reads_, impl_->counters_.reads_, "scan", false, start,
                            std::move(done));
}

void PacedTableStore::setFleetSize(std::size_t nodes)
{
    impl_->setFleetSize(nodes);
}

bool PacedTableStore::isReachable() const
{
    return impl_->isReachable_;
}

Duration PacedTableStore::unreachableFor() const
{
    return impl_->isReachable_ ? Duration::zero() : impl_->clock_.now() - impl_->lastAnswer_;
}

void PacedTableStore::setListener(std::function<void(bool)> listener)
{
    impl_->listener_ = std::move(listener);
}

const StorePacingCounters &PacedTableStore::counters() const
{
    return impl_->counters_;
}

} // namespace cardamombay::platform
