// What ordinary callers and refused clients are told while the memory is used up.
#include "client_memory/client_attack.hpp"

#include <map>
#include <mutex>
#include <optional>

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::test;

namespace {

/// Clients of all kinds at the callers' port.
std::vector<support::Transmission> clientsOfAllKinds(const AttackedDeployment &attacked)
{
    std::vector<support::Transmission> result;
    for (std::size_t client = 0; client < attacked.scale().clients_; ++client) {
        result.push_back(transmissionOfKind(client % kindCount, "c-" + std::to_string(client)));
        result.back().port_ = attacked.ports().callers_;
    }
    return result;
}

} // namespace

Test(client_memory, ordinary_callers_are_answered_beside_all_kinds_of_clients)
{
    AttackedDeployment attacked(bodiesBeyondMemory);
    support::ClientCrowd crowd(clientsOfAllKinds(attacked));
    for (int i = 0; i < 40; ++i) {
        const auto result
            = attacked.deployment().call(0, "/once/1", "ordinary-" + std::to_string(i));
        cr_assert(result.status_ == 200 || result.status_ == 503, "%u", result.status_);
    }
    crowd.stop();
    cr_assert(attacked.isAlive());
    cr_assert(attacked.serves());
}

Test(client_memory, refused_bodies_have_not_run)
{
    AttackedDeployment attacked(bodiesBeyondMemory);
    std::mutex mutex;
    std::map<std::string, std::uint32_t> statuses;
    std::vector<std::thread> clients;
    for (std::size_t client = 0; client < attacked.scale().clients_; ++client) {
        clients.emplace_back([&, client] {
            for (int i = 0; i < 4; ++i) {
                const auto id = std::to_string(client) + "-" + std::to_string(i);
                auto transmission = sizedBody(id, 16, true);
                transmission.port_ = attacked.ports().callers_;
                const auto status = support::statusOf(transmission);
                const std::lock_guard lock(mutex);
                statuses[id] = status;
            }
        });
    }
    for (auto &client : clients)
        client.join();
    const auto report = attacked.deployment().report();
    const std::map<std::string, int> runs(report.runs_.begin(), report.runs_.end());
    std::size_t refused = 0;
    for (const auto &[id, status] : statuses) {
        const auto found = runs.find(id);
        const int count = found == runs.end() ? 0 : found->second;
        cr_assert_leq(count, 1, "%s", id.c_str());
        if (status == 503 || status == 408) {
            cr_assert_eq(count, 0, "%s was refused and ran", id.c_str());
            ++refused;
        }
    }
    cr_assert_gt(refused, 0);
}

Test(client_memory, refusals_are_counted_and_logged_with_their_inputs)
{
    AttackedDeployment attacked(bodiesBeyondMemory);
    (void)attacked.attack(attacked.ports().callers_, [](std::size_t client) {
        return transmissionOfKind(4, "c-" + std::to_string(client));
    });
    const auto lines = attacked.deployment().logLinesContaining(0, "event=input-refused");
    cr_assert_not(lines.empty());
    for (const auto *name : {" bytes=", " bound=", " connections=", " refused=",
                             " caller=127.0.0.1", " held=", " silent-ms="})
        cr_assert(lines.front().find(name) != std::string::npos, "%s", name);
    const auto metrics
        = support::Caller({"127.0.0.1", attacked.ports().metrics_}).fetch("/metrics");
    cr_assert(metrics.body_.find("cardamombay_input_refused_total 0\n") == std::string::npos);
    cr_assert(metrics.body_.find("cardamombay_input_refused_total ") != std::string::npos);
}
