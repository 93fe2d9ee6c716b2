/// \file
/// \brief The fault matrix: what is checked for each fault in each state of each chart.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cardamombay::faults {

/// \brief The check of one fault in the states of one chart.
struct Check
{
    std::string injection_;                                    ///< What happens to the object.
    std::function<std::string(const std::string &state)> run_; ///< Gives what is wrong, or nothing.
};

/// \brief All checks of one chart.
struct ChartChecks
{
    std::string chart_;
    std::string assertion_;               ///< What must hold during and after the fault.
    std::map<std::string, Check> checks_; ///< By fault.
};

/// \brief The faults; every chart has a check for each.
[[nodiscard]] const std::vector<std::string> &faultNames();

/// \name The checks by what they run against
/// \{
[[nodiscard]] std::vector<ChartChecks> controlChecks(); ///< Whole control nodes.
[[nodiscard]] ChartChecks attemptChecks();
[[nodiscard]] ChartChecks claimChecks();
[[nodiscard]] ChartChecks daemonChecks();
/// \}

/// \brief Joins injections with a bench that reaches a state, takes a fault and settles.
/// \details A bench has `bool reach(const std::string &state)` and `std::string settle()`.
template<typename Bench>
void addChecks(ChartChecks &chart,
               const std::map<std::string, std::pair<std::string, void (Bench::*)()>> &injections,
               const std::function<std::unique_ptr<Bench>()> &make)
{
    for (const auto &[fault, injection] : injections) {
        const auto run = [make, inject = injection.second](const std::string &state) {
            const auto bench = make();
            if (!bench->reach(state))
                return std::string("the state was not reached");
            ((*bench).*inject)();
            return bench->settle();
        };
        chart.checks_[fault] = {injection.first, run};
    }
}

} // namespace cardamombay::faults
