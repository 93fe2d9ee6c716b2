#include <cardamombay/control/config_peers.hpp>

#include <cardamombay/config/config_record.hpp>

#include <memory>
#include <utility>

namespace cardamombay::control {

namespace {

/// One search over several peers.
struct Search
{
    ConfigVersion atLeast_;
    Callback<std::string> done_;
    std::size_t open_ = 0;
    ConfigVersion best_;
    std::string text_;

    void take(const Result<std::string> &answer)
    {
        --open_;
        if (!done_)
            return;
        if (isOk(answer))
            consider(valueOf(answer));
        const bool isEnough = !atLeast_.isNone() && best_ >= atLeast_;
        if (isEnough || open_ == 0)
            finish();
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

    void finish()
    {
        const auto done = std::exchange(done_, nullptr);
        if (best_.isNone())
            done(Error(PeerUnreachable{EntryId("any"), "no peer gave its configuration"}));
        else
            done(std::move(text_));
    }
};

} // namespace

void fetchHighest(ConfigPeers &peers, std::span<const Address> addresses, ConfigVersion atLeast,
                  Callback<std::string> done)
{
    auto search = std::make_shared<Search>();
    search->atLeast_ = atLeast;
    search->done_ = std::move(done);
    search->open_ = addresses.size();
    for (const Address &address : addresses)
        peers.fetch(address, [search](const Result<std::string> &answer) { search->take(answer); });
}

} // namespace cardamombay::control
