// Quarantines of requests that end endpoints, kept in the store so that they outlast a restart of
// all entry VMs: otherwise each restart would cost three endpoints again.
#include <cardamombay/serving/node.hpp>

#include "serving/log_events.hpp"

#include <cardamombay/log/log.hpp>

#include <utility>

namespace cardamombay::serving {

namespace {

/// Writes of one transaction; the store takes a hundred.
constexpr std::size_t mostWrites = 50;

/// Between two looks of the planner at what operators have lifted; a call each.
constexpr Duration liftedPeriod = std::chrono::seconds(30);

std::string textOf(const std::vector<EndpointIncarnation> &endpoints)
{
    std::string result = "ended:";
    for (const auto &endpoint : endpoints)
        result += ' ' + endpoint.text();
    return result;
}

} // namespace

/// The verdicts of a fleet that is restarted as a whole; later ones are told by peers.
void Node::readQuarantines()
{
    quarantineWatch_.setActive(false);
    if (settings_.isFirstStart_)
        quarantinesListedAt_ = parts_.clock_.now(); // There are none yet.
    else
        quarantineWatch_.start();
}

/// A row that is gone though its quarantine has not ended was deleted by an operator.
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
    for (const auto &request : keptQuarantines_) {
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
    keptQuarantines_ = std::move(listed);
}

/// The planner writes what it knows and the store does not hold, and deletes what has ended.
void Node::keepQuarantines(TimePoint now)
{
    if (isKeeping_ || quarantinesListedAt_ == TimePoint{})
        return;
    const auto inForce = parts_.gateway_.poisonPills().quarantined(now);
    platform::Transaction transaction;
    auto kept = keptQuarantines_;
    for (const auto &[request, endpoints] : inForce) {
        if (!kept.contains(request) && transaction.writes_.size() < mostWrites) {
            transaction.writes_.push_back({{quarantineTable, request.text()}, textOf(endpoints)});
            kept.insert(request);
        }
    }
    for (const auto &request : keptQuarantines_) {
        if (!inForce.contains(request) && transaction.writes_.size() < mostWrites) {
            transaction.writes_.push_back({{quarantineTable, request.text()}, std::nullopt});
            kept.erase(request);
        }
    }
    if (transaction.writes_.empty()) {
        if (!keptQuarantines_.empty() && now - quarantinesListedAt_ > liftedPeriod) {
            quarantinesListedAt_ = now;
            quarantineWatch_.start();
        }
        return;
    }
    isKeeping_ = true;
    transaction.writer_ = WriterToken(settings_.entry_.text() + ".quarantine."
                                      + std::to_string(toMilliseconds(now.time_since_epoch())));
    parts_.store_.commit(std::move(transaction), [this, alive = std::weak_ptr(isAlive_),
                                                  kept = std::move(kept)](const auto &result) {
        if (alive.expired())
            return;
        isKeeping_ = false;
        // Without an answer the same rows are written again.
        if (isOk(result))
            keptQuarantines_ = kept;
    });
}

} // namespace cardamombay::serving
