#include <cardamombay/control/config_peers.hpp>

#include <cardamombay/config/config_record.hpp>

#include <algorithm>
#include <memory>
#include <utility>

namespace cardamombay::control {

namespace {

constexpr std::size_t maxPeersAsked = 3;

/// State of one query to several peers.
struct VersionQuery
{
    ConfigVersion atLeast_;
    Callback<std::string> done_;
    std::size_t pending_ = 0;
    ConfigVersion best_;
    std::string text_;

    void take(const Result<std::string> &answer)
    {
        --pending_;
        if (!done_)
            return;
        if (isOk(answer))
            consider(valueOf(answer));
        const bool isEnough = !atLeast_.isNone() && best_ >= atLeast_;
        if (isEnough || pending_ == 0)
            finish();
    }

    void finish()
    {
        const auto done = std::exchange(done_, nullptr);
        if (best_.isNone())
            done(Error(PeerUnreachable{EntryId("any"), "no peer gave its configuration"}));
        else
            done(std::move(text_));
    }

private:
    void consider(const std::string &text)
    {
        const auto record = config::decodeRecord(text);
        if (!isOk(record) || valueOf(record).version_ <= best_)
            return;
        best_ = valueOf(record).version_;
        text_ = text;
    }
};

} // namespace

std::vector<Address> selectConfigPeers(std::span<const membership::MemberEntry> alive,
                                       const EntryId &self)
{
    std::vector<const membership::MemberEntry *> peers;
    for (const auto &member : alive) {
        if (member.id_ != self)
            peers.push_back(&member);
    }
    std::stable_sort(peers.begin(), peers.end(), [](const auto *left, const auto *right) {
        return left->configVersion_ > right->configVersion_;
    });
    peers.resize(std::min(peers.size(), maxPeersAsked));
    std::vector<Address> addresses;
    addresses.reserve(peers.size());
    for (const auto *peer : peers)
        addresses.push_back(peer->address_);
    return addresses;
}

void fetchHighestVersion(ConfigPeers &peers, Clock &clock, std::span<const Address> addresses,
                         ConfigVersion atLeast, Callback<std::string> done)
{
    auto search = std::make_shared<VersionQuery>();
    search->atLeast_ = atLeast;
    search->done_ = std::move(done);
    search->pending_ = addresses.size();
    if (addresses.empty())
        clock.schedule({}, [search] { search->finish(); });
    for (const Address &address : addresses)
        peers.fetch(address, [search](const Result<std::string> &answer) { search->take(answer); });
}

} // namespace cardamombay::control
