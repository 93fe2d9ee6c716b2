#include <cardamombay/traffic/snapshot_holder.hpp>

#include <criterion/criterion.h>

using namespace cardamombay;

Test(snapshot_holder, is_empty_and_not_null_before_the_first_publication)
{
    const traffic::SnapshotHolder holder;

    cr_assert_not_null(holder.snapshot().get());
    cr_assert(holder.snapshot()->services_.empty());
}

Test(snapshot_holder, reader_keeps_its_snapshot_when_a_newer_one_is_published)
{
    traffic::SnapshotHolder holder;
    const auto before = holder.snapshot();
    auto next = std::make_shared<routing::RoutingSnapshot>();
    next->sequence_ = 7;

    holder.publish(next);

    cr_assert_eq(before->sequence_, 0u);
    cr_assert_eq(holder.snapshot()->sequence_, 7u);
}
