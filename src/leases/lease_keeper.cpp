#include <cardamombay/leases/lease_keeper.hpp>

#include <algorithm>
#include <utility>

namespace cardamombay::leases {

namespace {

/// Epochs reserved per store timeline; enough for one tenure per second over twelve days.
constexpr std::uint64_t epochsPerTimeline = std::uint64_t{1} << 20U;

} // namespace

LeaseKeeper::LeaseKeeper(Clock &clock, platform::TableStore &store, Random random,
                         LeaseSettings settings, EntryId self, Incarnation incarnation,
                         FabricDomain domain, LeaseProgramPtr program)
    : clock_(clock)
    , store_(store)
    , random_(random)
    , settings_(settings)
    , self_(std::move(self))
    , incarnation_(incarnation)
    , domain_(std::move(domain))
    , tokens_(EntryId(self_.text() + ".lease." + domain_.text()), incarnation)
    , commits_(clock, store, random_)
    , machine_(std::move(program))
    , heldUntil_(clock.now())
    , previousOrdersUntil_(clock.now())
    , backoff_(settings.retryDelay_)
{
}

LeaseKeeper::~LeaseKeeper()
{
    clock_.cancel(timer_);
    clock_.cancel(expiryTimer_);
}

Result<LeaseProgramPtr> LeaseKeeper::bind(const chart::Chart &chart)
{
    chart::Binding<LeaseKeeper> binding;
    for (const auto state :
         {"resting", "watching", "acquiring", "holding", "renewing", "releasing"})
        binding.state(state);
    binding.events({"contend", "yield", "look-due", "row-seen", "renewal-due", "written",
                    "unavailable", "refused"});
    binding.guard("may-take", [](const LeaseKeeper &keeper) { return keeper.canAcquire(); });
    binding.guard("is-wanted", [](const LeaseKeeper &keeper) { return keeper.isWanted(); });
    binding.action("look", [](LeaseKeeper &keeper) { keeper.readRow(); });
    binding.action("look-later", [](LeaseKeeper &keeper) { keeper.scheduleRead(); });
    binding.action("acquire", [](LeaseKeeper &keeper) { keeper.acquire(); });
    binding.action("take-up", [](LeaseKeeper &keeper) { keeper.becomeHolder(); });
    binding.action("renew", [](LeaseKeeper &keeper) { keeper.renew(); });
    binding.action("extend", [](LeaseKeeper &keeper) { keeper.extend(); });
    binding.action("renew-soon", [](LeaseKeeper &keeper) { keeper.retryRenewal(); });
    binding.action("give-back", [](LeaseKeeper &keeper) { keeper.sendRelease(); });
    binding.action("give-back-soon", [](LeaseKeeper &keeper) { keeper.retryRelease(); });
    binding.action("drop", [](LeaseKeeper &keeper) { keeper.endTenure(); });
    binding.action("drop-timer", [](LeaseKeeper &keeper) { keeper.cancelEvent(); });
    return chart::bind(chart, std::move(binding));
}

void LeaseKeeper::start()
{
    isStarted_ = true;
    updateContention();
}

void LeaseKeeper::setCandidateRank(std::optional<std::uint32_t> rank)
{
    rank_ = rank;
    updateContention();
}

void LeaseKeeper::release()
{
    isStarted_ = false;
    updateContention();
}

void LeaseKeeper::storeRestored(StoreTimeline timeline)
{
    timeline_ = timeline;
    restoredAt_ = clock_.now();
    isHolder_ = false;
    heldUntil_ = std::min(heldUntil_, clock_.now());
    observedRow_.reset();
    notifyIfChanged();
}

void LeaseKeeper::updateContention()
{
    handle(isWanted() ? "contend" : "yield");
}

void LeaseKeeper::handle(std::string_view event)
{
    machine_.handle(*this, event);
    notifyIfChanged();
}

bool LeaseKeeper::isHeldFor(Duration remaining) const
{
    return isHolder_ && isWanted() && clock_.now() + remaining < heldUntil_;
}

void LeaseKeeper::readRow()
{
    auto seen =
        [this, alive = std::weak_ptr(isAlive_)](const Result<std::vector<platform::Row>> &result) {
            if (alive.expired())
                return;
            if (isOk(result)) {
                backoff_ = settings_.retryDelay_;
                recordRow(valueOf(result));
            }
            handle(isOk(result) ? "row-seen" : "unavailable");
        };
    store_.read({leaseKey(domain_)}, std::move(seen));
}

/// Ignores a stale read, which may arrive after a newer version was read.
void LeaseKeeper::recordRow(const std::vector<platform::Row> &rows)
{
    const platform::Row row = rows.empty() ? platform::Row{} : rows.front();
    if (observedRow_ && row.version_ <= observedRow_->version_)
        return;
    LeaseRow content;
    if (!rows.empty()) {
        const Result<LeaseRow> decoded = decodeLeaseRow(row.value_);
        // An unreadable row grants no lease, but the next epoch must still exceed its epoch.
        content
            = isOk(decoded)
                  ? valueOf(decoded)
                  : LeaseRow{EntryId("?"), {}, Epoch(row.version_.value()), settings_.duration_, 0};
    }
    observedRow_ = ObservedRow{std::move(content), row.version_, clock_.now()};
}

/// Time by which any lease granted before the store was restored has expired.
TimePoint LeaseKeeper::earliestTakeoverAfterRestore() const
{
    return restoredAt_ ? *restoredAt_ + settings_.duration_ + settings_.margin_ : TimePoint{};
}

/// Time until this process may acquire the lease. It is measured from the first read of the row
/// version, which is later than its commit and so later than the start of the holder's lease.
Duration LeaseKeeper::timeUntilTakeover() const
{
    const LeaseRow &row = observedRow_->row_;
    const bool isOwn = row.holder_ == self_ && row.incarnation_ == incarnation_;
    // An earlier write of this process, whose outcome was unknown, did take effect.
    if (isOwn && clock_.now() >= earliestTakeoverAfterRestore())
        return Duration::zero();
    const Duration headStart = settings_.rankDelay_ * rank_.value_or(0);
    const Duration term
        = row.holder_.isEmpty() ? Duration::zero() : row.duration_ + settings_.margin_;
    return std::max(observedRow_->firstSeenAt_ + term, earliestTakeoverAfterRestore()) + headStart
           - clock_.now();
}

bool LeaseKeeper::canAcquire() const
{
    return observedRow_ && timeUntilTakeover() <= Duration::zero();
}

void LeaseKeeper::scheduleRead()
{
    const Duration period = withJitter(settings_.renewEvery_);
    const Duration delay = observedRow_ ? std::min(period, timeUntilTakeover()) : nextBackoff();
    scheduleEvent(std::max(delay, settings_.retryDelay_ / 2), "look-due");
}

void LeaseKeeper::acquire()
{
    leaseVersion_ = observedRow_->version_;
    // A row restored from a backup may have a lower epoch than the engines have already accepted.
    const auto timeline = std::max(timeline_, observedRow_->version_.timeline());
    const Epoch least(timeline.value() * epochsPerTimeline);
    const Epoch epoch = std::max({observedRow_->row_.epoch_, epoch_, least}).next();
    write({self_, incarnation_, epoch, settings_.duration_, observedRow_->row_.renewal_ + 1});
}

void LeaseKeeper::becomeHolder()
{
    isHolder_ = true;
    epoch_ = written_.epoch_;
    epochVersion_ = leaseVersion_;
    // The previous holder has stopped, but its orders may still be in transit.
    const bool isFirst = epoch_ == Epoch(1);
    previousOrdersUntil_ = isFirst ? clock_.now() : clock_.now() + settings_.maxOrderTransit_;
    extend();
}

void LeaseKeeper::renew()
{
    write({self_, incarnation_, epoch_, settings_.duration_, written_.renewal_ + 1});
}

void LeaseKeeper::extend()
{
    backoff_ = settings_.retryDelay_;
    heldUntil_ = sentAt_ + settings_.duration_ - settings_.margin_;
    scheduleExpiry();
    scheduleEvent(withJitter(settings_.renewEvery_), "renewal-due");
}

void LeaseKeeper::retryRenewal()
{
    scheduleEvent(nextBackoff(), "renewal-due");
}

/// The lease ends here before the row is written: once the write is sent, another process may
/// acquire the lease, even if this process wants it again.
void LeaseKeeper::sendRelease()
{
    cancelEvent();
    heldUntil_ = std::min(heldUntil_, clock_.now());
    write({{}, {}, epoch_, settings_.duration_, written_.renewal_ + 1});
}

void LeaseKeeper::retryRelease()
{
    scheduleEvent(nextBackoff(), "renewal-due");
}

/// Ends the tenure and forgets the row, which belongs to another process or is in unknown state.
void LeaseKeeper::endTenure()
{
    isHolder_ = false;
    heldUntil_ = std::min(heldUntil_, clock_.now());
    observedRow_.reset();
    cancelEvent();
}

void LeaseKeeper::write(LeaseRow row)
{
    written_ = std::move(row);
    sentAt_ = clock_.now();
    platform::Transaction transaction;
    transaction.writer_ = tokens_.next();
    transaction.conditions_.push_back({leaseKey(domain_), leaseVersion_});
    transaction.writes_.push_back({leaseKey(domain_), encode(written_)});
    const bool beginsTenure = written_.epoch_ > epoch_;
    if (beginsTenure)
        transaction.writes_.push_back({epochKey(domain_), encode(written_)});
    commits_.commit(std::move(transaction), settings_.writeDeadline_,
                    [this](const Result<platform::CommitReceipt> &result) { onCommitted(result); });
}

void LeaseKeeper::onCommitted(const Result<platform::CommitReceipt> &result)
{
    const bool isFromBeforeRestore = restoredAt_ && sentAt_ <= *restoredAt_;
    if (isOk(result) && !isFromBeforeRestore) {
        leaseVersion_ = valueOf(result).version_;
        handle("written");
        return;
    }
    const bool isRefused
        = isFromBeforeRestore || isError<StoreConflict>(result) || isError<StoreAnswerLost>(result);
    if (isRefused)
        observedRow_.reset();
    handle(isRefused ? "refused" : "unavailable");
}

void LeaseKeeper::scheduleEvent(Duration delay, std::string_view event)
{
    cancelEvent();
    timer_ = clock_.schedule(delay, [this, event] {
        timer_ = TimerId::None;
        handle(event);
    });
}

void LeaseKeeper::cancelEvent()
{
    clock_.cancel(timer_);
    timer_ = TimerId::None;
}

void LeaseKeeper::scheduleExpiry()
{
    clock_.cancel(expiryTimer_);
    expiryTimer_ = clock_.schedule(heldUntil_ - clock_.now(), [this] {
        expiryTimer_ = TimerId::None;
        notifyIfChanged();
    });
}

void LeaseKeeper::notifyIfChanged()
{
    const bool holds = isHeld();
    if (holds == wasHeldAtLastNotification_)
        return;
    wasHeldAtLastNotification_ = holds;
    if (onChange_)
        onChange_();
}

Duration LeaseKeeper::withJitter(Duration delay)
{
    return std::chrono::duration_cast<Duration>(delay * (0.75 + 0.5 * random_.unit()));
}

Duration LeaseKeeper::nextBackoff()
{
    const Duration delay = backoff_;
    backoff_ = std::min(backoff_ * 2, settings_.longestRetryDelay_);
    return withJitter(delay);
}

} // namespace cardamombay::leases
