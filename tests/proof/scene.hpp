/// \file
/// \brief A deployment of real processes with a proxy in every link and callers at work.
#pragma once

#include "proof/links.hpp"
#include "support/caller_crowd.hpp"
#include "support/fleet.hpp"

#include <cardamombay/endpoint/endpoint_state.hpp>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cardamombay::test {

/// \brief One serving group of two engine VMs.
struct ServingPair
{
    support::FleetNode *leader_ = nullptr; ///< Rank 0: takes the group's requests.
    support::FleetNode *fellow_ = nullptr;
};

/// \brief Sleeps; for the length of a fault or of an observation, never to wait for an effect.
void hold(Duration time);

/// \brief Starts everything; the test breaks it, and finish() compares the ledgers.
class Scene
{
public:
    static constexpr std::uint64_t seed = 23;
    static constexpr std::uint32_t callers = 4;

    /// \param plan what to start; its links all get proxies.
    /// \param mix what the callers ask for.
    explicit Scene(support::FleetPlan plan, support::CrowdMix mix = {});

    [[nodiscard]] support::Fleet &fleet() { return *fleet_; }
    [[nodiscard]] Links &links() { return links_; }
    [[nodiscard]] support::ProcessHarness &harness() { return fleet_->harness(); }
    [[nodiscard]] std::uint64_t successes() const { return crowd_->successes(); }

    /// \brief Fails the test unless callers have further successes.
    void expectServing();

    /// \brief Waits until callers succeed, stops them and compares what they were told with what
    /// endpoints ran; fails the test on any finding.
    std::vector<support::CallRecord> finish();

    /// \name What the parts say
    /// \{
    [[nodiscard]] std::vector<ServingPair> servingPairs();
    [[nodiscard]] std::size_t runsAt(const support::FleetNode &node) const;
    [[nodiscard]] std::map<std::string, endpoint::EndpointState> engineStates();
    /// \brief Rows of a table by key.
    [[nodiscard]] std::map<std::string, std::string> rows(std::string_view table);
    [[nodiscard]] std::string leaseHolder(const std::string &domain);
    [[nodiscard]] std::uint64_t configVersion(std::size_t entry); ///< Zero if none is in force.
    /// \}

    /// \brief Empty if every running engine has just the assignment that the tables give it, no
    /// VM is in two groups and \p groups groups serve; else what differs.
    [[nodiscard]] std::string disagreement(std::size_t groups);

    /// \brief Fails the test unless disagreement() ends.
    void expectAgreement(std::size_t groups);

    /// \brief Logs of all entry VMs without the lines of single requests.
    [[nodiscard]] std::string decisions();

private:
    [[nodiscard]] std::string groupDisagreement(std::size_t groups);
    [[nodiscard]] std::optional<endpoint::EndpointState> stateOf(const support::FleetNode &node);

    Links links_;
    std::unique_ptr<support::Fleet> fleet_;
    std::unique_ptr<support::CallerCrowd> crowd_;
};

} // namespace cardamombay::test
