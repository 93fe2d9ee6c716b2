// Whole control nodes under random faults; CARDAMOMBAY_SEEDS="first count steps" runs others.
#include "recovery/explorer.hpp"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <sstream>

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::support;

namespace {

struct Plan
{
    std::uint64_t first_ = 1;
    std::uint64_t count_ = 12;
    std::size_t steps_ = 250;
};

Plan plan()
{
    Plan plan;
    if (const char *text = std::getenv("CARDAMOMBAY_SEEDS"))
        std::istringstream(text) >> plan.first_ >> plan.count_ >> plan.steps_;
    return plan;
}

} // namespace

Test(exploration, promises_hold_under_random_faults, .timeout = 3600)
{
    const Plan chosen = plan();
    std::size_t failed = 0;
    Duration slowest{};
    for (auto seed = chosen.first_; seed < chosen.first_ + chosen.count_; ++seed) {
        ControlExplorer explorer(seed);
        const auto fault = explorer.explore(chosen.steps_);
        slowest = std::max(slowest, explorer.recoveryTime());
        if (!fault.empty()) {
            std::printf("seed %lu: %s\n", seed, fault.c_str());
            ++failed;
        }
    }
    std::printf("%lu seeds of %zu steps, all replicas serve at most %lld ms after healing\n",
                chosen.count_, chosen.steps_, static_cast<long long>(toMilliseconds(slowest)));
    cr_assert_eq(failed, 0, "%zu of %lu seeds failed", failed, chosen.count_);
}
