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

/// Time for a new version to arrive from the store, which responds within a few milliseconds unless
/// it throttles this entry VM.
constexpr Duration storeGracePeriod = std::chrono::milliseconds(300);
/// Time between two rounds of requests; a text of 60 KB arrives within it.
constexpr Duration requestInterval = std::chrono::milliseconds(250);
/// More than one, because the store may throttle a third of the peers as well.
constexpr std::size_t peersPerRound = 2;

/// Text bytes per datagram. With JSON escapes a part stays far below the 64 KB datagram limit; a
/// text of 60 KB takes 15 parts.
constexpr std::size_t maxPartBytes = 4000;
/// Enough for 4 MB of text, the store's limit.
constexpr std::uint32_t maxParts = 1100;
/// Missing parts that one request may name; if more are missing, all parts are requested again.
constexpr std::size_t maxNamedParts = 200;

} // namespace

std::string encode(const ConfigurationRequest &wanted)
{
    json::array missing;
    for (const auto part : wanted.missing_)
        missing.emplace_back(part);
    return notification(wantedMethod, json::object{{"address", wanted.address_.text()},
                                                   {"have", wanted.have_.value()},
                                                   {"arriving", wanted.incomingVersion_.value()},
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
        if (const auto number = countIn(part); number && *number < maxParts)
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
    if (part.version_.isNone() || count == 0 || count > maxParts || index >= count)
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
    if (incomingVersion_ <= version)
        parts_.clear();
}

void ConfigurationExchange::heardOf(ConfigVersion version, const std::vector<Address> &peers,
                                    TimePoint now)
{
    if (version <= version_ || peers.empty())
        return;
    noteWanted(version, now);
    if (now - wantedSince_ < storeGracePeriod || now - requestedAt_ < requestInterval)
        return;
    requestedAt_ = now;
    log::info(event::configurationAsked,
              {{"has", std::to_string(version_.value())},
               {"wanted", std::to_string(version.value())},
               {"since-ms", std::to_string(toMilliseconds(now - wantedSince_))}});
    for (std::size_t i = 0; i < peersPerRound; ++i)
        sendRequest(peers[random_.below(peers.size())]);
}

/// Counts from the first missed version, because the local configuration also becomes outdated
/// while newer versions keep arriving.
void ConfigurationExchange::noteWanted(ConfigVersion version, TimePoint now)
{
    if (wantedVersion_ <= version_)
        wantedSince_ = now;
    wantedVersion_ = std::max(wantedVersion_, version);
}

Duration ConfigurationExchange::askSource(ConfigVersion version, const Address &source,
                                          TimePoint now)
{
    if (version <= version_)
        return Duration::zero();
    noteWanted(version, now);
    if (now - requestedAt_ >= requestInterval) {
        requestedAt_ = now;
        sendRequest(source);
    }
    return now - wantedSince_;
}

void ConfigurationExchange::sendRequest(const Address &peer) const
{
    ConfigurationRequest wanted{self_, version_, incomingVersion_, {}};
    for (std::uint32_t part = 0; part < parts_.size(); ++part) {
        if (!parts_[part])
            wanted.missing_.push_back(part);
    }
    if (wanted.missing_.size() > maxNamedParts)
        wanted.missing_.clear();
    datagrams_.send(peer, encode(wanted));
}

bool ConfigurationExchange::isWanted(const ConfigurationRequest &wanted, std::uint32_t part) const
{
    return wanted.incomingVersion_ != version_ || wanted.missing_.empty()
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
    part.parts_ = static_cast<std::uint32_t>((text_.size() + maxPartBytes - 1) / maxPartBytes);
    encoded_.resize(part.parts_);
    for (; part.part_ < part.parts_; ++part.part_) {
        if (!isWanted(wanted, part.part_))
            continue;
        auto &encoded = encoded_[part.part_];
        if (encoded.empty()) {
            part.text_ = text_.substr(part.part_ * maxPartBytes, maxPartBytes);
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
    if (part.version_ <= version_ || part.version_ < incomingVersion_)
        return std::nullopt;
    if (part.version_ != incomingVersion_ || parts_.size() != part.parts_) {
        incomingVersion_ = part.version_;
        parts_.assign(part.parts_, std::nullopt);
    }
    parts_[part.part_] = part.text_;
    if (!std::all_of(parts_.begin(), parts_.end(), [](const auto &one) { return one.has_value(); }))
        return std::nullopt;
    std::string text;
    for (const auto &one : parts_)
        text += *one;
    parts_.clear();
    incomingVersion_ = {};
    return std::pair(part.version_, std::move(text));
}

} // namespace cardamombay::serving
