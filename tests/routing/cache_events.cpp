#include "routing/fleet.hpp"

#include <cardamombay/routing/router.hpp>

#include <string>

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::routing;
using fixture::Fleet;
using std::chrono::seconds;

namespace {

/// \brief A router that has seen the fleet, and events of one group numbered from 1.
struct Scene
{
    Scene() { (void)choose(); }

    RouteDecision choose()
    {
        return router_.choose(fleet_.snapshot_,
                              {.service_ = ServiceName("lm"), .prefixHashes_ = hashes_},
                              fleet_.now_);
    }

    void tell(std::uint64_t sequence, CacheEventKind kind, std::vector<std::uint64_t> blocks = {})
    {
        router_.cacheChanged(
            {fleet_.group(holder_).group_, Generation{}, sequence, kind, std::move(blocks)},
            fleet_.now_);
    }

    [[nodiscard]] bool knowsHolder()
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

Test(cache_events, stored_blocks_draw_requests_and_removed_ones_do_not)
{
    Scene scene;
    scene.tell(1, CacheEventKind::Stored, scene.hashes_);
    cr_assert(scene.knowsHolder());

    scene.tell(2, CacheEventKind::Removed, scene.hashes_);

    cr_assert_not(scene.knowsHolder());
}

Test(cache_events, gap_ends_trust_in_what_was_known_before)
{
    Scene scene;
    scene.tell(1, CacheEventKind::Stored, scene.hashes_);
    scene.fleet_.now_ += seconds(30);

    scene.tell(3, CacheEventKind::Stored, {1, 2, 3});

    cr_assert_not(scene.knowsHolder());
}

Test(cache_events, gap_keeps_what_was_confirmed_just_now)
{
    Scene scene;
    scene.tell(1, CacheEventKind::Stored, scene.hashes_);
    scene.fleet_.now_ += seconds(2);

    scene.tell(3, CacheEventKind::Stored, {1, 2, 3});

    cr_assert(scene.knowsHolder());
}

Test(cache_events, late_event_changes_nothing)
{
    Scene scene;
    scene.tell(5, CacheEventKind::Stored, scene.hashes_);

    scene.tell(4, CacheEventKind::Removed, scene.hashes_);

    cr_assert(scene.knowsHolder());
}

Test(cache_events, cleared_cache_is_forgotten)
{
    Scene scene;
    scene.tell(1, CacheEventKind::Stored, scene.hashes_);

    scene.tell(2, CacheEventKind::Cleared);

    cr_assert_not(scene.knowsHolder());
}
