// Real gateways before clients whose bodies, taken together, exceed the memory of the machine.
#include "client_memory/client_attack.hpp"

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::test;
using std::chrono::milliseconds;
using support::Transmission;

namespace {

std::string idOf(std::size_t client)
{
    return "c-" + std::to_string(client);
}

bool isWhole(std::size_t client)
{
    return client % wholeEvery == 0;
}

void checkUsage(AttackedDeployment &attacked, const PeakUsage &peak)
{
    std::printf("resident %zu, unread %zu, descriptors %zu\n", peak.residentBytes_,
                peak.unreadBytes_, peak.descriptors_);
    cr_assert(attacked.isAlive());
    cr_assert_leq(peak.bytes(), attacked.scale().machineMegabytes_ * megabyte);
    cr_assert_leq(peak.descriptors_, attacked.scale().descriptors_);
    cr_assert(attacked.serves());
}

Transmission cutShort(std::size_t client)
{
    return sizedBody(idOf(client), 16, isWhole(client));
}

} // namespace

Test(client_memory, announced_bodies_over_the_limit_stay_within_memory)
{
    AttackedDeployment attacked(inputBeyondMemory);
    const auto peak = attacked.attack(attacked.ports().callers_, [](std::size_t client) {
        return Transmission{0,
                            lengthHead(idOf(client), 1024 * megabyte),
                            std::string(256 * kilobyte, 'x'),
                            4096,
                            "",
                            milliseconds(0)};
    });
    checkUsage(attacked, peak);
}

Test(client_memory, unannounced_bodies_over_the_limit_stay_within_memory)
{
    AttackedDeployment attacked(bodiesBeyondMemory);
    const auto peak = attacked.attack(attacked.ports().callers_, [](std::size_t client) {
        return Transmission{
            0, chunkedHead(idOf(client)), chunkOf(256 * kilobyte), 4096, "", milliseconds(0)};
    });
    checkUsage(attacked, peak);
}

Test(client_memory, bytes_beyond_the_announced_length_stay_within_memory)
{
    AttackedDeployment attacked(inputBeyondMemory);
    const auto peak = attacked.attack(attacked.ports().callers_, [](std::size_t client) {
        return Transmission{0,
                            lengthHead(idOf(client), 10),
                            std::string(256 * kilobyte, 'x'),
                            4096,
                            "",
                            milliseconds(0)};
    });
    checkUsage(attacked, peak);
}

Test(client_memory, whole_legal_bodies_at_once_stay_within_memory)
{
    AttackedDeployment attacked(bodiesBeyondMemory);
    const auto peak = attacked.attack(attacked.ports().callers_, [](std::size_t client) {
        return sizedBody(idOf(client), 1, true);
    });
    checkUsage(attacked, peak);
}

Test(client_memory, legal_bodies_sent_at_once_but_for_their_end_stay_within_memory)
{
    AttackedDeployment attacked(bodiesBeyondMemory);
    const auto peak = attacked.attack(attacked.ports().callers_, [](std::size_t client) {
        return sizedBody(idOf(client), 1, isWhole(client));
    });
    checkUsage(attacked, peak);
}

Test(client_memory, legal_bodies_sent_in_pieces_but_for_their_end_stay_within_memory)
{
    AttackedDeployment attacked(bodiesBeyondMemory);
    const auto peak = attacked.attack(attacked.ports().callers_, [](std::size_t client) {
        auto result = sizedBody(idOf(client), 256, isWhole(client));
        result.pause_ = milliseconds(2);
        return result;
    });
    checkUsage(attacked, peak);
}

Test(client_memory, large_chunks_but_for_the_last_stay_within_memory)
{
    AttackedDeployment attacked(bodiesBeyondMemory);
    const auto peak = attacked.attack(attacked.ports().callers_, [](std::size_t client) {
        return chunkedBody(idOf(client), 128 * kilobyte, isWhole(client));
    });
    checkUsage(attacked, peak);
}

Test(client_memory, small_chunks_but_for_the_last_stay_within_memory)
{
    AttackedDeployment attacked(bodiesBeyondMemory);
    const auto peak = attacked.attack(attacked.ports().callers_, [](std::size_t client) {
        return chunkedBody(idOf(client), 1, isWhole(client));
    });
    checkUsage(attacked, peak);
}

Test(client_memory, bodies_at_the_port_for_peers_stay_within_memory)
{
    AttackedDeployment attacked(bodiesBeyondMemory);
    checkUsage(attacked, attacked.attack(attacked.ports().digests_, cutShort));
}

Test(client_memory, bodies_at_the_readiness_port_stay_within_memory)
{
    AttackedDeployment attacked(bodiesBeyondMemory);
    checkUsage(attacked, attacked.attack(attacked.ports().readiness_, cutShort));
}

Test(client_memory, bodies_at_the_metrics_port_stay_within_memory)
{
    AttackedDeployment attacked(bodiesBeyondMemory);
    checkUsage(attacked, attacked.attack(attacked.ports().metrics_, cutShort));
}

Test(client_memory, largest_legal_body_is_served_in_calm)
{
    const AttackedDeployment calm(bodiesBeyondMemory);
    const auto statusOf = [&calm](support::Transmission transmission) {
        transmission.port_ = calm.ports().callers_;
        return support::statusOf(transmission);
    };
    cr_assert_eq(statusOf(sizedBody("sized", 1, true)), 200);
    cr_assert_eq(statusOf(sizedBody("pieces", 256, true)), 200);
    cr_assert_eq(statusOf(chunkedBody("large-chunks", 128 * kilobyte, true)), 200);
    cr_assert_eq(statusOf(chunkedBody("small-chunks", 1, true)), 200);
}

Test(client_memory, largest_body_of_the_users_is_served_on_their_smallest_machine)
{
    constexpr std::uint32_t smallestMachine = 112;
    constexpr std::size_t usersLargestBody = 4 * megabyte;
    const Deployment deployment(Links::None, smallestMachine, usersLargestBody);
    auto transmission = sizedBody("largest", 64, true, usersLargestBody);
    transmission.port_ = deployment.ports(0).callers_;
    cr_assert_eq(support::statusOf(transmission), 200);
}
