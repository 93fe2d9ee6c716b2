#include "cooldown_simulation.hpp"

#include <algorithm>
#include <cstdio>
#include <utility>

namespace cardamombay::endpoint_cooldowns {

using namespace serving;
using namespace support;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Duration settling = seconds(4);
constexpr Duration step = milliseconds(10);
constexpr Duration firstEventAfter = milliseconds(40);
constexpr Duration betweenEvents = milliseconds(50);

/// Requests in flight when a group refuses are not counted.
constexpr Duration inFlightAllowance = milliseconds(500);
/// Stricter internal target.
constexpr Duration reactionTime = milliseconds(100);

std::size_t zonesOf(std::size_t entries)
{
    return entries > 100 ? 5 : 3;
}

} // namespace

CooldownSimulation::CooldownSimulation(Scenario scenario, std::uint64_t seed)
    : fleet_(scenario.entries_, zonesOf(scenario.entries_), scenario.entries_ > 16 ? 2 : 0, seed)
    , scenario_(std::move(scenario))
    , random_(seed)
    , scanned_(scenario_.entries_)
{
    fleet_.faults_.lossShare_ = scenario_.lossShare_;
    for (std::size_t i = 0; i < scenario_.groups_; ++i) {
        const auto head = "head-" + std::to_string(i);
        byHead_.emplace(head, i);
        groups_.push_back({.head_ = head});
        fleet_.listGroup(head);
    }
    for (std::size_t i = 0; i < scenario_.limits_.size(); ++i)
        groups_.at(scenario_.groups_ - 1 - i).limit_ = scenario_.limits_[i];
    fleet_.configure(1, {"key"});
    fleet_.start();
    fleet_.pass(settling);
    for (std::size_t i = 0; i < scenario_.leaving_; ++i)
        groups_.at(scenario_.refusingGroups_ + i).leavesAt_ = now() + seconds(2 + 3 * i);
}

void CooldownSimulation::pass(Duration time)
{
    for (const auto end = now() + time; now() < end;) {
        if (fault_)
            fault_();
        startOutages();
        ask(step);
        fleet_.pass(step);
        takeCalls();
        for (auto &group : groups_)
            answer(group);
    }
}

/// Starts outages at random times, so that those of different groups overlap.
void CooldownSimulation::startOutages()
{
    for (std::size_t i = 0; i < scenario_.refusingGroups_; ++i) {
        auto &group = groups_[i];
        const bool isFirst = group.outageFrom_ == TimePoint{};
        if (!isFirst && now() < group.outageUntil_ + scenario_.cooldown_ + seconds(2))
            continue;
        const auto pause = milliseconds(500 + random_.below(2500));
        group.outageFrom_ = now() + pause;
        group.outageUntil_ = group.outageFrom_ + scenario_.outage_;
        group.isUsedAgain_ = false;
    }
}

void CooldownSimulation::ask(Duration step)
{
    for (due_ += scenario_.asked_ * toSeconds(step); due_ >= 1; due_ -= 1) {
        const auto path = "/stream/" + std::to_string(results_.asked_++);
        auto &node = fleet_.node(random_.below(fleet_.size()));
        callers_.push_back(askAt(node.gateway_, path, "m", "key"));
    }
}

void CooldownSimulation::takeCalls()
{
    for (std::size_t i = 0; i < fleet_.size(); ++i) {
        auto &calls = fleet_.node(i).upstream_.calls_;
        for (; scanned_[i] < calls.size(); ++scanned_[i]) {
            const auto call = calls[scanned_[i]];
            if (call->isDropped() || !call->connect())
                continue;
            arrived(groups_[byHead_.at(call->field("endpoint"))], i, call);
        }
    }
}

void CooldownSimulation::arrived(Group &group, std::size_t entry,
                                 const std::shared_ptr<FakeCall> &call)
{
    ++results_.sends_;
    recordRequest(group, entry);
    const bool isMeant = scenario_.refusesOnly_ == 0 || entry < scenario_.refusesOnly_;
    const bool isInOutage = isMeant && now() >= group.outageFrom_ && now() < group.outageUntil_;
    if (!isInOutage) {
        group.answers_.push_back({call, now() + firstEventAfter, 0});
        return;
    }
    group.refusals_[entry].push_back({now(), now() + scenario_.cooldown_, 0});
    call->head(503,
               {{"refused", "1"}, {"cooldown", std::to_string(toSeconds(scenario_.cooldown_))}});
}

/// Counts a request against all refusals that the entry VM received from the group.
void CooldownSimulation::recordRequest(Group &group, std::size_t entry)
{
    bool isAfterGrace = false;
    for (auto &refusal : group.refusals_[entry]) {
        if (now() >= refusal.until_)
            continue;
        const auto since = now() - refusal.at_;
        if (since > inFlightAllowance)
            results_.maxRequestsInCooldown_
                = std::max(results_.maxRequestsInCooldown_, ++refusal.count_);
        isAfterGrace = isAfterGrace || since > reactionTime;
        results_.latestAfterRefusal_ = std::max(results_.latestAfterRefusal_, since);
    }
    results_.afterGrace_ += isAfterGrace ? 1 : 0;
    const auto said = group.leavingSeenAt_.find(entry);
    if (said != group.leavingSeenAt_.end())
        results_.latestLeaving_ = std::max(results_.latestLeaving_, now() - said->second);
}

std::vector<net::HttpField> CooldownSimulation::head(const Group &group) const
{
    std::vector<net::HttpField> fields{{"seal", "s"}};
    if (group.limit_ >= 0)
        fields.push_back({"limit", std::to_string(group.limit_)});
    if (now() >= group.leavesAt_)
        fields.push_back({"leaving", "1"});
    return fields;
}

/// Streams last for some time, so that some continue while their group refuses other requests.
void CooldownSimulation::answer(Group &group)
{
    const auto events
        = static_cast<std::size_t>(scenario_.streamSeconds_ / toSeconds(betweenEvents));
    for (auto &answer : group.answers_) {
        if (answer.at_ > now() || answer.call_->isDropped())
            continue;
        if (answer.events_ == 0) {
            answer.call_->head(200, head(group));
            if (now() >= group.leavesAt_) {
                for (std::size_t i = 0; i < fleet_.size(); ++i) {
                    const auto &calls = fleet_.node(i).upstream_.calls_;
                    if (std::find(calls.begin(), calls.end(), answer.call_) != calls.end())
                        group.leavingSeenAt_.try_emplace(i, now());
                }
            }
            if (now() >= group.outageUntil_ && !std::exchange(group.isUsedAgain_, true))
                results_.usedAgain_ = std::max(results_.usedAgain_, now() - group.outageUntil_);
        }
        if (answer.call_->isDropped())
            continue;
        answer.call_->data("id: " + std::to_string(++answer.events_) + "\ndata: x\n\n");
        answer.at_ = now() + betweenEvents;
        if (answer.events_ >= events && !answer.call_->isDropped())
            answer.call_->end("");
    }
    std::erase_if(group.answers_, [](const Answer &one) { return one.call_->isDropped(); });
}

Results CooldownSimulation::run()
{
    pass(scenario_.duration_);
    for (const auto &caller : callers_) {
        if (caller->isFinished_ || caller->streamHead_)
            ++results_.served_;
        else if (caller->status() == 503)
            ++results_.refused_;
    }
    return results_;
}

void print(const char *name, const Scenario &scenario, const Results &results)
{
    std::printf(
        "%s, %zu entry VMs, cooldown %.1f s: most in one cooldown %zu, %zu later than 100 "
        "ms, the last after %.2f s; served %.4f, refused %.4f of %zu, %.3f sends each; used "
        "again after %.2f s; leaving: the last after %.2f s\n",
        name, scenario.entries_, toSeconds(scenario.cooldown_), results.maxRequestsInCooldown_,
        results.afterGrace_, toSeconds(results.latestAfterRefusal_),
        static_cast<double>(results.served_) / static_cast<double>(results.asked_),
        static_cast<double>(results.refused_) / static_cast<double>(results.asked_), results.asked_,
        static_cast<double>(results.sends_) / static_cast<double>(results.asked_),
        toSeconds(results.usedAgain_), toSeconds(results.latestLeaving_));
}

} // namespace cardamombay::endpoint_cooldowns
