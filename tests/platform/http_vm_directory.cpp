#include "platform_fixture.hpp"
#include "support/platform_protocol.hpp"

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

/// Answers every request with one body.
class CannedHttp final : public net::HttpClient
{
public:
    std::string body_;
    std::string target_;

    void send(net::HttpRequest request, std::function<void(net::HttpResult)> done) override
    {
        target_ = request.target_;
        done(net::HttpResponse{200, request.fields_, body_});
    }
};

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

Test(http_vm_directory, unchanged_list_comes_from_memory_with_its_new_age)
{
    const std::vector<VmRecord> vms{engine("vm-1"), plain("vm-2")};
    const std::string whole = support::encodeVms(vms, milliseconds(1));
    const std::string tag = whole.substr(whole.find("\"tag\":\"") + 7);
    CannedHttp http;
    HttpVmDirectory directory(http, {});
    std::vector<VmList> lists;
    const auto take = [&](const Result<VmList> &list) { lists.push_back(valueOf(list)); };

    http.body_ = whole;
    directory.list(take);
    http.body_
        = R"({"age_ms":2500,"unchanged":true,"tag":")" + tag.substr(0, tag.find('"')) + "\"}";
    directory.list(take);

    cr_assert_eq(http.target_, "/v1/vms?unless=" + tag.substr(0, tag.find('"')));
    cr_assert(lists.back().vms_ == vms);
    cr_assert(lists.back().age_ == milliseconds(2500));
}

Test(http_vm_directory, changed_list_is_sent_whole_to_a_client_with_the_old_one)
{
    PlatformFixture fixture;
    fixture.standin_.setVms({engine("vm-1")});
    const auto before = fixture.list();
    const auto same = fixture.list();
    fixture.standin_.setVms({engine("vm-1", VmStatus::Leaving)});

    const auto after = fixture.list();

    cr_assert(valueOf(same).vms_ == valueOf(before).vms_);
    cr_assert(valueOf(after).vms_.front().status_ == VmStatus::Leaving);
}

Test(http_vm_directory, unchanged_since_an_unknown_list_is_refused)
{
    CannedHttp http;
    HttpVmDirectory directory(http, {});
    http.body_ = R"({"age_ms":1,"unchanged":true,"tag":"7"})";
    bool isRefused = false;

    directory.list(
        [&](const Result<VmList> &list) { isRefused = isError<MalformedMessage>(list); });

    cr_assert(isRefused);
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
