/// \file
/// \brief Whole entry VMs before groups that ask to be left alone, on the paused clock.
/// \details Groups refuse everything for a while, each at its own times, and name in each refusal
/// how long they want nothing from the entry VM that they refuse. Others may name limits or leave
/// meanwhile.
#pragma once

#include "support/node_fleet.hpp"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cardamombay::endpoint_cooldowns {

/// \brief What is played.
struct Scene
{
    std::size_t entries_ = 7;
    std::size_t groups_ = 12;
    std::size_t cooling_ = 4;    ///< Groups that refuse at times.
    Duration cooldown_{};        ///< That they name.
    Duration need_{};            ///< For which they refuse everything.
    double asked_ = 300;         ///< Requests a second, over all entry VMs.
    double streamSeconds_ = 0.8; ///< For which an answer lasts.
    double lossShare_ = 0.01;    ///< Of the datagrams between entry VMs.
    Duration length_ = std::chrono::seconds(20);
    std::vector<double> limits_{}; ///< Of the last groups, requests a second.
    std::size_t refusesOnly_ = 0;  ///< So many entry VMs are refused; 0: all.
    std::size_t leaving_ = 0;      ///< Groups that say at a moment that they leave.
};

/// \brief What was seen.
struct Seen
{
    std::size_t mostInCooldown_ = 0; ///< Requests of one entry VM that the users' rule counts.
    Duration latest_{};       ///< After a refusal, the last request that came in spite of it.
    std::size_t inSpite_ = 0; ///< Requests later than a tenth of a second after a refusal.
    std::size_t asked_ = 0;
    std::size_t served_ = 0;
    std::size_t refused_ = 0;
    std::size_t sends_ = 0;
    Duration latestLeaving_{}; ///< The same after an answer that said that a group leaves.
    Duration usedAgain_{};     ///< From the end of the need to an answer of the group, at the most.
};

/// \brief A fleet, its groups and its callers.
class CooldownPlay
{
public:
    CooldownPlay(Scene scene, std::uint64_t seed);

    /// \brief Callers come and groups answer for \p time.
    void pass(Duration time);

    /// \brief Plays the scene.
    [[nodiscard]] Seen run();

    support::NodeFleet fleet_;
    std::function<void()> fault_; ///< Called at each step.

private:
    struct Answer
    {
        std::shared_ptr<support::FakeCall> call_;
        TimePoint at_;
        std::size_t events_ = 0;
    };
    /// What an entry VM was told by a group.
    struct Told
    {
        TimePoint at_{};
        TimePoint until_{};
        std::size_t count_ = 0; ///< Requests since, as the rule counts them.
    };
    struct Group
    {
        std::string head_;
        double limit_ = -1;
        TimePoint needFrom_{};
        TimePoint needUntil_{};
        TimePoint leavesAt_ = TimePoint::max();
        bool isUsedAgain_ = true;
        std::vector<Answer> answers_{};
        std::map<std::size_t, std::vector<Told>> told_{}; ///< By entry VM.
        std::map<std::size_t, TimePoint> saidLeaving_{};  ///< By entry VM.
    };

    [[nodiscard]] TimePoint now() const { return fleet_.clock_.now(); }
    void ask(Duration step);
    void takeCalls();
    void arrived(Group &group, std::size_t entry, const std::shared_ptr<support::FakeCall> &call);
    void note(Group &group, std::size_t entry);
    void answer(Group &group);
    [[nodiscard]] std::vector<net::HttpField> head(const Group &group) const;
    void beginNeeds();

    Scene scene_;
    Random random_;
    std::vector<Group> groups_;
    std::map<std::string, std::size_t> byHead_;
    std::vector<std::size_t> scanned_;
    std::vector<std::shared_ptr<support::CallerView>> callers_;
    double due_ = 0;
    Seen seen_;
};

/// \brief Prints what was seen.
void print(const char *name, const Scene &scene, const Seen &seen);

} // namespace cardamombay::endpoint_cooldowns
