// Fetching the configuration from other entry VMs.
#include "config/sample.hpp"

#include <cardamombay/config/config_record.hpp>
#include <cardamombay/control/config_peers.hpp>
#include <cardamombay/core/manual_clock.hpp>

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <criterion/criterion.h>

using namespace cardamombay;

namespace {

std::string recordOf(std::uint64_t version)
{
    const std::string content = config::encode(support::sampleSources(std::to_string(version)));
    return config::encode(config::ConfigRecord{
        ConfigVersion{version}, config::contentHash(content), {}, {}, content});
}

Result<std::string> unreachable()
{
    return Error(PeerUnreachable{EntryId("any"), "test"});
}

/// Peers by port; the test triggers each answer.
class FakeConfigPeers final : public control::ConfigPeers
{
public:
    void fetch(Address address, Callback<std::string> done) override
    {
        pending_.emplace(address.port_, std::move(done));
    }

    void answer(std::uint16_t port, const Result<std::string> &result)
    {
        const auto done = std::move(pending_.at(port));
        pending_.erase(port);
        done(result);
    }

    std::map<std::uint16_t, Callback<std::string>> pending_;
};

struct Fetch
{
    explicit Fetch(std::uint16_t peers, ConfigVersion atLeast = {})
    {
        std::vector<Address> addresses;
        for (std::uint16_t port = 1; port <= peers; ++port)
            addresses.push_back({"10.0.0.1", port});
        control::fetchHighestVersion(peers_, clock_, addresses, atLeast,
                                     [this](auto result) { result_ = std::move(result); });
    }

    ManualClock clock_;
    FakeConfigPeers peers_;
    std::optional<Result<std::string>> result_;
};

membership::MemberEntry memberWith(std::uint16_t port, std::uint64_t version)
{
    membership::MemberEntry member;
    member.id_ = EntryId("entry-" + std::to_string(port));
    member.address_ = {"10.0.0.1", port};
    member.configVersion_ = ConfigVersion{version};
    return member;
}

} // namespace

Test(config_peers, highest_version_among_the_answers_is_returned)
{
    Fetch fetch(3);

    fetch.peers_.answer(1, recordOf(4));
    fetch.peers_.answer(2, recordOf(6));
    cr_assert_not(fetch.result_);
    fetch.peers_.answer(3, unreachable());

    cr_assert(isOk(*fetch.result_));
    cr_assert_eq(valueOf(*fetch.result_), recordOf(6));
}

Test(config_peers, answer_with_the_requested_version_completes_the_query)
{
    Fetch fetch(3, ConfigVersion{6});

    fetch.peers_.answer(1, recordOf(5));
    cr_assert_not(fetch.result_);
    fetch.peers_.answer(2, recordOf(6));

    cr_assert_eq(valueOf(*fetch.result_), recordOf(6));
    fetch.peers_.answer(3, recordOf(7));
    cr_assert_eq(valueOf(*fetch.result_), recordOf(6));
}

Test(config_peers, peers_without_a_configuration_result_in_an_error)
{
    Fetch fetch(2);

    fetch.peers_.answer(1, Error(NotFound{"configuration"}));
    fetch.peers_.answer(2, std::string("{}"));

    cr_assert(isError<PeerUnreachable>(*fetch.result_));
}

Test(config_peers, no_peer_results_in_a_deferred_error)
{
    Fetch fetch(0);
    cr_assert_not(fetch.result_);

    fetch.clock_.runDue();

    cr_assert(isError<PeerUnreachable>(*fetch.result_));
}

Test(config_peers, three_peers_with_the_highest_versions_are_selected)
{
    std::vector<membership::MemberEntry> alive;
    for (std::uint16_t port = 1; port <= 20; ++port)
        alive.push_back(memberWith(port, port < 18 ? 1 : port));

    const auto addresses = control::selectConfigPeers(alive, EntryId("entry-20"));

    const std::vector<Address> expected{{"10.0.0.1", 19}, {"10.0.0.1", 18}, {"10.0.0.1", 1}};
    cr_assert(addresses == expected);
}
