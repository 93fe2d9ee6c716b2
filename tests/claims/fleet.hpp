/// \file
/// \brief Claim registries of several entry VMs that share one fake platform.
#pragma once

#include <cardamombay/claims/claim_registry.hpp>
#include <cardamombay/core/manual_clock.hpp>

#include "support/fake_store.hpp"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cardamombay::claims {

/// \brief Liveness of the entry VMs as set by the test.
class FakeLiveness final : public EntryLiveness
{
public:
    std::set<EntryId> alive_;

    [[nodiscard]] bool isAlive(const EntryId &entry, Incarnation /*incarnation*/) const override
    {
        return alive_.count(entry) != 0;
    }
};

inline ClaimProgramPtr claimProgram()
{
    static const auto program
        = makeClaimProgram(valueOf(chart::ChartFolder(SOURCE_FOLDER "/charts").load("claim")));
    return valueOf(program);
}

/// \brief One entry VM.
struct Entry
{
    Entry(Clock &clock, support::FakePlatform &platform, const FakeLiveness &liveness,
          std::uint64_t number, ClaimPolicy policy = {}, BatchPolicy batches = {})
        : table_(platform)
        , objects_(platform)
        , random_(number)
        , registry_(std::make_unique<ClaimRegistry>(
              ClaimRegistry::Dependencies{clock, table_, objects_, random_, claimProgram(),
                                          EntryId("e" + std::to_string(number)), Incarnation(1)},
              policy, batches))
    {
        registry_->setLiveness(&liveness);
    }

    support::FakeTableStore table_;
    support::FakeObjectStore objects_;
    Random random_;
    std::unique_ptr<ClaimRegistry> registry_;
};

/// \brief Entry VMs e1, e2, ... with a shared clock and store.
struct Fleet
{
    explicit Fleet(std::size_t size = 2, ClaimPolicy policy = {}, BatchPolicy batches = {})
    {
        for (std::size_t i = 1; i <= size; ++i) {
            liveness_.alive_.insert(EntryId("e" + std::to_string(i)));
            entries_.push_back(
                std::make_unique<Entry>(clock_, platform_, liveness_, i, policy, batches));
            entries_.back()->registry_->setEntryCount(static_cast<std::uint32_t>(size));
        }
    }

    using Answer = std::optional<Result<ClaimAnswer>>;

    /// \brief Claims \p key at entry VM \p at; the answer is set when the clock is advanced.
    std::shared_ptr<Answer> claim(std::size_t at, const std::string &key,
                                  const std::string &request = "body")
    {
        auto answer = std::make_shared<Answer>();
        registry(at).claim({TeamName("wasata"), IdempotencyKey(key), request},
                           [answer](Result<ClaimAnswer> result) { *answer = std::move(result); });
        return answer;
    }

    ClaimRegistry &registry(std::size_t at) { return *entries_[at]->registry_; }
    [[nodiscard]] bool isAlive(std::size_t at) const { return entries_[at]->registry_ != nullptr; }
    support::StoreFaults &faults() { return platform_.faults_; }

    /// \brief Destroys the entry VM and its state; requests it has already sent still take effect.
    void kill(std::size_t at)
    {
        liveness_.alive_.erase(EntryId("e" + std::to_string(at + 1)));
        entries_[at]->registry_.reset();
    }

    ManualClock clock_;
    support::FakePlatform platform_{clock_};
    FakeLiveness liveness_;
    std::vector<std::unique_ptr<Entry>> entries_;
};

template<typename Kind>
bool holds(const std::shared_ptr<Fleet::Answer> &answer)
{
    return answer->has_value() && isOk(**answer) && std::holds_alternative<Kind>(valueOf(**answer));
}

template<typename Kind>
const Kind &contentOf(const std::shared_ptr<Fleet::Answer> &answer)
{
    return std::get<Kind>(valueOf(**answer));
}

inline bool isRefused(const std::shared_ptr<Fleet::Answer> &answer)
{
    return answer->has_value() && isError<StoreUnavailable>(**answer);
}

inline StoredOutcome ranWith(std::string body)
{
    return {outcomes::Outcome::Ran, true, 201, "application/json", std::move(body)};
}

} // namespace cardamombay::claims
