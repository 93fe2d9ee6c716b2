#include "sample.hpp"

#include <cardamombay/config/peer_config_fetch.hpp>
#include <cardamombay/core/manual_clock.hpp>

#include <map>
#include <optional>

#include <criterion/criterion.h>

using namespace cardamombay;

namespace {

std::string recordOf(std::uint64_t version)
{
    const std::string content = config::encode(support::sampleSources(std::to_string(version)));
    return config::encode(config::ConfigRecord{
        ConfigVersion{version}, config::contentHash(content), {}, {}, content});
}

/// Peers by port; answers when told.
class FakeClient final : public net::HttpClient
{
public:
    std::map<std::uint16_t, net::HttpResult> answers_;

    void send(net::HttpRequest request, std::function<void(net::HttpResult)> done) override
    {
        cr_assert_eq(request.target_, "/config/current");
        open_.emplace_back(request.address_.port_, std::move(done));
    }

    void answerAll()
    {
        for (auto &[port, done] : std::exchange(open_, {}))
            done(answers_.at(port));
    }

    [[nodiscard]] std::size_t open() const { return open_.size(); }

private:
    std::vector<std::pair<std::uint16_t, std::function<void(net::HttpResult)>>> open_;
};

struct Fixture
{
    ManualClock clock_;
    FakeClient client_;
    Random random_{1};
    std::vector<Address> peers_;
    config::PeerConfigFetch fetch_{clock_, client_, random_, [this] { return peers_; }};
    std::optional<Result<std::string>> result_;

    void add(std::uint16_t port, net::HttpResult answer)
    {
        peers_.push_back({"10.0.0.1", port});
        client_.answers_[port] = std::move(answer);
    }

    void run()
    {
        fetch_.fetch([this](auto result) { result_ = std::move(result); });
        client_.answerAll();
        clock_.runDue();
    }
};

} // namespace

Test(peer_fetch, highest_version_among_the_answers_is_given)
{
    Fixture fixture;
    fixture.add(1, net::HttpResponse{200, {}, recordOf(4)});
    fixture.add(2, net::HttpResponse{200, {}, recordOf(6)});
    fixture.add(3, net::HttpFailure{});

    fixture.run();

    cr_assert(isOk(*fixture.result_));
    cr_assert_eq(valueOf(*fixture.result_), recordOf(6));
}

Test(peer_fetch, peers_without_a_configuration_give_an_error)
{
    Fixture fixture;
    fixture.add(1, net::HttpResponse{404, {}, ""});
    fixture.add(2, net::HttpResponse{200, {}, "{}"});

    fixture.run();

    cr_assert(isError<PeerUnreachable>(*fixture.result_));
}

Test(peer_fetch, no_peer_gives_an_error)
{
    Fixture fixture;

    fixture.run();

    cr_assert(isError<PeerUnreachable>(*fixture.result_));
}

Test(peer_fetch, at_most_three_of_many_peers_are_asked)
{
    Fixture fixture;
    for (std::uint16_t port = 1; port <= 20; ++port)
        fixture.add(port, net::HttpFailure{});

    fixture.fetch_.fetch([](const auto &) {});

    cr_assert_eq(fixture.client_.open(), 3);
}
