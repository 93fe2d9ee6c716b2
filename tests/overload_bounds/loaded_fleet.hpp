/// \file
/// \brief Entry VMs that share groups while callers ask for less and for more than the groups can
/// do.
#pragma once

#include "serving/overload_callers.hpp"
#include "support/node_fleet.hpp"

#include <cstdio>
#include <deque>
#include <vector>

#include <criterion/criterion.h>

namespace cardamombay::overload_fleet {

using namespace cardamombay::serving;
using namespace cardamombay::support;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::string_view oneEvent = "id: 1\ndata: a\n\n";
constexpr Duration step = milliseconds(4);
constexpr Duration goal = milliseconds(300);
/// With four slots, as elsewhere, a slot that is free until the next sweep or digest is a tenth of
/// a group's capacity.
constexpr std::size_t slots = 24;
/// Time of one answer: the slots times 22.5 ms of a full group's time each, as in the profile.
constexpr Duration answerTime = milliseconds(540);
constexpr Duration firstEvent = milliseconds(60);
constexpr Duration eventInterval = milliseconds(40);

/// What became of the callers of one rank.
struct Outcome
{
    std::size_t asked_ = 0;
    std::size_t inGoal_ = 0;
    std::size_t refused_ = 0;
};

class LoadedFleet
{
public:
    LoadedFleet(std::size_t entries, std::size_t groups, std::uint64_t seed)
        : fleet_(entries, 3, entries > 16 ? 1 : 0, seed)
        , groups_(groups)
        , seen_(entries, 0)
        , random_(seed)
    {
        for (std::size_t i = 0; i < groups; ++i)
            fleet_.listGroup("g-" + std::to_string(i));
        fleet_.configure(1, {"key"});
        fleet_.start();
        fleet_.pass(seconds(4));
        for (std::size_t i = 0; i < entries; ++i) {
            auto &gateway = fleet_.node(i).gateway_;
            auto configuration = withRanks(gateway.routes()->configuration());
            configuration.services_.front().engine_->slots_ = slots;
            gateway.setRoutes(std::make_shared<RouteTable>(std::move(configuration)));
        }
    }

    /// \brief Requests per second that the groups can answer.
    [[nodiscard]] double capacity() const
    {
        return static_cast<double>(groups_ * slots) / toSeconds(answerTime);
    }

    /// \brief Callers ask for \p load times the capacity: a fifth with rank 0, the others with
    /// ranks 4 and 7.
    void run(Duration time, double load)
    {
        for (Duration passed{}; passed < time; passed += step) {
            due_ += capacity() * load * toSeconds(step);
            for (; due_ >= 1; due_ -= 1)
                ask();
            play();
            fleet_.pass(step);
            observe();
        }
    }

    /// \brief Like run(), and records the outcomes of the callers that arrive in this time.
    void measure(Duration time, double load)
    {
        isMeasuring_ = true;
        run(time, load);
        isMeasuring_ = false;
        run(seconds(2), load);
    }

    [[nodiscard]] double refusedForLoad()
    {
        double result = 0;
        for (std::size_t i = 0; i < fleet_.size(); ++i)
            result += fleet_.node(i).metrics_.refusedForLoad_.value();
        return result;
    }

    NodeFleet fleet_;
    std::map<std::string, Outcome> outcomes_; ///< By path.

private:
    struct Waiting
    {
        std::string path_;
        TimePoint since_;
        std::shared_ptr<CallerView> view_;
    };
    struct Running
    {
        std::shared_ptr<FakeCall> call_;
        TimePoint next_;
        TimePoint end_;
    };
    struct Group
    {
        std::vector<Running> running_;
        std::deque<std::shared_ptr<FakeCall>> queue_;
    };

    void ask()
    {
        const double draw = random_.unit();
        const std::string path = draw < 0.2 ? "/stream/" : draw < 0.6 ? "/batch/" : "/bulk/";
        const auto number = std::to_string(++asked_);
        auto &node = fleet_.node(random_.below(fleet_.size()));
        const auto view = askRanked(node.gateway_, {path + number, "r-" + number, "key"});
        if (!isMeasuring_)
            return;
        ++outcomes_[path].asked_;
        waiting_.push_back({path, fleet_.clock_.now(), view});
    }

    void play()
    {
        for (std::size_t i = 0; i < fleet_.size(); ++i) {
            auto &calls = fleet_.node(i).upstream_.calls_;
            for (; seen_[i] < calls.size(); ++seen_[i]) {
                auto &call = calls[seen_[i]];
                if (!call->isDropped() && call->connect())
                    byGroup_[call->field("endpoint")].queue_.push_back(call);
            }
        }
        for (auto &[name, group] : byGroup_)
            play(group);
    }

    void play(Group &group)
    {
        const auto now = fleet_.clock_.now();
        for (auto &one : group.running_) {
            if (one.call_->isDropped() || now < one.next_)
                continue;
            if (now >= one.end_)
                one.call_->end(oneEvent);
            else
                one.call_->data(oneEvent);
            one.next_ += eventInterval;
        }
        std::erase_if(group.running_, [](const auto &one) { return one.call_->isDropped(); });
        while (group.running_.size() < slots && !group.queue_.empty()) {
            auto call = std::move(group.queue_.front());
            group.queue_.pop_front();
            if (call->isDropped())
                continue;
            call->sealedHead();
            group.running_.push_back({std::move(call), now + firstEvent, now + answerTime});
        }
    }

    void observe()
    {
        const auto now = fleet_.clock_.now();
        std::erase_if(waiting_, [&](const Waiting &one) {
            auto &outcome = outcomes_[one.path_];
            if (one.view_->answer_)
                ++outcome.refused_;
            else if (!one.view_->streamed_.empty())
                outcome.inGoal_ += now - one.since_ <= goal ? 1 : 0;
            else
                return now - one.since_ > seconds(2);
            return true;
        });
    }

    std::size_t groups_;
    std::vector<std::size_t> seen_; ///< Calls of each entry VM that groups have received.
    std::map<std::string, Group> byGroup_;
    std::vector<Waiting> waiting_;
    bool isMeasuring_ = false;
    double due_ = 0;
    std::size_t asked_ = 0;
    Random random_;
};

inline void print(const LoadedFleet &bench, std::size_t entries, double load, double used)
{
    std::printf("%zu entry VMs, %g times the capacity: %.3f used in goal", entries, load, used);
    for (const auto &[path, one] : bench.outcomes_)
        std::printf("; %s asked %zu in goal %zu refused %zu", path.c_str(), one.asked_, one.inGoal_,
                    one.refused_);
    std::printf("\n");
}

inline double usedCapacity(const LoadedFleet &bench, Duration time)
{
    std::size_t inGoal = 0;
    for (const auto &[path, one] : bench.outcomes_)
        inGoal += one.inGoal_;
    return static_cast<double>(inGoal) / (bench.capacity() * toSeconds(time));
}

inline void overloaded(std::size_t entries, std::size_t groups)
{
    constexpr double load = 2;
    LoadedFleet bench(entries, groups, 7);
    bench.run(seconds(3), load);
    bench.measure(seconds(3), load);
    const auto used = usedCapacity(bench, seconds(3));
    print(bench, entries, load, used);
    cr_expect_geq(used, 0.95);
    cr_expect_eq(bench.outcomes_["/stream/"].refused_, 0);
}

inline void underload(std::size_t entries, std::size_t groups)
{
    constexpr double load = 0.8;
    LoadedFleet bench(entries, groups, 7);
    bench.measure(seconds(4), load);
    print(bench, entries, load, usedCapacity(bench, seconds(4)));
    cr_expect_eq(bench.refusedForLoad(), 0);
}

} // namespace cardamombay::overload_fleet
