/// \file
/// \brief Distributes the configuration between entry VMs.
/// \details Decides which peers to ask and when; the configuration text is opaque. Key revocations
/// thus also reach entry VMs that cannot reach the store, which then need not refuse requests with
/// keys, and a change costs the store a few calls instead of one per entry VM.
#pragma once

#include <cardamombay/core/random.hpp>
#include <cardamombay/serving/peer_digests.hpp>
#include <cardamombay/serving/send_budget.hpp>

namespace cardamombay::serving {

/// \brief Requests a configuration newer than \p have_.
struct ConfigurationRequest
{
    Address address_; ///< Reply address.
    ConfigVersion have_;
    ConfigVersion incomingVersion_;      ///< Version of which some parts were received.
    std::vector<std::uint32_t> missing_; ///< Parts of it still missing; empty: all are wanted.

    friend bool operator==(const ConfigurationRequest &, const ConfigurationRequest &) = default;
};

/// \brief One part of a configuration's text.
struct ConfigurationPart
{
    ConfigVersion version_;
    std::uint32_t part_ = 0;  ///< Index of the part, from 0.
    std::uint32_t parts_ = 1; ///< Total number of parts.
    std::string text_;

    friend bool operator==(const ConfigurationPart &, const ConfigurationPart &) = default;
};

/// \name JSON-RPC notifications
/// \{
[[nodiscard]] std::string encode(const ConfigurationRequest &wanted);
[[nodiscard]] std::string encode(const ConfigurationPart &part);
/// \returns nothing if \p text is not such a message.
[[nodiscard]] std::optional<ConfigurationRequest> decodeConfigurationRequest(std::string_view text);
[[nodiscard]] std::optional<ConfigurationPart> decodeConfigurationPart(std::string_view text);
/// \}

/// \brief The exchange at one entry VM. Used on the control thread only.
class ConfigurationExchange
{
public:
    ConfigurationExchange(DatagramChannel &datagrams, Address self, Random random);

    /// \brief Sets the configuration in force here, which is offered to peers.
    void setCurrent(ConfigVersion version, std::string text);

    /// \brief Handles a peer's announcement that \p version is in force; requests it from peers if
    /// it does not arrive from the store in time.
    /// \param peers addresses of all peers.
    void heardOf(ConfigVersion version, const std::vector<Address> &peers, TimePoint now);

    /// \brief Like heardOf(), for an entry VM that does not poll the store itself: requests the
    /// version from the announcing peer immediately.
    /// \param source address of that peer.
    /// \returns how long a newer version has been missing here.
    Duration askSource(ConfigVersion version, const Address &source, TimePoint now);

    /// \brief Sends the missing parts to a peer that has an older configuration.
    /// \param budget parts that exceed it are not sent; the peer requests them again.
    void answer(const ConfigurationRequest &wanted, SendBudget &budget, TimePoint now);

    /// \brief Adds a received part.
    /// \returns the version and the whole text once all its parts have been received.
    [[nodiscard]] std::optional<std::pair<ConfigVersion, std::string>>
    take(const ConfigurationPart &part);

private:
    void noteWanted(ConfigVersion version, TimePoint now);
    void sendRequest(const Address &peer) const;
    [[nodiscard]] bool isWanted(const ConfigurationRequest &wanted, std::uint32_t part) const;

    DatagramChannel &datagrams_;
    Address self_;
    Random random_;
    ConfigVersion version_;
    std::string text_;
    std::vector<std::string> encoded_; ///< Cache of encoded parts, reused for further peers.
    ConfigVersion wantedVersion_;
    TimePoint wantedSince_{};
    TimePoint requestedAt_{};
    ConfigVersion incomingVersion_;
    std::vector<std::optional<std::string>> parts_;
};

} // namespace cardamombay::serving
