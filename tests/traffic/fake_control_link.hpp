/// \file
/// \brief Control link whose snapshot and claims are set by the test.
#pragma once

#include <cardamombay/traffic/control_link.hpp>
#include <cardamombay/traffic/snapshot_holder.hpp>

#include <mutex>
#include <utility>
#include <vector>

namespace cardamombay::test {

/// \brief Publishes what the test gives it and answers claims inline with claimAnswer_.
class FakeControlLink final : public traffic::ControlLink
{
public:
    [[nodiscard]] routing::RoutingSnapshotPtr snapshot() const override
    {
        return holder_.snapshot();
    }
    void postTraffic(traffic::TrafficReport report) override
    {
        const std::lock_guard lock(mutex_);
        lastReport_ = std::move(report);
    }
    void claim(traffic::ClaimRequest request, traffic::ClaimCallback done) override
    {
        traffic::ClaimAnswer answer;
        {
            const std::lock_guard lock(mutex_);
            claims_.push_back(std::move(request));
            if (holdsClaims_) {
                heldClaim_ = std::move(done);
                return;
            }
            answer = claimAnswer_;
        }
        done(answer);
    }
    void completeClaim(traffic::ClaimCompletion completion) override
    {
        const std::lock_guard lock(mutex_);
        completions_.push_back(std::move(completion));
    }

    void recordDecision(const DecisionRecord &record) override
    {
        const std::lock_guard lock(mutex_);
        decisions_.push_back(record);
    }

    traffic::SnapshotHolder holder_;
    std::mutex mutex_;
    traffic::TrafficReport lastReport_;
    /// Unless the test says otherwise a grant has no time limit.
    traffic::ClaimAnswer claimAnswer_{traffic::ClaimVerdict::Unavailable, {}, {}, TimePoint::max()};
    bool holdsClaims_ = false; ///< The test answers through heldClaim_.
    traffic::ClaimCallback heldClaim_;
    std::vector<traffic::ClaimRequest> claims_;
    std::vector<traffic::ClaimCompletion> completions_;
    std::vector<DecisionRecord> decisions_;
};

} // namespace cardamombay::test
