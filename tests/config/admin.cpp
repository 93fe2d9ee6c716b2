#include <cardamombay/admin/admin_ack.hpp>
#include <cardamombay/admin/admin_config.hpp>
#include <cardamombay/admin/admin_event.hpp>
#include <cardamombay/admin/admin_group.hpp>
#include <cardamombay/admin/admin_status.hpp>
#include <cardamombay/admin/admin_vm.hpp>

#include <criterion/criterion.h>

using namespace cardamombay;
using std::chrono::milliseconds;
using std::chrono::seconds;

Test(admin, status_survives_its_wire_form)
{
    admin::AdminStatus status;
    status.entry_ = EntryId("e1");
    status.state_ = "serving";
    status.incarnation_ = Incarnation{1ULL << 60};
    status.uptime_ = seconds(9);
    status.isStoreReachable_ = true;
    status.members_ = {{EntryId("e2"),
                        {"127.0.0.1", 99},
                        AvailabilityZone("lac"),
                        RegionName("tunis"),
                        membership::MemberStatus::Suspect,
                        ConfigVersion{4},
                        true}};
    status.services_ = {{ServiceName("lm"), 8, 7, 6}};
    status.warning_ = "no site is called lac";

    const auto decoded = admin::decodeStatus(admin::encode(status));

    cr_assert(isOk(decoded));
    cr_assert(valueOf(decoded) == status);
}

Test(admin, groups_survive_their_wire_form)
{
    admin::AdminGroup group;
    group.id_ = GroupId("lm/lac/0");
    group.generation_ = Generation{3};
    group.members_ = {{VmId("vm-1"), true, milliseconds(40), "ready"}};
    group.whyNot_ = "member vm-2 is missing";
    const std::vector<admin::AdminGroup> groups{group};

    const auto decoded = admin::decodeGroups(admin::encode(groups));

    cr_assert(isOk(decoded));
    cr_assert(valueOf(decoded) == groups);
}

Test(admin, vms_survive_their_wire_form)
{
    admin::AdminVm vm;
    vm.id_ = VmId("vm-1");
    vm.age_ = milliseconds(7);
    vm.isLeaving_ = true;
    const std::vector<admin::AdminVm> vms{vm};

    const auto decoded = admin::decodeVms(admin::encode(vms));

    cr_assert(isOk(decoded));
    cr_assert(valueOf(decoded) == vms);
}

Test(admin, event_carries_the_age_of_its_record)
{
    const TimePoint now{seconds(100)};
    const DecisionRecord record{TimePoint{seconds(97)}, "group-formed", "lm/lac/0", "replace",
                                {{"missing", "vm-1"}},  {{"wait", 4.5}}};

    const auto events = admin::eventsOf(std::vector{record}, now);
    const auto decoded = admin::decodeEvents(admin::encode(events));

    cr_assert(isOk(decoded));
    cr_assert(valueOf(decoded) == events);
    cr_assert(events.front().age_ == seconds(3));
}

Test(admin, configuration_survives_its_wire_form)
{
    const admin::AdminConfig config{ConfigVersion{4}, "ab", "in-force", ConfigVersion{5}, "why"};

    const auto decoded = admin::decodeConfig(admin::encode(config));

    cr_assert(isOk(decoded));
    cr_assert(valueOf(decoded) == config);
}

Test(admin, wrong_answers_are_malformed)
{
    cr_assert(isError<MalformedMessage>(admin::decodeStatus("[]")));
    cr_assert(isError<MalformedMessage>(admin::decodeGroups("{\"groups\":[1]}")));
    cr_assert(isError<MalformedMessage>(admin::decodeAck("{\"done\":1}")));
}
