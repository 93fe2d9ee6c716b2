// Configuration transfer between peers, for entry VMs that the store throttles.
#include <cardamombay/serving/configuration_exchange.hpp>

#include <algorithm>

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::serving;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const TimePoint start{seconds(100)};
const Address peer{"10.0.0.1", 7340};
const Address self{"10.0.0.2", 7340};

struct RecordingChannel final : public DatagramChannel
{
    void send(const Address &to, std::string_view text) override { all_.emplace_back(to, text); }
    void onReceived(std::function<void(std::string_view)> /*handler*/) override {}

    std::vector<std::pair<Address, std::string>> all_;
};

struct Participant
{
    explicit Participant(const Address &address)
        : exchange_(sent_, address, Random(1))
    {
    }

    void answer(const ConfigurationRequest &wanted)
    {
        SendBudget ample(1e9);
        exchange_.answer(wanted, ample, start);
    }

    RecordingChannel sent_;
    ConfigurationExchange exchange_;
};

std::string longText()
{
    std::string text;
    for (int i = 0; text.size() < 60'000; ++i)
        text += "{\"route\":" + std::to_string(i) + "}";
    return text;
}

} // namespace

Test(configuration_exchange, peers_are_asked_only_if_the_store_does_not_respond_in_time)
{
    Participant side(self);
    side.exchange_.setCurrent(ConfigVersion(3), "old");
    side.exchange_.heardOf(ConfigVersion(3), {peer}, start);
    side.exchange_.heardOf(ConfigVersion(4), {peer}, start);
    cr_assert(side.sent_.all_.empty());
    side.exchange_.heardOf(ConfigVersion(4), {peer}, start + milliseconds(400));
    cr_assert_not(side.sent_.all_.empty());
    const auto wanted = decodeConfigurationRequest(side.sent_.all_.front().second);
    cr_assert(wanted);
    cr_assert(*wanted == (ConfigurationRequest{self, ConfigVersion(3), {}, {}}));
    const auto count = side.sent_.all_.size();
    side.exchange_.heardOf(ConfigVersion(4), {peer}, start + milliseconds(500));
    cr_assert_eq(side.sent_.all_.size(), count);
}

Test(configuration_exchange, text_is_assembled_from_parts_in_any_order)
{
    Participant sender(peer);
    sender.exchange_.setCurrent(ConfigVersion(4), longText());
    sender.answer({self, ConfigVersion(3), {}, {}});
    auto parts = sender.sent_.all_;
    cr_assert_gt(parts.size(), 10);
    std::reverse(parts.begin(), parts.end());
    const auto lost = parts.back();
    parts.back() = parts.front();
    parts.push_back(lost);
    Participant receiver(self);
    receiver.exchange_.setCurrent(ConfigVersion(3), "old");
    std::optional<std::pair<ConfigVersion, std::string>> assembled;
    for (const auto &[to, text] : parts) {
        cr_assert(to == self);
        cr_assert_lt(text.size(), 16'000);
        cr_assert_not(assembled);
        assembled = receiver.exchange_.take(*decodeConfigurationPart(text));
    }
    cr_assert(assembled);
    cr_assert_eq(assembled->first, ConfigVersion(4));
    cr_assert_eq(assembled->second, longText());
}

Test(configuration_exchange, older_versions_are_neither_sent_nor_accepted)
{
    Participant side(self);
    side.exchange_.setCurrent(ConfigVersion(4), "text");
    side.answer({peer, ConfigVersion(4), {}, {}});
    cr_assert(side.sent_.all_.empty());
    cr_assert_not(side.exchange_.take({ConfigVersion(4), 0, 1, "other"}));
    cr_assert_not(side.exchange_.take({ConfigVersion(3), 0, 1, "older"}));
}

Test(configuration_exchange, invalid_parts_are_rejected)
{
    for (const auto &part : {ConfigurationPart{ConfigVersion(4), 2, 2, "x"},
                             ConfigurationPart{ConfigVersion(4), 0, 0, "x"},
                             ConfigurationPart{ConfigVersion(), 0, 1, "x"},
                             ConfigurationPart{ConfigVersion(4), 0, 5000, "x"}})
        cr_assert_not(decodeConfigurationPart(encode(part)));
}
