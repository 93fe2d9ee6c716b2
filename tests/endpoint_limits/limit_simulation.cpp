#include "limit_simulation.hpp"

#include <algorithm>
#include <cstdio>
#include <utility>

namespace cardamombay::endpoint_limits {

using namespace serving;
using namespace support;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Duration settling = seconds(4);
constexpr Duration step = milliseconds(10);
constexpr Duration answerTime = milliseconds(40);

/// Time after which all entry VMs must know a newly announced limit.
constexpr Duration propagationTime = seconds(3);

constexpr Duration targetWindow = seconds(10);
constexpr double targetShare = 1.1;
constexpr double targetAllowance = 2;
constexpr Duration boundWindow = seconds(4);
constexpr double boundShare = 1.5;
constexpr double boundAllowance = 5;

std::size_t zonesOf(std::size_t entries)
{
    return entries > 100 ? 5 : 3;
}

std::size_t maxWithin(const std::vector<TimePoint> &sends, Duration window)
{
    std::size_t most = 0;
    for (std::size_t first = 0, last = 0; last < sends.size(); ++last) {
        while (sends[last] - sends[first] > window)
            ++first;
        most = std::max(most, last - first + 1);
    }
    return most;
}

double overShare(const std::vector<TimePoint> &sends, Duration window, double limit, double share,
                 double reserve)
{
    const auto allowed = share * limit * toSeconds(window) + reserve;
    return static_cast<double>(maxWithin(sends, window)) / allowed;
}

} // namespace

LimitSimulation::LimitSimulation(Scenario scenario, std::uint64_t seed)
    : fleet_(scenario.entries_, zonesOf(scenario.entries_), scenario.entries_ > 16 ? 2 : 0, seed)
    , scenario_(std::move(scenario))
    , random_(seed)
    , scanned_(scenario_.entries_)
{
    fleet_.faults_.lossShare_ = scenario_.lossShare_;
    for (const auto limit : scenario_.limits_) {
        const auto head = "head-" + std::to_string(groups_.size());
        byHead_.emplace(head, groups_.size());
        groups_.push_back({head, limit, {}, {}});
        fleet_.listGroup(head, "d", scenario_.coldFor_);
    }
    fleet_.configure(1, {"key"});
    fleet_.start();
    if (!scenario_.isRestarted_)
        fleet_.pass(settling);
    startedAt_ = now();
    since_ = now();
}

void LimitSimulation::pass(Duration time)
{
    for (const auto end = now() + time; now() < end;) {
        if (fault_)
            fault_();
        ask(step);
        fleet_.pass(step);
        takeCalls();
        for (auto &group : groups_)
            answer(group);
    }
}

void LimitSimulation::setLimit(std::size_t group, double perSecond)
{
    groups_.at(group).limit_ = perSecond;
}

void LimitSimulation::ask(Duration step)
{
    double rate = 0;
    for (const auto &group : groups_)
        rate += std::max(0.0, group.limit_) * scenario_.asked_;
    const auto reached
        = std::max<std::size_t>(1, static_cast<std::size_t>(static_cast<double>(fleet_.size())
                                                            * scenario_.reachedEntriesShare_));
    for (due_ += rate * toSeconds(step); due_ >= 1; due_ -= 1) {
        const auto path = "/stream/" + std::to_string(asked_++);
        auto &node = fleet_.node(random_.below(reached));
        callers_.push_back(askAt(node.gateway_, path, "m", "key"));
    }
}

void LimitSimulation::takeCalls()
{
    for (std::size_t i = 0; i < fleet_.size(); ++i) {
        auto &calls = fleet_.node(i).upstream_.calls_;
        for (; scanned_[i] < calls.size(); ++scanned_[i]) {
            const auto &call = calls[scanned_[i]];
            if (call->isDropped() || !call->connect())
                continue;
            auto &group = groups_[byHead_.at(call->field("endpoint"))];
            group.sends_.push_back(now());
            group.answers_.push_back({call, now() + answerTime});
        }
    }
}

void LimitSimulation::answer(Group &group)
{
    while (!group.answers_.empty() && group.answers_.front().at_ <= now()) {
        const auto call = group.answers_.front().call_;
        group.answers_.pop_front();
        if (call->isDropped())
            continue;
        std::vector<net::HttpField> fields{{"seal", "s"}};
        if (group.limit_ >= 0 && scenario_.coldFor_ == Duration::zero())
            fields.push_back({"limit", std::to_string(group.limit_)});
        call->head(200, std::move(fields));
        call->data("id: 1\ndata: x\n\n");
        call->end("");
    }
}

GroupResult LimitSimulation::groupResult(const Group &group) const
{
    GroupResult result;
    result.limit_ = group.limit_;
    result.maxOverTarget_
        = overShare(group.sends_, targetWindow, group.limit_, targetShare, targetAllowance);
    result.maxInSecond_ = overShare(group.sends_, seconds(1), group.limit_, 1, 0);
    result.maxOverBound_
        = overShare(group.sends_, boundWindow, group.limit_, boundShare, boundAllowance);
    const auto allowed = group.limit_ * toSeconds(now() - since_);
    result.used_ = static_cast<double>(group.sends_.size()) / std::max(1.0, allowed);
    return result;
}

std::vector<GroupResult> LimitSimulation::takeResults()
{
    std::vector<GroupResult> result;
    for (auto &group : groups_) {
        result.push_back(groupResult(group));
        group.sends_.clear();
    }
    since_ = now();
    return result;
}

std::vector<GroupResult> LimitSimulation::run()
{
    if (!scenario_.isRestarted_) {
        pass(propagationTime);
        (void)takeResults();
    }
    pass(scenario_.duration_);
    return takeResults();
}

std::size_t LimitSimulation::owner(std::size_t group)
{
    const EndpointIncarnation head{VmId(groups_.at(group).head_), 0};
    for (std::size_t i = 0; i < fleet_.size(); ++i) {
        if (fleet_.node(i).gateway_.reservations().owns(head))
            return i;
    }
    return fleet_.size();
}

double LimitSimulation::reservations()
{
    double result = 0;
    for (std::size_t i = 0; i < fleet_.size(); ++i)
        result += fleet_.node(i).metrics_.reservations_.value();
    return result;
}

std::size_t LimitSimulation::waiting() const
{
    return static_cast<std::size_t>(
        std::count_if(callers_.begin(), callers_.end(), [](const auto &caller) {
            return !caller->answer_ && !caller->isFinished_ && !caller->isAborted_;
        }));
}

void print(const char *name, const Scenario &scenario, const std::vector<GroupResult> &all)
{
    for (const auto &groupResult : all)
        std::printf("%s, %zu entry VMs, limit %g a second: most in 10 s %.2f of the aim, in 4 s "
                    "%.2f of what is allowed, used %.2f\n",
                    name, scenario.entries_, groupResult.limit_, groupResult.maxOverTarget_,
                    groupResult.maxOverBound_, groupResult.used_);
}

} // namespace cardamombay::endpoint_limits
