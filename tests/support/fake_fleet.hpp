/// \file
/// \brief Several Membership instances connected by a simulated network.
#pragma once

#include "support/fake_peers.hpp"

#include <cardamombay/membership/membership.hpp>

#include <memory>
#include <string>
#include <vector>

namespace cardamombay::support {

/// \brief Numbers of entry VMs, availability zones and regions.
struct FleetShape
{
    std::size_t nodes_ = 7;
    std::size_t zones_ = 3;
    std::size_t regions_ = 1;
    std::string charts_ = "charts"; ///< Folder of the state machine definitions.
};

/// \brief Loads the state machine of member.toml from \p folder; aborts if that fails.
[[nodiscard]] membership::MemberProgramPtr memberProgram(const std::string &folder);

/// \brief Entry VMs e000, e001 and so on; all join through the first two.
class Fleet
{
public:
    explicit Fleet(FleetShape shape, std::uint64_t seed = 1,
                   membership::MembershipSettings settings = {});

    [[nodiscard]] static EntryId id(std::size_t index);
    [[nodiscard]] membership::Membership &node(std::size_t index) { return *nodes_[index]; }
    [[nodiscard]] std::size_t size() const { return nodes_.size(); }

    /// \brief Restarts a node with the given incarnation and no state.
    void restart(std::size_t index, Incarnation incarnation);
    void kill(std::size_t index, bool isSilent = true);
    void pause(std::size_t index) { network_.pause(id(index)); }
    void resume(std::size_t index) { network_.resume(id(index)); }

    /// \brief Advances the simulated clock.
    void run(Duration time) { clock_.advance(time); }

    /// \brief The status of \p whom as \p viewer sees it; Left if unknown.
    [[nodiscard]] membership::MemberStatus status(std::size_t viewer, std::size_t whom) const;
    /// \brief True if every node of \p viewers sees every node of \p whom as \p expected.
    [[nodiscard]] bool allSee(membership::MemberStatus expected,
                              const std::vector<std::size_t> &viewers,
                              const std::vector<std::size_t> &whom) const;
    [[nodiscard]] std::vector<std::size_t> all() const;

    ManualClock clock_;
    FakePeerNetwork network_;

private:
    [[nodiscard]] membership::MemberEntry entry(std::size_t index, Incarnation incarnation) const;
    void add(std::size_t index, Incarnation incarnation);

    FleetShape shape_;
    std::uint64_t seed_;
    membership::MembershipSettings settings_;
    membership::MemberProgramPtr program_;
    std::vector<std::unique_ptr<membership::Membership>> nodes_;
};

} // namespace cardamombay::support
