#include "platform_fixture.hpp"

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::platform;
using std::chrono::milliseconds;
using support::PlatformFixture;

namespace {

VmRecord engine(std::string id, VmStatus status = VmStatus::Live)
{
    return {VmId(std::move(id)),     VmRole::Engine,        status, {"127.0.0.1", 9000},
            AvailabilityZone("lac"), FabricDomain("lac-1"), {}};
}

VmRecord plain(std::string id)
{
    return {VmId(std::move(id)),       VmRole::Plain,           VmStatus::Live,
            {"127.0.0.1", 9001},       AvailabilityZone("lac"), {},
            ServiceName("booking-app")};
}

} // namespace

Test(http_vm_directory, list_has_every_line_as_the_platform_gave_it)
{
    PlatformFixture fixture;
    const std::vector<VmRecord> vms{engine("vm-1"), engine("vm-2", VmStatus::Leaving),
                                    plain("vm-3")};
    fixture.standin_.setVms(vms);

    const auto list = fixture.list();

    cr_assert(valueOf(list).vms_ == vms);
}

Test(http_vm_directory, change_shows_after_the_lag_and_the_age_says_so)
{
    PlatformFixture fixture({.vmListLag_ = milliseconds(300)});
    fixture.standin_.setVms({engine("vm-1")});
    fixture.standin_.setVms({engine("vm-1", VmStatus::Leaving)});

    const auto early = fixture.list();
    fixture.context_.restart();
    fixture.context_.run_for(milliseconds(350));
    const auto late = fixture.list();

    cr_assert(valueOf(early).vms_.front().status_ == VmStatus::Live);
    cr_assert(valueOf(early).age_ == milliseconds(300));
    cr_assert(valueOf(late).vms_.front().status_ == VmStatus::Leaving);
}

Test(http_vm_directory, store_outage_gives_no_list)
{
    PlatformFixture fixture;
    fixture.standin_.setVms({engine("vm-1")});
    fixture.standin_.setFaults({.isDown_ = true});

    cr_assert(isError<StoreUnavailable>(fixture.list()));
}

Test(http_vm_directory, garbled_list_is_refused_whole)
{
    PlatformFixture fixture;
    fixture.standin_.setVms({engine("vm-1")});
    fixture.standin_.setFaults({.garblesAnswers_ = true});

    cr_assert(isError<MalformedMessage>(fixture.list()));
}
