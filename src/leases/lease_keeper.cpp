#include <cardamombay/leases/lease_keeper.hpp>

#include <algorithm>
#include <utility>

namespace cardamombay::leases {

namespace {

/// Tenures in one timeline of the store; one each second for twelve days.
constexpr std::uint64_t epochsOfTimeline = std::uint64_t{1} << 20U;

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
    , quietUntil_(clock.now())
    , delay_(settings.retryDelay_)
{
}

LeaseKeeper::~LeaseKeeper()
{
    clock_.cancel(timer_);
    clock_.cancel(lapse_);
}

Result<LeaseProgramPtr> LeaseKeeper::bind(const chart::Chart &chart)
{
    chart::Binding<LeaseKeeper> binding;
    for (const auto state :
         {"resting", "watching", "acquiring", "holding", "renewing", "releasing"})
        binding.state(state);
    binding.events({"contend", "yield", "look-due", "row-seen", "renewal-due", "written",
                    "unavailable", "refused"});
    binding.guard("may-take", [](const LeaseKeeper &keeper) { return keeper.mayTake(); });
    binding.guard("is-wanted", [](const LeaseKeeper &keeper) { return keeper.isWanted(); });
    binding.action("look", [](LeaseKeeper &keeper) { keeper.look(); });
    binding.action("look-later", [](LeaseKeeper &keeper) { keeper.lookLater(); });
    binding.action("acquire", [](LeaseKeeper &keeper) { keeper.acquire(); });
    binding.action("take-up", [](LeaseKeeper &keeper) { keeper.takeUp(); });
    binding.action("renew", [](LeaseKeeper &keeper) { keeper.renew(); });
    binding.action("extend", [](LeaseKeeper &keeper) { keeper.extend(); });
    binding.action("renew-soon", [](LeaseKeeper &keeper) { keeper.renewSoon(); });
    binding.action("give-back", [](LeaseKeeper &keeper) { keeper.giveBack(); });
    binding.action("give-back-soon", [](LeaseKeeper &keeper) { keeper.giveBackSoon(); });
    binding.action("drop", [](LeaseKeeper &keeper) { keeper.drop(); });
    binding.action("drop-timer", [](LeaseKeeper &keeper) { keeper.disarm(); });
    return chart::bind(chart, std::move(binding));
}

void LeaseKeeper::start()
{
    isStarted_ = true;
    adjust();
}

void LeaseKeeper::setCandidateRank(std::optional<std::uint32_t> rank)
{
    rank_ = rank;
    adjust();
}

void LeaseKeeper::release()
{
    isStarted_ = false;
    adjust();
}

void LeaseKeeper::storeRestored(StoreTimeline timeline)
{
    timeline_ = timeline;
    restoredAt_ = clock_.now();
    isTenured_ = false;
    heldUntil_ = std::min(heldUntil_, clock_.now());
    sighting_.reset();
    announce();
}

void LeaseKeeper::adjust()
{
    handle(isWanted() ? "contend" : "yield");
}

void LeaseKeeper::handle(std::string_view event)
{
    machine_.handle(*this, event);
    announce();
}

bool LeaseKeeper::isHeldFor(Duration rest) const
{
    return isTenured_ && isWanted() && clock_.now() + rest < heldUntil_;
}

void LeaseKeeper::look()
{
    auto seen =
        [this, alive = std::weak_ptr(isAlive_)](const Result<std::vector<platform::Row>> &result) {
            if (alive.expired())
                return;
            if (isOk(result)) {
                delay_ = settings_.retryDelay_;
                see(valueOf(result));
            }
            handle(isOk(result) ? "row-seen" : "unavailable");
        };
    store_.read({leaseKey(domain_)}, std::move(seen));
}

/// A stale read never replaces a newer sighting.
void LeaseKeeper::see(const std::vector<platform::Row> &rows)
{
    const platform::Row row = rows.empty() ? platform::Row{} : rows.front();
    if (sighting_ && row.version_ <= sighting_->version_)
        return;
    LeaseRow content;
    if (!rows.empty()) {
        const Result<LeaseRow> decoded = decodeLeaseRow(row.value_);
        // Nobody can hold a lease by a row that nobody can read, but its epoch must be passed.
        content
            = isOk(decoded)
                  ? valueOf(decoded)
                  : LeaseRow{EntryId("?"), {}, Epoch(row.version_.value()), settings_.duration_, 0};
    }
    sighting_ = Sighting{std::move(content), row.version_, clock_.now()};
}

/// A lease from before the store was restored has lapsed by then, wherever it was held.
TimePoint LeaseKeeper::restoreEnd() const
{
    return restoredAt_ ? *restoredAt_ + settings_.duration_ + settings_.margin_ : TimePoint{};
}

/// Time until a takeover is allowed. It counts from when the version was first seen here; that is
/// later than its commit, which is later than the instant the holder counts from.
Duration LeaseKeeper::waitLeft() const
{
    const LeaseRow &row = sighting_->row_;
    const bool isOwn = row.holder_ == self_ && row.incarnation_ == incarnation_;
    // Left by a write of ours with unknown effect.
    if (isOwn && clock_.now() >= restoreEnd())
        return Duration::zero();
    const Duration headStart = settings_.rankDelay_ * rank_.value_or(0);
    const Duration term
        = row.holder_.isEmpty() ? Duration::zero() : row.duration_ + settings_.margin_;
    return std::max(sighting_->since_ + term, restoreEnd()) + headStart - clock_.now();
}

bool LeaseKeeper::mayTake() const
{
    return sighting_ && waitLeft() <= Duration::zero();
}

void LeaseKeeper::lookLater()
{
    const Duration period = jittered(settings_.renewEvery_);
    const Duration delay = sighting_ ? std::min(period, waitLeft()) : backOff();
    arm(std::max(delay, settings_.retryDelay_ / 2), "look-due");
}

void LeaseKeeper::acquire()
{
    leaseVersion_ = sighting_->version_;
    // A row from a backup has an earlier epoch than the last one that engines have obeyed.
    const auto timeline = std::max(timeline_, sighting_->version_.timeline());
    const Epoch least(timeline.value() * epochsOfTimeline);
    const Epoch epoch = std::max({sighting_->row_.epoch_, epoch_, least}).next();
    write({self_, incarnation_, epoch, settings_.duration_, sighting_->row_.renewal_ + 1});
}

void LeaseKeeper::takeUp()
{
    isTenured_ = true;
    epoch_ = written_.epoch_;
    epochVersion_ = leaseVersion_;
    // The holder before has stopped; what it sent may still be under way.
    const bool isFirst = epoch_ == Epoch(1);
    quietUntil_ = isFirst ? clock_.now() : clock_.now() + settings_.orderFlight_;
    extend();
}

void LeaseKeeper::renew()
{
    write({self_, incarnation_, epoch_, settings_.duration_, written_.renewal_ + 1});
}

void LeaseKeeper::extend()
{
    delay_ = settings_.retryDelay_;
    heldUntil_ = sentAt_ + settings_.duration_ - settings_.margin_;
    armLapse();
    arm(jittered(settings_.renewEvery_), "renewal-due");
}

void LeaseKeeper::renewSoon()
{
    arm(backOff(), "renewal-due");
}

/// Once this is sent another process may gain the lease, also if the lease is wanted again here.
void LeaseKeeper::giveBack()
{
    disarm();
    heldUntil_ = std::min(heldUntil_, clock_.now());
    write({{}, {}, epoch_, settings_.duration_, written_.renewal_ + 1});
}

void LeaseKeeper::giveBackSoon()
{
    arm(backOff(), "renewal-due");
}

/// Ends the tenure. The row is to be looked at anew, since it is another's or unknown.
void LeaseKeeper::drop()
{
    isTenured_ = false;
    heldUntil_ = std::min(heldUntil_, clock_.now());
    sighting_.reset();
    disarm();
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
                    [this](const Result<platform::CommitReceipt> &result) { finish(result); });
}

void LeaseKeeper::finish(const Result<platform::CommitReceipt> &result)
{
    const bool isFromBefore = restoredAt_ && sentAt_ <= *restoredAt_;
    if (isOk(result) && !isFromBefore) {
        leaseVersion_ = valueOf(result).version_;
        handle("written");
        return;
    }
    const bool isRefused
        = isFromBefore || isError<StoreConflict>(result) || isError<StoreAnswerLost>(result);
    if (isRefused)
        sighting_.reset();
    handle(isRefused ? "refused" : "unavailable");
}

void LeaseKeeper::arm(Duration delay, std::string_view event)
{
    disarm();
    timer_ = clock_.schedule(delay, [this, event] {
        timer_ = TimerId::None;
        handle(event);
    });
}

void LeaseKeeper::disarm()
{
    clock_.cancel(timer_);
    timer_ = TimerId::None;
}

void LeaseKeeper::armLapse()
{
    clock_.cancel(lapse_);
    lapse_ = clock_.schedule(heldUntil_ - clock_.now(), [this] {
        lapse_ = TimerId::None;
        announce();
    });
}

void LeaseKeeper::announce()
{
    const bool holds = isHeld();
    if (holds == wasHeld_)
        return;
    wasHeld_ = holds;
    if (changed_)
        changed_();
}

Duration LeaseKeeper::jittered(Duration delay)
{
    return std::chrono::duration_cast<Duration>(delay * (0.75 + 0.5 * random_.unit()));
}

Duration LeaseKeeper::backOff()
{
    const Duration delay = delay_;
    delay_ = std::min(delay_ * 2, settings_.longestRetryDelay_);
    return jittered(delay);
}

} // namespace cardamombay::leases
