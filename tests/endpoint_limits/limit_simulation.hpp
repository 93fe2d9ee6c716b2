/// \file
/// \brief Whole entry VMs before groups that limit the rate of requests, on the paused clock.
/// \details Each group names its limit in the head of every answer. Callers ask for more than all
/// groups together take, so that what a group gets shows both how well its limit is kept and how
/// much of it is used.
#pragma once

#include "support/node_fleet.hpp"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cardamombay::endpoint_limits {

/// \brief What is played.
struct Scene
{
    std::size_t entries_ = 7;
    std::vector<double> limits_; ///< Of each group, requests a second.
    Duration coldFor_{};         ///< Groups are cold from the start and name no limit.
    bool isRestarted_ = false;   ///< Callers come as soon as the entry VMs have started.
    double asked_ = 1.5;         ///< Callers' requests for each one that the groups take.
    double callersAtShare_ = 1;  ///< Share of the entry VMs that callers come to.
    double lossShare_ = 0.01;    ///< Of the datagrams between entry VMs.
    Duration length_ = std::chrono::seconds(20); ///< Of the time that is looked at.
};

/// \brief What one group got.
struct Got
{
    double limit_ = 0;
    double mostOverAim_ = 0;  ///< Most requests in ten seconds, as a share of the aim.
    double mostInSecond_ = 0; ///< Most requests in a second, as a share of the limit.
    double mostOverRule_ = 0; ///< Most requests in four seconds, as a share of what is allowed.
    double used_ = 0;         ///< Requests, as a share of what the limit allows in the whole time.
};

/// \brief A fleet, its groups and its callers.
class LimitPlay
{
public:
    LimitPlay(Scene scene, std::uint64_t seed);

    /// \brief Callers come and groups answer for \p time.
    void pass(Duration time);

    /// \brief From now on a group names another limit; a negative one stands for none.
    void setLimit(std::size_t group, double perSecond);

    /// \brief What groups got since the last call, or since they had named their limits for the
    /// time in which all entry VMs must know.
    [[nodiscard]] std::vector<Got> take();

    /// \brief Plays the scene from the first answers on.
    [[nodiscard]] std::vector<Got> run();

    /// \brief Callers that have no answer and no refusal yet.
    [[nodiscard]] std::size_t waiting() const;

    /// \brief How long callers have come.
    [[nodiscard]] Duration time() const { return now() - startedAt_; }

    /// \brief Sends that entry VMs have asked owners for.
    [[nodiscard]] double reservations();

    /// \brief An entry VM that owns a group's limit in its own eyes.
    [[nodiscard]] std::size_t owner(std::size_t group);

    support::NodeFleet fleet_;
    std::function<void()> fault_; ///< Called at each step.

private:
    struct Answer
    {
        std::shared_ptr<support::FakeCall> call_;
        TimePoint at_;
    };
    struct Group
    {
        std::string head_;
        double limit_ = 0;
        std::deque<Answer> answers_;
        std::vector<TimePoint> sends_;
    };

    [[nodiscard]] TimePoint now() const { return fleet_.clock_.now(); }
    void ask(Duration step);
    void takeCalls();
    void answer(Group &group);
    [[nodiscard]] Got got(const Group &group) const;

    Scene scene_;
    Random random_;
    std::vector<Group> groups_;
    std::map<std::string, std::size_t> byHead_;
    std::vector<std::size_t> scanned_;
    std::vector<std::shared_ptr<support::CallerView>> callers_;
    TimePoint startedAt_;
    TimePoint since_;
    double due_ = 0;
    std::size_t asked_ = 0;
};

/// \brief Prints what groups got.
void print(const char *name, const Scene &scene, const std::vector<Got> &all);

} // namespace cardamombay::endpoint_limits
