#include <cardamombay/config/peer_config_fetch.hpp>

#include <cardamombay/net/http_status.hpp>

#include <utility>

namespace cardamombay::config {

namespace {

constexpr Duration longestExchange = std::chrono::milliseconds(1500); // below the agent's step

} // namespace

/// Answers of one round so far.
struct PeerConfigFetch::Round
{
    Callback<std::string> done_;
    std::size_t open_ = 0;
    ConfigVersion best_;
    std::string text_;

    void take(const net::HttpResult &result)
    {
        const auto *response = std::get_if<net::HttpResponse>(&result);
        const bool hasBody = response && response->status_ == net::statusOk;
        const auto record = hasBody ? decodeRecord(response->body_)
                                    : Result<ConfigRecord>(Error(NotFound{"configuration"}));
        if (isOk(record) && valueOf(record).version_.value() > best_.value()) {
            best_ = valueOf(record).version_;
            text_ = response->body_;
        }
        if (--open_ == 0)
            finish();
    }

    void finish()
    {
        if (best_.isNone())
            done_(Error(PeerUnreachable{EntryId("any"), "no peer answered with a configuration"}));
        else
            done_(std::move(text_));
    }
};

PeerConfigFetch::PeerConfigFetch(Clock &clock, net::HttpClient &client, Random &random,
                                 std::function<std::vector<Address>()> peers)
    : clock_(clock)
    , client_(client)
    , random_(random)
    , peers_(std::move(peers))
{
}

void PeerConfigFetch::fetch(const Callback<std::string> &done)
{
    const auto peers = choosePeers();
    auto round = std::make_shared<Round>();
    round->done_ = done;
    if (peers.empty())
        clock_.schedule(Duration::zero(), [round] { round->finish(); });
    round->open_ = peers.size();
    for (const auto &peer : peers) {
        net::HttpRequest request;
        request.address_ = peer;
        request.target_ = std::string(peerConfigPath);
        request.timeout_ = longestExchange;
        client_.send(std::move(request),
                     [round](const net::HttpResult &result) { round->take(result); });
    }
}

ConfigAgent::PeerFetch PeerConfigFetch::function()
{
    return [this](ConfigVersion, const Callback<std::string> &done) { fetch(done); };
}

std::vector<Address> PeerConfigFetch::choosePeers()
{
    auto peers = peers_();
    const std::size_t count = std::min(fanOut, peers.size());
    for (std::size_t i = 0; i < count; ++i)
        std::swap(peers[i], peers[i + random_.below(peers.size() - i)]);
    peers.resize(count);
    return peers;
}

} // namespace cardamombay::config
