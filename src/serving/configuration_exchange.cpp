#include <cardamombay/serving/configuration_exchange.hpp>

#include "serving/log_events.hpp"
#include "serving/notification.hpp"

#include <cardamombay/config/address_text.hpp>
#include <cardamombay/log/log.hpp>

#include <algorithm>
#include <utility>

namespace cardamombay::serving {

namespace json = boost::json;
using namespace impl;

namespace {

constexpr std::string_view wantedMethod = "configuration-wanted";
constexpr std::string_view partMethod = "configuration-part";

/// The store answers within a few milliseconds unless it turns this entry VM away.
constexpr Duration storeTime = std::chrono::milliseconds(300);
/// Between two rounds of questions; a text of 60 KB is here by then.
constexpr Duration askAgain = std::chrono::milliseconds(250);
/// Peers asked in a round; a third of them may be turned away by the store as well.
constexpr std::size_t peersAsked = 2;

/// Bytes of text in a datagram; with escapes it stays far below the largest one of 64 KB, and a
/// text of 60 KB takes 15.
constexpr std::size_t partBytes = 4000;
/// Texts beyond 4 MB are refused by the store.
constexpr std::uint32_t mostParts = 1100;
/// Missing parts that one question names; if more are missing, all are sent again.
constexpr std::size_t mostNamed = 200;

} // namespace

std::string encode(const ConfigurationRequest &wanted)
{
    json::array missing;
    for (const auto part : wanted.missing_)
        missing.emplace_back(part);
    return notification(wantedMethod, json::object{{"address", wanted.address_.text()},
                                                   {"have", wanted.have_.value()},
                                                   {"arriving", wanted.arriving_.value()},
                                                   {"missing", std::move(missing)}});
}

std::string encode(const ConfigurationPart &part)
{
    return notification(partMethod, json::object{{"version", part.version_.value()},
                                                 {"part", part.part_},
                                                 {"parts", part.parts_},
                                                 {"text", part.text_}});
}

std::optional<ConfigurationRequest> decodeConfigurationRequest(std::string_view text)
{
    const auto params = paramsOf(text, wantedMethod);
    const auto address
        = params ? config::addressOf(textIn(*params, "address")) : std::optional<Address>();
    if (!address)
        return std::nullopt;
    ConfigurationRequest wanted{*address,
                                ConfigVersion(numberIn(*params, "have")),
                                ConfigVersion(numberIn(*params, "arriving")),
                                {}};
    const auto *missing = params->if_contains("missing");
    if (missing == nullptr || !missing->is_array())
        return wanted;
    for (const auto &part : missing->get_array()) {
        if (const auto number = countIn(part); number && *number < mostParts)
            wanted.missing_.push_back(static_cast<std::uint32_t>(*number));
    }
    return wanted;
}

std::optional<ConfigurationPart> decodeConfigurationPart(std::string_view text)
{
    const auto params = paramsOf(text, partMethod);
    if (!params)
        return std::nullopt;
    ConfigurationPart part;
    part.version_ = ConfigVersion(numberIn(*params, "version"));
    const auto index = numberIn(*params, "part");
    const auto count = numberIn(*params, "parts");
    if (part.version_.isNone() || count == 0 || count > mostParts || index >= count)
        return std::nullopt;
    part.part_ = static_cast<std::uint32_t>(index);
    part.parts_ = static_cast<std::uint32_t>(count);
    part.text_ = textIn(*params, "text");
    return part;
}

ConfigurationExchange::ConfigurationExchange(DatagramChannel &datagrams, Address self,
                                             Random random)
    : datagrams_(datagrams)
    , self_(std::move(self))
    , random_(random)
{
}

void ConfigurationExchange::setCurrent(ConfigVersion version, std::string text)
{
    version_ = version;
    text_ = std::move(text);
    encoded_.clear();
    if (arriving_ <= version)
        parts_.clear();
}

void ConfigurationExchange::heardOf(ConfigVersion version, const std::vector<Address> &peers,
                                    TimePoint now)
{
    if (version <= version_ || peers.empty())
        return;
    await(version, now);
    if (now - awaitedSince_ < storeTime || now - askedAt_ < askAgain)
        return;
    askedAt_ = now;
    log::info(event::configurationAsked,
              {{"has", std::to_string(version_.value())},
               {"wanted", std::to_string(version.value())},
               {"since-ms", std::to_string(toMilliseconds(now - awaitedSince_))}});
    for (std::size_t i = 0; i < peersAsked; ++i)
        ask(peers[random_.below(peers.size())]);
}

/// The time counts from the first version that was missed: while changes come in series, what is
/// here grows older all the same.
void ConfigurationExchange::await(ConfigVersion version, TimePoint now)
{
    if (awaited_ <= version_)
        awaitedSince_ = now;
    awaited_ = std::max(awaited_, version);
}

Duration ConfigurationExchange::askSource(ConfigVersion version, const Address &source,
                                          TimePoint now)
{
    if (version <= version_)
        return Duration::zero();
    await(version, now);
    if (now - askedAt_ >= askAgain) {
        askedAt_ = now;
        ask(source);
    }
    return now - awaitedSince_;
}

void ConfigurationExchange::ask(const Address &peer) const
{
    ConfigurationRequest wanted{self_, version_, arriving_, {}};
    for (std::uint32_t part = 0; part < parts_.size(); ++part) {
        if (!parts_[part])
            wanted.missing_.push_back(part);
    }
    if (wanted.missing_.size() > mostNamed)
        wanted.missing_.clear();
    datagrams_.send(peer, encode(wanted));
}

bool ConfigurationExchange::isWanted(const ConfigurationRequest &wanted, std::uint32_t part) const
{
    return wanted.arriving_ != version_ || wanted.missing_.empty()
           || std::find(wanted.missing_.begin(), wanted.missing_.end(), part)
                  != wanted.missing_.end();
}

void ConfigurationExchange::answer(const ConfigurationRequest &wanted, SendBudget &budget,
                                   TimePoint now)
{
    if (version_ <= wanted.have_ || text_.empty())
        return;
    ConfigurationPart part;
    part.version_ = version_;
    part.parts_ = static_cast<std::uint32_t>((text_.size() + partBytes - 1) / partBytes);
    encoded_.resize(part.parts_);
    for (; part.part_ < part.parts_; ++part.part_) {
        if (!isWanted(wanted, part.part_))
            continue;
        auto &encoded = encoded_[part.part_];
        if (encoded.empty()) {
            part.text_ = text_.substr(part.part_ * partBytes, partBytes);
            encoded = encode(part);
        }
        if (!budget.take(encoded.size(), now))
            return;
        datagrams_.send(wanted.address_, encoded);
    }
}

std::optional<std::pair<ConfigVersion, std::string>>
ConfigurationExchange::take(const ConfigurationPart &part)
{
    if (part.version_ <= version_ || part.version_ < arriving_)
        return std::nullopt;
    if (part.version_ != arriving_ || parts_.size() != part.parts_) {
        arriving_ = part.version_;
        parts_.assign(part.parts_, std::nullopt);
    }
    parts_[part.part_] = part.text_;
    if (!std::all_of(parts_.begin(), parts_.end(), [](const auto &one) { return one.has_value(); }))
        return std::nullopt;
    std::string text;
    for (const auto &one : parts_)
        text += *one;
    parts_.clear();
    arriving_ = {};
    return std::pair(part.version_, std::move(text));
}

} // namespace cardamombay::serving
