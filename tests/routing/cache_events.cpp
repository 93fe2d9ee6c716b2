#include "routing/fleet.hpp"

#include <cardamombay/routing/router.hpp>

#include <string>

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::routing;
using fixture::Fleet;
using std::chrono::seconds;

namespace {

/// \brief A router that knows the fleet, and a way to send it cache events of one group.
struct CacheEventHarness
{
    CacheEventHarness() { (void)choose(); }

    RouteDecision choose()
    {
        return router_.choose(fleet_.snapshot_,
                              {.service_ = ServiceName("lm"), .prefixHashes_ = hashes_},
                              fleet_.now_);
    }

    void sendEvent(std::uint64_t sequence, CacheEventKind kind,
                   std::vector<std::uint64_t> blocks = {})
    {
        router_.cacheChanged(
            {fleet_.group(holder_).group_, Generation{}, sequence, kind, std::move(blocks)},
            fleet_.now_);
    }

    [[nodiscard]] bool prefersHolder()
    {
        const auto decision = choose();
        return decision.reason_ == RouteReason::PrefixAffinity
               && decision.group_ == &fleet_.group(holder_);
    }

    Fleet fleet_{20};
    Router router_{1};
    std::vector<std::uint64_t> hashes_ = prefixHashes(std::string(4096, 'p'));
    std::size_t holder_ = 11;
};

} // namespace

Test(cache_events, stored_blocks_attract_requests_until_they_are_removed)
{
    CacheEventHarness harness;
    harness.sendEvent(1, CacheEventKind::Stored, harness.hashes_);
    cr_assert(harness.prefersHolder());

    harness.sendEvent(2, CacheEventKind::Removed, harness.hashes_);

    cr_assert_not(harness.prefersHolder());
}

Test(cache_events, event_gap_invalidates_older_entries)
{
    CacheEventHarness harness;
    harness.sendEvent(1, CacheEventKind::Stored, harness.hashes_);
    harness.fleet_.now_ += seconds(30);

    harness.sendEvent(3, CacheEventKind::Stored, {1, 2, 3});

    cr_assert_not(harness.prefersHolder());
}

Test(cache_events, event_gap_keeps_recent_entries)
{
    CacheEventHarness harness;
    harness.sendEvent(1, CacheEventKind::Stored, harness.hashes_);
    harness.fleet_.now_ += seconds(2);

    harness.sendEvent(3, CacheEventKind::Stored, {1, 2, 3});

    cr_assert(harness.prefersHolder());
}

Test(cache_events, out_of_order_event_is_ignored)
{
    CacheEventHarness harness;
    harness.sendEvent(5, CacheEventKind::Stored, harness.hashes_);

    harness.sendEvent(4, CacheEventKind::Removed, harness.hashes_);

    cr_assert(harness.prefersHolder());
}

Test(cache_events, cleared_cache_invalidates_all_entries)
{
    CacheEventHarness harness;
    harness.sendEvent(1, CacheEventKind::Stored, harness.hashes_);

    harness.sendEvent(2, CacheEventKind::Cleared);

    cr_assert_not(harness.prefersHolder());
}
