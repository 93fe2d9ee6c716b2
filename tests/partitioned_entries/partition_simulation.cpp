#include "partition_simulation.hpp"

#include <algorithm>
#include <cstdio>
#include <utility>

namespace cardamombay::partitioned_entries {

using namespace serving;
using namespace support;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Duration settling = seconds(4);
constexpr Duration step = milliseconds(10);
constexpr Duration warmUp = seconds(3);
constexpr Duration detection = seconds(1);
constexpr Duration afterwards = seconds(4);

constexpr Duration firstEventAfter = milliseconds(40);
constexpr Duration betweenEvents = milliseconds(50);
constexpr std::size_t eventsOfStream = 16;
constexpr Duration plainAnswerAfter = milliseconds(30);
/// For so long entry VMs keep connections that are not used.
constexpr Duration keptFor = seconds(10);
/// One way between two entry VMs.
constexpr Duration hop = milliseconds(1);

std::size_t zonesOf(std::size_t entries)
{
    return entries > 100 ? 5 : 3;
}

std::string eventText(std::size_t number)
{
    return "id: " + std::to_string(number) + "\ndata: x\n\n";
}

} // namespace

/// Passes the answer of an entry VM on to the one that sent it the request.
class PartitionSimulation::Relay final : public net::ServerExchange,
                                         public std::enable_shared_from_this<Relay>
{
public:
    Relay(ManualClock &clock, std::size_t carrier, std::shared_ptr<FakeCall> call)
        : clock_(clock)
        , carrier_(carrier)
        , call_(std::move(call))
    {
    }

    [[nodiscard]] std::size_t carrier() const { return carrier_; }

    /// The carrier is gone; it does not notice that its caller leaves.
    void breakOff()
    {
        lost_ = nullptr;
        if (!call_->isDropped())
            call_->fail(true);
    }

    void respond(net::HttpResponse response) override
    {
        later([response = std::move(response)](const FakeCall &call) {
            call.listener_->onHead({response.status_, response.fields_, {}});
            if (!call.isDropped())
                call.end(response.body_);
        });
    }
    void startStream(net::HttpResponse head) override
    {
        later([head = std::move(head)](const FakeCall &call) { call.listener_->onHead(head); });
    }
    void write(std::span<const std::string_view> parts, std::function<void()> written) override
    {
        std::string text;
        for (const auto part : parts)
            text += part;
        later([text = std::move(text)](const FakeCall &call) { call.data(text); });
        clock_.schedule(hop, std::move(written));
    }
    void finish(std::span<const net::HttpField> /*trailers*/) override
    {
        later([](const FakeCall &call) { call.end(""); });
    }
    void abort() override
    {
        later([](const FakeCall &call) { call.fail(true); });
    }
    void onLost(std::function<void()> lost) override { lost_ = std::move(lost); }

    /// \returns true if nothing more can come of it.
    bool endIfAbandoned()
    {
        if (!call_->isDropped())
            return false;
        if (lost_)
            std::exchange(lost_, nullptr)();
        return true;
    }

private:
    void later(std::function<void(const FakeCall &)> action)
    {
        clock_.schedule(hop, [self = shared_from_this(), action = std::move(action)] {
            if (!self->call_->isDropped())
                action(*self->call_);
        });
    }

    ManualClock &clock_;
    std::size_t carrier_;
    std::shared_ptr<FakeCall> call_;
    std::function<void()> lost_;
};

PartitionSimulation::PartitionSimulation(Scenario scenario, std::uint64_t seed)
    : fleet_(scenario.entries_, zonesOf(scenario.entries_), scenario.entries_ > 16 ? 2 : 0, seed)
    , scenario_(std::move(scenario))
    , random_(seed)
    , scanned_(scenario_.entries_)
{
    fleet_.faults_.lossShare_ = scenario_.lossShare_;
    for (std::size_t i = 0; i < scenario_.groups_; ++i) {
        endpoints_.push_back("head-" + std::to_string(i));
        fleet_.listGroup(endpoints_.back());
    }
    for (std::size_t i = 0; i < scenario_.plainEndpoints_; ++i) {
        endpoints_.push_back("plain-" + std::to_string(i));
        fleet_.listPlain(endpoints_.back());
    }
    for (std::size_t i = 0; i < scenario_.entries_; ++i)
        entryByAddress_.emplace(fleet_.node(i).address_, i);
    fleet_.configure(1, {"key"});
    fleet_.start();
    fleet_.pass(settling);
}

void PartitionSimulation::lose()
{
    isLosing_ = true;
    lostAt_ = now();
    // A share of each service, so that a partial loss leaves some endpoints of each.
    const auto keeps = [this](std::size_t index, std::size_t count) {
        return static_cast<double>(index) >= scenario_.lostShare_ * static_cast<double>(count);
    };
    for (std::size_t i = 0; i < endpoints_.size(); ++i) {
        const bool isGroup = i < scenario_.groups_;
        if (!keeps(isGroup ? i : i - scenario_.groups_,
                   isGroup ? scenario_.groups_ : scenario_.plainEndpoints_))
            lostEndpoints_.insert(endpoints_[i]);
    }
    losing_ = scenario_.partitioned_;
    cutOff(losing_);
}

void PartitionSimulation::loseAlso(const std::set<std::size_t> &entries)
{
    losing_.insert(entries.begin(), entries.end());
    cutOff(entries);
}

void PartitionSimulation::cutOff(const std::set<std::size_t> &entries)
{
    for (const auto entry : entries) {
        for (const auto &endpoint : lostEndpoints_) {
            auto &upstream = fleet_.node(entry).upstream_;
            (isSilent() ? upstream.silent_ : upstream.ended_).insert(engineAddress(endpoint));
        }
    }
    if (scenario_.loss_ != PathLoss::Refused)
        return;
    for (const auto &run : std::exchange(runs_, {})) {
        if (isLost(run.entry_, run.endpoint_) && !run.call_->isDropped())
            run.call_->fail(true);
        else
            runs_.push_back(run);
    }
}

void PartitionSimulation::restore()
{
    isLosing_ = false;
    restoredAt_ = now();
    lostEndpoints_.clear();
    knownLost_.clear();
    for (const auto entry : losing_) {
        fleet_.node(entry).upstream_.ended_.clear();
        fleet_.node(entry).upstream_.silent_.clear();
    }
}

bool PartitionSimulation::isSilent() const
{
    return scenario_.loss_ == PathLoss::Silent || scenario_.loss_ == PathLoss::OneWay;
}

void PartitionSimulation::kill(std::size_t entry)
{
    killed_.insert(entry);
    fleet_.node(entry).clock_.setPaused(true);
    for (const auto &relay : std::exchange(relays_, {})) {
        if (relay->carrier() == entry)
            relay->breakOff();
        else
            relays_.push_back(relay);
    }
}

bool PartitionSimulation::isLost(std::size_t entry, const std::string &endpoint) const
{
    return isLosing_ && losing_.contains(entry) && lostEndpoints_.contains(endpoint);
}

void PartitionSimulation::pass(Duration time)
{
    for (const auto end = now() + time; now() < end;) {
        if (fault_)
            fault_();
        ask(step);
        fleet_.pass(step);
        takeCalls();
        failPending();
        for (auto &run : runs_)
            advance(run);
        std::erase_if(runs_, [](const Run &run) { return run.call_->isDropped(); });
        endAbandonedRelays();
    }
}

void PartitionSimulation::ask(Duration step)
{
    for (streamsDue_ += scenario_.streams_ * toSeconds(step); streamsDue_ >= 1; streamsDue_ -= 1)
        askAt(drawEntry(), "/stream/", true);
    for (plainDue_ += scenario_.plainRequests_ * toSeconds(step); plainDue_ >= 1; plainDue_ -= 1)
        askAt(drawEntry(), asked_ % 2 == 0 ? "/once/" : "/again/", false);
}

std::size_t PartitionSimulation::drawEntry()
{
    for (;;) {
        const auto entry = random_.below(fleet_.size());
        if (!scenario_.unasked_.contains(entry))
            return entry;
    }
}

void PartitionSimulation::askAt(std::size_t entry, const std::string &path, bool isStream)
{
    const auto target = path + std::to_string(asked_++);
    auto view = support::askAt(fleet_.node(entry).gateway_, target, isStream ? "m" : "", "key",
                               seconds(5));
    callers_.push_back({std::move(view), now(), entry, isStream});
}

void PartitionSimulation::takeCalls()
{
    for (std::size_t i = 0; i < fleet_.size(); ++i) {
        auto &calls = fleet_.node(i).upstream_.calls_;
        for (; scanned_[i] < calls.size(); ++scanned_[i]) {
            const auto call = calls[scanned_[i]];
            if (!call->isDropped())
                arrived(i, call);
        }
    }
}

void PartitionSimulation::arrived(std::size_t entry, const std::shared_ptr<FakeCall> &call)
{
    const auto peer = entryByAddress_.find(call->request_.address_);
    if (peer != entryByAddress_.end()) {
        relay(entry, peer->second, call);
        return;
    }
    const auto endpoint = call->field("endpoint");
    if (isLost(entry, endpoint)) {
        arrivedOnLostPath(entry, endpoint, call);
        return;
    }
    if (now() >= restoredAt_ && scenario_.partitioned_.contains(entry))
        usedAgainAt_.try_emplace(entry, now());
    if (call->connect())
        begin(entry, endpoint, call);
}

void PartitionSimulation::arrivedOnLostPath(std::size_t entry, const std::string &endpoint,
                                            const std::shared_ptr<FakeCall> &call)
{
    // The first request finds a kept connection that still looks whole.
    const auto used = usedAt_.find({entry, endpoint});
    const bool wasUsed = used != usedAt_.end() && lostAt_ - used->second < keptFor;
    const bool isKept = wasUsed && scenario_.loss_ != PathLoss::NewRefused
                        && knownLost_.emplace(entry, endpoint).second;
    const bool isSent = isKept && call->connect();
    if (isSent && scenario_.loss_ == PathLoss::OneWay)
        begin(entry, endpoint, call);
    if (!isSilent())
        call->fail(isSent);
    else if (!isKept)
        pending_.push_back({call, now() + call->request_.connectTimeout_});
}

void PartitionSimulation::begin(std::size_t entry, const std::string &endpoint,
                                const std::shared_ptr<FakeCall> &call)
{
    ++results_.runs_;
    usedAt_[{entry, endpoint}] = now();
    const bool isStream = call->request_.target_.starts_with("/stream/");
    if (call->request_.target_.starts_with("/once/") && ++unsafeRuns_[call->request_.target_] == 2)
        ++results_.unsafeRunTwice_;
    runs_.push_back({call, entry, endpoint, now() + (isStream ? firstEventAfter : plainAnswerAfter),
                     0, isStream});
}

void PartitionSimulation::relay(std::size_t entry, std::size_t peer,
                                const std::shared_ptr<FakeCall> &call)
{
    ++results_.relayed_;
    const bool isBefore = lostAt_ == TimePoint{};
    const bool isLongAfter = restoredAt_ < TimePoint::max() && now() - restoredAt_ > detection;
    if (isBefore || isLongAfter || !losing_.contains(entry))
        ++results_.relayedWithoutNeed_;
    if (killed_.contains(peer)) {
        call->fail(false);
        return;
    }
    if (!call->connect())
        return;
    auto exchange = std::make_shared<Relay>(fleet_.clock_, peer, call);
    relays_.push_back(exchange);
    net::ServerRequest request;
    request.method_ = call->request_.method_;
    request.target_ = call->request_.target_;
    request.fields_ = call->request_.fields_;
    request.body_ = call->request_.body_.view();
    fleet_.clock_.schedule(hop, [this, peer, request = std::move(request), exchange]() mutable {
        fleet_.node(peer).gateway_.handleRelayed(std::move(request), exchange);
    });
}

/// Open connections go on only if the loss concerns new ones.
bool PartitionSimulation::hearsNothing(const Run &run) const
{
    return scenario_.loss_ != PathLoss::NewRefused && isLost(run.entry_, run.endpoint_);
}

void PartitionSimulation::advance(Run &run)
{
    if (run.at_ > now() || run.call_->isDropped() || hearsNothing(run))
        return;
    if (!run.isStream_) {
        run.call_->sealedHead();
        if (!run.call_->isDropped())
            run.call_->end("answer");
        return;
    }
    if (run.events_ == 0)
        run.call_->sealedHead();
    if (run.call_->isDropped())
        return;
    run.call_->data(eventText(++run.events_));
    run.at_ = now() + betweenEvents;
    if (run.events_ >= eventsOfStream && !run.call_->isDropped())
        run.call_->end("");
}

void PartitionSimulation::failPending()
{
    std::vector<Pending> due;
    std::erase_if(pending_, [&](const Pending &one) {
        if (one.failsAt_ <= now())
            due.push_back(one);
        return one.failsAt_ <= now();
    });
    for (const auto &one : due) {
        if (!one.call_->isDropped())
            one.call_->fail(false);
    }
}

void PartitionSimulation::endAbandonedRelays()
{
    std::erase_if(relays_, [](const auto &relay) { return relay->endIfAbandoned(); });
}

void PartitionSimulation::add(Tally &tally, const Caller &caller) const
{
    ++tally.asked_;
    const auto &view = *caller.view_;
    if (caller.isStream_ ? view.isFinished_ : view.status() == 200)
        ++tally.served_;
    else if (view.status() == 503)
        ++tally.refused_;
    else if (view.isAborted_)
        ++tally.brokenOff_;
}

Results PartitionSimulation::run()
{
    pass(warmUp);
    lose();
    pass(scenario_.lostFor_);
    restore();
    pass(afterwards);
    const auto lastAsked = now();
    scenario_.streams_ = 0;
    scenario_.plainRequests_ = 0;
    pass(seconds(6));
    for (const auto &caller : callers_) {
        const bool isPartitioned = scenario_.partitioned_.contains(caller.entry_);
        if (caller.askedAt_ >= lastAsked)
            continue;
        if (caller.askedAt_ >= restoredAt_)
            add(results_.afterwards_, caller);
        else if (caller.askedAt_ >= lostAt_ + detection)
            add(isPartitioned ? results_.atPartitioned_ : results_.atOthers_, caller);
        else if (caller.askedAt_ >= lostAt_ && isPartitioned)
            add(results_.firstSecond_, caller);
        else if (caller.askedAt_ < lostAt_ && caller.askedAt_ > lostAt_ - milliseconds(700)
                 && isPartitioned && caller.isStream_)
            add(results_.earlier_, caller);
    }
    for (std::size_t i = 0; i < fleet_.size(); ++i) {
        auto &node = fleet_.node(i);
        if (!node.gateway_.poisonPills().quarantined(node.clock_.now()).empty())
            ++results_.quarantined_;
    }
    for (const auto entry : scenario_.partitioned_) {
        const auto found = usedAgainAt_.find(entry);
        const auto time = found == usedAgainAt_.end() ? now() : found->second;
        results_.usedAgain_ = std::max(results_.usedAgain_, time - restoredAt_);
    }
    return results_;
}

void print(const char *name, const Scenario &scenario, const Results &results)
{
    std::printf("%s, %zu of %zu entry VMs: served there %zu of %zu (refused %zu, broken off %zu), "
                "at the others %zu of %zu; first second %zu of %zu, under way %zu of %zu, "
                "afterwards %zu of %zu; relayed %zu (%zu without need), runs %zu, unsafe run twice "
                "%zu; quarantined at %zu; used again after %.2f s\n",
                name, scenario.partitioned_.size(), scenario.entries_,
                results.atPartitioned_.served_, results.atPartitioned_.asked_,
                results.atPartitioned_.refused_, results.atPartitioned_.brokenOff_,
                results.atOthers_.served_, results.atOthers_.asked_, results.firstSecond_.served_,
                results.firstSecond_.asked_, results.earlier_.served_, results.earlier_.asked_,
                results.afterwards_.served_, results.afterwards_.asked_, results.relayed_,
                results.relayedWithoutNeed_, results.runs_, results.unsafeRunTwice_,
                results.quarantined_, toSeconds(results.usedAgain_));
}

} // namespace cardamombay::partitioned_entries
