#include "cooldown_play.hpp"

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

/// What is on its way to a group when it refuses is not counted.
constexpr Duration underWay = milliseconds(500);
/// Our own aim in place of that.
constexpr Duration aim = milliseconds(100);

std::size_t zonesOf(std::size_t entries)
{
    return entries > 100 ? 5 : 3;
}

} // namespace

CooldownPlay::CooldownPlay(Scene scene, std::uint64_t seed)
    : fleet_(scene.entries_, zonesOf(scene.entries_), scene.entries_ > 16 ? 2 : 0, seed)
    , scene_(std::move(scene))
    , random_(seed)
    , scanned_(scene_.entries_)
{
    fleet_.faults_.lossShare_ = scene_.lossShare_;
    for (std::size_t i = 0; i < scene_.groups_; ++i) {
        const auto head = "head-" + std::to_string(i);
        byHead_.emplace(head, i);
        groups_.push_back({.head_ = head});
        fleet_.listGroup(head);
    }
    for (std::size_t i = 0; i < scene_.limits_.size(); ++i)
        groups_.at(scene_.groups_ - 1 - i).limit_ = scene_.limits_[i];
    fleet_.configure(1, {"key"});
    fleet_.start();
    fleet_.pass(settling);
    for (std::size_t i = 0; i < scene_.leaving_; ++i)
        groups_.at(scene_.cooling_ + i).leavesAt_ = now() + seconds(2 + 3 * i);
}

void CooldownPlay::pass(Duration time)
{
    for (const auto end = now() + time; now() < end;) {
        if (fault_)
            fault_();
        beginNeeds();
        ask(step);
        fleet_.pass(step);
        takeCalls();
        for (auto &group : groups_)
            answer(group);
    }
}

/// Each of the groups in turn, so that their needs overlap.
void CooldownPlay::beginNeeds()
{
    for (std::size_t i = 0; i < scene_.cooling_; ++i) {
        auto &group = groups_[i];
        const bool isFirst = group.needFrom_ == TimePoint{};
        if (!isFirst && now() < group.needUntil_ + scene_.cooldown_ + seconds(2))
            continue;
        const auto pause = milliseconds(500 + random_.below(2500));
        group.needFrom_ = now() + pause;
        group.needUntil_ = group.needFrom_ + scene_.need_;
        group.isUsedAgain_ = false;
    }
}

void CooldownPlay::ask(Duration step)
{
    for (due_ += scene_.asked_ * toSeconds(step); due_ >= 1; due_ -= 1) {
        const auto path = "/stream/" + std::to_string(seen_.asked_++);
        auto &node = fleet_.node(random_.below(fleet_.size()));
        callers_.push_back(askAt(node.gateway_, path, "m", "key"));
    }
}

void CooldownPlay::takeCalls()
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

void CooldownPlay::arrived(Group &group, std::size_t entry, const std::shared_ptr<FakeCall> &call)
{
    ++seen_.sends_;
    note(group, entry);
    const bool isMeant = scene_.refusesOnly_ == 0 || entry < scene_.refusesOnly_;
    const bool isInNeed = isMeant && now() >= group.needFrom_ && now() < group.needUntil_;
    if (!isInNeed) {
        group.answers_.push_back({call, now() + firstEventAfter, 0});
        return;
    }
    group.told_[entry].push_back({now(), now() + scene_.cooldown_, 0});
    call->head(503, {{"refused", "1"}, {"cooldown", std::to_string(toSeconds(scene_.cooldown_))}});
}

/// Counts a request against all that the entry VM was told by the group.
void CooldownPlay::note(Group &group, std::size_t entry)
{
    bool isInSpite = false;
    for (auto &told : group.told_[entry]) {
        if (now() >= told.until_)
            continue;
        const auto since = now() - told.at_;
        if (since > underWay)
            seen_.mostInCooldown_ = std::max(seen_.mostInCooldown_, ++told.count_);
        isInSpite = isInSpite || since > aim;
        seen_.latest_ = std::max(seen_.latest_, since);
    }
    seen_.inSpite_ += isInSpite ? 1 : 0;
    const auto said = group.saidLeaving_.find(entry);
    if (said != group.saidLeaving_.end())
        seen_.latestLeaving_ = std::max(seen_.latestLeaving_, now() - said->second);
}

std::vector<net::HttpField> CooldownPlay::head(const Group &group) const
{
    std::vector<net::HttpField> fields{{"seal", "s"}};
    if (group.limit_ >= 0)
        fields.push_back({"limit", std::to_string(group.limit_)});
    if (now() >= group.leavesAt_)
        fields.push_back({"leaving", "1"});
    return fields;
}

/// Streams last for a while, so that some go on while their group refuses others.
void CooldownPlay::answer(Group &group)
{
    const auto events = static_cast<std::size_t>(scene_.streamSeconds_ / toSeconds(betweenEvents));
    for (auto &answer : group.answers_) {
        if (answer.at_ > now() || answer.call_->isDropped())
            continue;
        if (answer.events_ == 0) {
            answer.call_->head(200, head(group));
            if (now() >= group.leavesAt_) {
                for (std::size_t i = 0; i < fleet_.size(); ++i) {
                    const auto &calls = fleet_.node(i).upstream_.calls_;
                    if (std::find(calls.begin(), calls.end(), answer.call_) != calls.end())
                        group.saidLeaving_.try_emplace(i, now());
                }
            }
            if (now() >= group.needUntil_ && !std::exchange(group.isUsedAgain_, true))
                seen_.usedAgain_ = std::max(seen_.usedAgain_, now() - group.needUntil_);
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

Seen CooldownPlay::run()
{
    pass(scene_.length_);
    for (const auto &caller : callers_) {
        if (caller->isFinished_ || caller->streamHead_)
            ++seen_.served_;
        else if (caller->status() == 503)
            ++seen_.refused_;
    }
    return seen_;
}

void print(const char *name, const Scene &scene, const Seen &seen)
{
    std::printf(
        "%s, %zu entry VMs, cooldown %.1f s: most in one cooldown %zu, %zu later than 100 "
        "ms, the last after %.2f s; served %.4f, refused %.4f of %zu, %.3f sends each; used "
        "again after %.2f s; leaving: the last after %.2f s\n",
        name, scene.entries_, toSeconds(scene.cooldown_), seen.mostInCooldown_, seen.inSpite_,
        toSeconds(seen.latest_),
        static_cast<double>(seen.served_) / static_cast<double>(seen.asked_),
        static_cast<double>(seen.refused_) / static_cast<double>(seen.asked_), seen.asked_,
        static_cast<double>(seen.sends_) / static_cast<double>(seen.asked_),
        toSeconds(seen.usedAgain_), toSeconds(seen.latestLeaving_));
}

} // namespace cardamombay::endpoint_cooldowns
