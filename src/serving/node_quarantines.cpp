// Quarantines of requests, and of parts of prompts, that crash endpoints. They are kept in the
// store so that they outlast a restart of all entry VMs; otherwise each restart would cost three
// more endpoints.
#include <cardamombay/serving/node.hpp>

#include "serving/log_events.hpp"

#include <cardamombay/log/log.hpp>

#include <utility>

namespace cardamombay::serving {

namespace {

/// Writes per transaction; the store accepts up to a hundred.
constexpr std::size_t maxWritesPerTransaction = 50;

/// Interval at which the planner checks for quarantines that operators have lifted; each check is a
/// call to the store.
constexpr Duration liftedCheckInterval = std::chrono::seconds(30);

std::string textOf(const std::vector<EndpointIncarnation> &endpoints)
{
    std::string result = "ended:";
    for (const auto &endpoint : endpoints)
        result += ' ' + endpoint.text();
    return result;
}

} // namespace

/// Loads the quarantines from before a restart of the whole fleet; later ones arrive from peers.
void Node::readQuarantines()
{
    quarantineWatch_.setActive(false);
    if (settings_.isFirstStart_)
        quarantinesListedAt_ = parts_.clock_.now(); // The store has none yet.
    else
        quarantineWatch_.start();
}

/// A row that is missing before its quarantine has ended was deleted by an operator.
void Node::quarantinesListed(const std::vector<platform::Row> &rows)
{
    const auto now = parts_.clock_.now();
    auto &pills = parts_.gateway_.poisonPills();
    std::set<RequestFingerprint> listed;
    for (const auto &row : rows) {
        if (const auto request = RequestFingerprint::parse(row.key_.key_))
            listed.insert(*request);
    }
    const auto inForce = pills.quarantined(now);
    for (const auto &request : storedQuarantines_) {
        if (listed.contains(request) || !inForce.contains(request))
            continue;
        log::info(event::quarantineLifted, {{"fingerprint", request.text()}, {"by", "operator"}});
        pills.lift(request, now);
    }
    if (quarantinesListedAt_ == TimePoint{}) {
        for (const auto &request : listed)
            pills.restore(request, now);
    }
    quarantinesListedAt_ = now;
    storedQuarantines_ = std::move(listed);
}

/// Run by the planner: writes quarantines that are missing in the store and deletes those that have
/// ended.
void Node::syncQuarantines(TimePoint now)
{
    if (isWritingQuarantines_ || quarantinesListedAt_ == TimePoint{})
        return;
    const auto &pills = parts_.gateway_.poisonPills();
    const auto inForce = pills.quarantined(now);
    platform::Transaction transaction;
    auto kept = storedQuarantines_;
    for (const auto &[request, endpoints] : inForce) {
        if (!kept.contains(request) && pills.standsAlone(request)
            && transaction.writes_.size() < maxWritesPerTransaction) {
            transaction.writes_.push_back({{quarantineTable, request.text()}, textOf(endpoints)});
            kept.insert(request);
        }
    }
    for (const auto &request : storedQuarantines_) {
        if (!inForce.contains(request) && transaction.writes_.size() < maxWritesPerTransaction) {
            transaction.writes_.push_back({{quarantineTable, request.text()}, std::nullopt});
            kept.erase(request);
        }
    }
    if (transaction.writes_.empty()) {
        if (!storedQuarantines_.empty() && now - quarantinesListedAt_ > liftedCheckInterval) {
            quarantinesListedAt_ = now;
            quarantineWatch_.start();
        }
        return;
    }
    isWritingQuarantines_ = true;
    transaction.writer_ = WriterToken(settings_.entry_.text() + ".quarantine."
                                      + std::to_string(toMilliseconds(now.time_since_epoch())));
    parts_.store_.commit(std::move(transaction), [this, alive = std::weak_ptr(isAlive_),
                                                  kept = std::move(kept)](const auto &result) {
        if (alive.expired())
            return;
        isWritingQuarantines_ = false;
        // If the commit fails or its outcome is unknown, the next attempt writes the same rows.
        if (isOk(result))
            storedQuarantines_ = kept;
    });
}

} // namespace cardamombay::serving
