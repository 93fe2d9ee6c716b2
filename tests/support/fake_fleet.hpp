/// \file
/// \brief A number of Membership objects on one fake network.
#pragma once

#include "support/fake_peers.hpp"

#include <cardamombay/membership/membership.hpp>

#include <memory>
#include <string>
#include <vector>

namespace cardamombay::support {

/// \brief How many entry VMs, in how many availability zones and regions.
struct FleetShape
{
    std::size_t nodes_ = 7;
    std::size_t zones_ = 3;
    std::size_t regions_ = 1;
    std::string charts_ = "charts"; ///< Folder of the state charts.
};

/// \brief The program of member.toml in \p folder.
[[nodiscard]] membership::MemberProgramPtr memberProgram(const std::string &folder);

/// \brief Entry VMs e000, e001 and so on; all join through the first.
class Fleet
{
public:
    explicit Fleet(FleetShape shape, std::uint64_t seed = 1,
                   membership::MembershipSettings settings = {});

    [[nodiscard]] static EntryId id(std::size_t index);
    [[nodiscard]] membership::Membership &node(std::size_t index) { return *nodes_[index]; }
    [[nodiscard]] std::size_t size() const { return nodes_.size(); }

    /// \brief Starts a node anew with the given incarnation.
    void restart(std::size_t index, Incarnation incarnation);
    void kill(std::size_t index, bool isSilent = true);
    void pause(std::size_t index) { network_.pause(id(index)); }
    void resume(std::size_t index) { network_.resume(id(index)); }

    /// \brief Lets time pass.
    void run(Duration time) { clock_.advance(time); }

    /// \brief The status of \p whom as \p viewer sees it; Left if unknown.
    [[nodiscard]] membership::MemberStatus status(std::size_t viewer, std::size_t whom) const;
    /// \brief True if every node of \p viewers sees every node of \p whom alive.
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
