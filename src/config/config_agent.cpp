#include <cardamombay/config/config_agent.hpp>

#include <cardamombay/config/config_parser.hpp>

#include <algorithm>

namespace cardamombay::config {

Result<ConfigProgramPtr> ConfigAgent::bind(const chart::Chart &chart)
{
    chart::Binding<ConfigAgent> binding;
    binding.events({"poll-due", "version-heard", "store-answered", "store-unchanged",
                    "store-failed", "confirmed", "not-confirmed", "peers-answered", "peers-failed",
                    "timed-out"});
    binding.state("resting");
    binding.guard("is-unset", [](const ConfigAgent &agent) { return agent.isUnset(); });
    binding.guard("is-behind", [](const ConfigAgent &agent) { return agent.isBehind(); });
    binding.guard("needs-content",
                  [](const ConfigAgent &agent) { return agent.isUnset() || agent.isBehind(); });
    binding.guard("asks-peers-first",
                  [](const ConfigAgent &agent) { return agent.asksPeersFirst(); });
    binding.guard("store-was-asked", [](const ConfigAgent &agent) { return agent.storeWasAsked_; });
    binding.action("ask-store", [](ConfigAgent &agent) { agent.askStore(); });
    binding.action("confirm", [](ConfigAgent &agent) { agent.confirm(); });
    binding.action("ask-peers", [](ConfigAgent &agent) { agent.askPeers(); });
    binding.action("rest", [](ConfigAgent &agent) { agent.rest(); });
    return chart::bind(chart, std::move(binding));
}

ConfigAgent::ConfigAgent(Clock &clock, ConfigStore &store, Random &random, DecisionSink &decisions,
                         ConfigProgramPtr program, ConfigAgentOptions options)
    : clock_(clock)
    , store_(store)
    , random_(random)
    , decisions_(decisions)
    , options_(options)
    , machine_(std::move(program))
    , retry_(options.firstRetry_)
    , alive_(std::make_shared<char>())
{
}

ConfigAgent::~ConfigAgent()
{
    clock_.cancel(timer_);
}

void ConfigAgent::setOnChange(std::function<void(ConfigurationPtr)> onChange)
{
    onChange_ = std::move(onChange);
}

void ConfigAgent::setPeerFetch(PeerFetch fetch)
{
    peerFetch_ = std::move(fetch);
}

void ConfigAgent::setPoller(bool isPoller)
{
    if (isPoller_ == isPoller)
        return;
    isPoller_ = isPoller;
    const bool isWaiting = isStarted_ && isPoller && machine_.isIn("resting");
    if (isWaiting)
        scheduleRest(jittered(options_.pollInterval_));
}

void ConfigAgent::start()
{
    if (isStarted_)
        return;
    isStarted_ = true;
    const auto spread = static_cast<std::uint64_t>(options_.startSpread_.count()) + 1;
    scheduleRest(Duration(static_cast<std::int64_t>(random_.below(spread))));
}

void ConfigAgent::offer(ConfigVersion highestSeenAtPeers)
{
    if (highestSeenAtPeers.value() <= heard_.value())
        return; // known of; a fetch that failed is tried again by its own timer
    heard_ = highestSeenAtPeers;
    if (isStarted_ && isBehind())
        machine_.handle(*this, "version-heard");
}

std::optional<std::string> ConfigAgent::encodedCurrent() const
{
    return current_ ? std::optional(encode(record_)) : std::nullopt;
}

/// \name Actions of the chart
/// \{
void ConfigAgent::askStore()
{
    storeWasAsked_ = true;
    ++counts_.storeReads_;
    const auto step = beginStep();
    store_.poll(row_, [this, alive = std::weak_ptr(alive_),
                       step](const Result<std::optional<StoredConfig>> &result) {
        if (!alive.expired())
            takeStoreAnswer(step, result);
    });
}

void ConfigAgent::confirm()
{
    ++counts_.confirmations_;
    const auto step = beginStep();
    store_.confirm(pending_->row_,
                   [this, alive = std::weak_ptr(alive_), step](const Result<Done> &result) {
                       if (!alive.expired())
                           takeConfirmation(step, result);
                   });
}

void ConfigAgent::askPeers()
{
    const auto step = beginStep();
    if (!peerFetch_) {
        clock_.schedule(Duration::zero(), [this, alive = std::weak_ptr(alive_), step] {
            if (!alive.expired())
                endStep(step, "peers-failed");
        });
        return;
    }
    ++counts_.peerReads_;
    peerFetch_(heard_.isNone() ? ConfigVersion{1} : heard_,
               [this, alive = std::weak_ptr(alive_), step](const Result<std::string> &result) {
                   if (!alive.expired())
                       takePeerAnswer(step, result);
               });
}

void ConfigAgent::rest()
{
    storeWasAsked_ = false;
    pending_.reset();
    if (isUnset() || isBehind()) {
        scheduleRest(jittered(retry_));
        retry_ = std::min(retry_ * 2, options_.longestRetry_);
        return;
    }
    retry_ = options_.firstRetry_;
    scheduleRest(jittered(isPoller_ ? options_.pollInterval_ : options_.idleInterval_));
}
/// \}

/// \name Answers. One that comes after its step was given up may still raise the version.
/// \{
void ConfigAgent::takeStoreAnswer(std::uint64_t step,
                                  const Result<std::optional<StoredConfig>> &result)
{
    if (!isOk(result)) {
        endStep(step, "store-failed");
        return;
    }
    const auto &stored = valueOf(result);
    if (!stored) {
        endStep(step, "store-unchanged");
        return;
    }
    if (isUnset()) {
        if (step == step_)
            pending_ = stored;
    } else {
        row_ = RowVersion(std::max(row_.value(), stored->row_.value()));
        consider(stored->record_, "store");
    }
    endStep(step, "store-answered");
}

void ConfigAgent::takeConfirmation(std::uint64_t step, const Result<Done> &result)
{
    if (step != step_)
        return;
    if (isOk(result)) {
        const StoredConfig stored = std::move(*pending_);
        pending_.reset();
        row_ = stored.row_;
        consider(stored.record_, "store");
        endStep(step, "confirmed");
    } else if (isError<StoreConflict>(result)) {
        ++counts_.staleReads_;
        report("config-read-stale", "read again",
               {{"version", std::to_string(pending_->record_.version_.value())}});
        endStep(step, "not-confirmed");
    } else {
        endStep(step, "store-failed");
    }
}

void ConfigAgent::takePeerAnswer(std::uint64_t step, const Result<std::string> &result)
{
    const auto record
        = isOk(result) ? decodeRecord(valueOf(result)) : Result<ConfigRecord>(errorOf(result));
    const bool hasContent = isOk(record) && !valueOf(record).content_.empty();
    if (hasContent && mayTakeFromPeer(valueOf(record)))
        consider(valueOf(record), "peer");
    endStep(step, hasContent ? "peers-answered" : "peers-failed");
}
/// \}

void ConfigAgent::consider(const ConfigRecord &record, std::string_view source)
{
    heard_ = ConfigVersion(std::max(heard_.value(), record.version_.value()));
    const bool isKnown = record.version_.value() <= record_.version_.value()
                         || record.version_ == refusedVersion();
    if (isKnown)
        return;
    const auto sources = decodeSources(record.content_);
    if (!isOk(sources)) {
        refuse(record, errorOf(sources));
        return;
    }
    auto configuration = parse(valueOf(sources), record.version_);
    if (isOk(configuration))
        putInForce(record, valueOf(std::move(configuration)), source);
    else
        refuse(record, errorOf(configuration));
}

void ConfigAgent::putInForce(const ConfigRecord &record, Configuration configuration,
                             std::string_view source)
{
    report("config-in-force", std::to_string(record.version_.value()),
           {{"previous", std::to_string(record_.version_.value())},
            {"source", std::string(source)},
            {"hash", record.hash_}});
    ++counts_.taken_;
    record_ = record;
    current_ = std::make_shared<const Configuration>(std::move(configuration));
    if (record_.version_.value() >= refusedVersion().value())
        refused_.reset();
    if (onChange_)
        onChange_(current_);
}

void ConfigAgent::refuse(const ConfigRecord &record, const Error &error)
{
    if (record.version_.value() < refusedVersion().value())
        return;
    refused_ = RefusedConfig{record.version_, error};
    report("config-refused", "keep version " + std::to_string(record_.version_.value()),
           {{"version", std::to_string(record.version_.value())},
            {"problem", messageOf(error)},
            {"remedy", remedyOf(error)}});
}

void ConfigAgent::report(std::string event, std::string choice, std::vector<Detail> inputs)
{
    decisions_.record({clock_.now(),
                       std::move(event),
                       "configuration",
                       std::move(choice),
                       std::move(inputs),
                       {}});
}

std::uint64_t ConfigAgent::beginStep()
{
    clock_.cancel(timer_);
    const auto step = ++step_;
    timer_ = clock_.schedule(options_.stepTimeout_, [this, step] { endStep(step, "timed-out"); });
    return step;
}

void ConfigAgent::endStep(std::uint64_t step, std::string_view event)
{
    if (step == step_)
        machine_.handle(*this, event);
}

void ConfigAgent::scheduleRest(Duration delay)
{
    clock_.cancel(timer_);
    ++step_; // what is still under way ends no step any more
    timer_ = clock_.schedule(delay, [this] { machine_.handle(*this, "poll-due"); });
}

Duration ConfigAgent::jittered(Duration delay)
{
    const double factor = 0.75 + random_.unit() / 2; // keeps processes apart, mean unchanged
    return std::chrono::duration_cast<Duration>(delay * factor);
}

ConfigVersion ConfigAgent::refusedVersion() const
{
    return refused_ ? refused_->version_ : ConfigVersion{};
}

bool ConfigAgent::isBehind() const
{
    return heard_.value() > std::max(record_.version_.value(), refusedVersion().value());
}

bool ConfigAgent::mayTakeFromPeer(const ConfigRecord &record) const
{
    // What another peer has in force may have been in force here before this process started.
    const auto least = std::max(record.version_.value(), refusedVersion().value());
    return !isUnset() || heard_.value() <= least;
}

bool ConfigAgent::asksPeersFirst() const
{
    return !isUnset() && isBehind() && peerFetch_ != nullptr;
}

} // namespace cardamombay::config
