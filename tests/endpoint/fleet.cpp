#include "support/fleet.hpp"

#include <cardamombay/endpoint/endpoint_codec.hpp>

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::support;

namespace {

endpoint::EndpointOrder assignment(const FleetNode &engine)
{
    endpoint::EndpointOrder order;
    order.id_ = OrderId{"o-1"};
    order.vm_ = VmId{engine.name_};
    order.fencing_ = Epoch{1};
    order.assignment_ = {GroupId{"lm/zone-a/0"}, Generation{1}, 0};
    order.model_ = {ModelName{"m"}, ModelVersion{"1"}, {}};
    order.members_ = {order.vm_};
    return order;
}

} // namespace

Test(fleet, engine_loads_through_the_weight_store_and_restarts_empty_at_its_address)
{
    Fleet fleet(PROGRAM_FOLDER, SOURCE_FOLDER, {});
    fleet.startPlatform();
    FleetNode &engine = fleet.engines()[0];
    Caller caller(engine.address_);
    const auto isInPhase = [&](std::string_view phase) {
        return caller.fetch("/v1/state").body_.find(phase) != std::string::npos;
    };

    caller.post("/v1/orders", encodeOrder(assignment(engine)));
    cr_assert(waitUntil([&] { return isInPhase("\"ready\""); }));
    fleet.restart(engine);

    cr_assert(waitUntil([&] { return isInPhase("\"idle\""); }));
}

Test(fleet, entry_vms_start_with_the_generated_settings_and_end_on_a_signal)
{
    FleetPlan plan;
    plan.settings_ = "[drain]\nannounce = \"0s\"\n";
    Fleet fleet(PROGRAM_FOLDER, SOURCE_FOLDER, plan);
    fleet.startPlatform();

    fleet.startEntries();
    for (const auto &entry : fleet.entries())
        fleet.harness().terminate(entry.process_);

    for (const auto &entry : fleet.entries())
        cr_assert_eq(fleet.harness().waitForExit(entry.process_), 0, "%s",
                     fleet.entryLogs().c_str());
}
