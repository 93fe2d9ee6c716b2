/// \file
/// \brief Random interleavings of faults over whole control nodes, with the promises checked.
#pragma once

#include "support/promise_check.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace cardamombay::support {

/// \brief One seed's run.
class ControlExplorer
{
public:
    explicit ControlExplorer(std::uint64_t seed);

    /// \brief Forms all groups, then takes \p steps random steps with checks, heals and waits.
    /// \returns the first violation with its step and the faults before it, or nothing.
    [[nodiscard]] std::string explore(std::size_t steps);

    [[nodiscard]] ControlFleet &fleet() { return fleet_; }
    [[nodiscard]] Duration recoveryTime() const { return recoveryTime_; }

private:
    void act();
    void actOnEntry();
    void actOnVm();
    void actOnDomain();
    void actOnStore();
    void actOnNodeLinks();
    void partition();
    void applyConfiguration();
    [[nodiscard]] std::string finish();
    [[nodiscard]] std::string describe() const;
    [[nodiscard]] std::string describe(const VmId &vm) const;
    [[nodiscard]] std::size_t below(std::size_t bound) { return random_.below(bound); }
    void note(std::string fault);

    Random random_;
    ControlFleet fleet_;
    std::vector<std::string> trail_;
    PromiseCheck promises_;
    bool isWithoutHealing_; ///< Faults pile up until the end.
    std::uint64_t notes_ = 0;
    Duration recoveryTime_{};
};

} // namespace cardamombay::support
