#include "platform_fixture.hpp"

#include <criterion/criterion.h>

using namespace cardamombay;
using std::chrono::milliseconds;
using support::PlatformFixture;

Test(http_object_store, fetch_returns_what_was_put)
{
    PlatformFixture fixture;
    std::string content = "binary";
    content += '\0';
    content += "\xff text";

    cr_assert(isOk(fixture.put("sha256/ab 1", content)));

    cr_assert(valueOf(fixture.fetch("sha256/ab 1")) == content);
}

Test(http_object_store, absent_object_is_not_found)
{
    PlatformFixture fixture;

    cr_assert(isError<NotFound>(fixture.fetch("absent")));
}

Test(http_object_store, silent_store_leaves_a_put_unknown)
{
    PlatformFixture fixture({}, milliseconds(50));
    fixture.standin_.setFaults({.isSilent_ = true});

    cr_assert(isError<StoreAnswerLost>(fixture.put("name", "content")));
    cr_assert(isError<StoreUnavailable>(fixture.fetch("name")));
}

Test(http_object_store, object_past_the_size_limit_is_refused)
{
    PlatformFixture fixture;

    const auto result = fixture.put("big", std::string((std::size_t{8} << 20U) + 1, 'x'));

    cr_assert_not(isOk(result));
    cr_assert(isError<NotFound>(fixture.fetch("big")));
}
