/// \file
/// \brief Hands the configuration from entry VM to entry VM.
/// \details Decides whom to ask and when; the text is opaque here. Guards that a key which was
/// taken away is known to be so also where the store does not answer, so that requests with keys
/// need not be refused there; and that a change costs the store a few calls, not one for each entry
/// VM.
#pragma once

#include <cardamombay/core/random.hpp>
#include <cardamombay/serving/peer_digests.hpp>
#include <cardamombay/serving/send_budget.hpp>

namespace cardamombay::serving {

/// \brief Asks for the configuration that is newer than \p have_.
struct ConfigurationRequest
{
    Address address_; ///< Where the answer goes.
    ConfigVersion have_;
    ConfigVersion arriving_;             ///< Parts of this version have come.
    std::vector<std::uint32_t> missing_; ///< Of its parts; empty if all are wanted.

    friend bool operator==(const ConfigurationRequest &, const ConfigurationRequest &) = default;
};

/// \brief A piece of a configuration's text.
struct ConfigurationPart
{
    ConfigVersion version_;
    std::uint32_t part_ = 0; ///< From 0.
    std::uint32_t parts_ = 1;
    std::string text_;

    friend bool operator==(const ConfigurationPart &, const ConfigurationPart &) = default;
};

/// \name JSON-RPC notifications
/// \{
[[nodiscard]] std::string encode(const ConfigurationRequest &wanted);
[[nodiscard]] std::string encode(const ConfigurationPart &part);
/// \returns nothing if \p text is no such message.
[[nodiscard]] std::optional<ConfigurationRequest> decodeConfigurationRequest(std::string_view text);
[[nodiscard]] std::optional<ConfigurationPart> decodeConfigurationPart(std::string_view text);
/// \}

/// \brief One entry VM's side; on the control thread.
class ConfigurationExchange
{
public:
    ConfigurationExchange(DatagramChannel &datagrams, Address self, Random random);

    /// \brief Takes what is in force here, as text for others.
    void setCurrent(ConfigVersion version, std::string text);

    /// \brief A peer says that \p version is in force; asks peers for it if it does not come from
    /// the store in time.
    /// \param peers addresses of all peers.
    void heardOf(ConfigVersion version, const std::vector<Address> &peers, TimePoint now);

    /// \brief The same for an entry VM that leaves the store to others: asks the peer that says so
    /// at once.
    /// \param source address of that peer.
    /// \returns how long the version has been missing here.
    Duration askSource(ConfigVersion version, const Address &source, TimePoint now);

    /// \brief Answers a peer that has an older configuration with the parts that it lacks.
    /// \param budget parts that it does not bear are left out; they are asked for again.
    void answer(const ConfigurationRequest &wanted, SendBudget &budget, TimePoint now);

    /// \returns the whole text once all its parts are here, with its version.
    [[nodiscard]] std::optional<std::pair<ConfigVersion, std::string>>
    take(const ConfigurationPart &part);

private:
    void await(ConfigVersion version, TimePoint now);
    void ask(const Address &peer) const;
    [[nodiscard]] bool isWanted(const ConfigurationRequest &wanted, std::uint32_t part) const;

    DatagramChannel &datagrams_;
    Address self_;
    Random random_;
    ConfigVersion version_;
    std::string text_;
    std::vector<std::string> encoded_; ///< Parts that were sent, for the next peer that asks.
    ConfigVersion awaited_;
    TimePoint awaitedSince_{};
    TimePoint askedAt_{};
    ConfigVersion arriving_;
    std::vector<std::optional<std::string>> parts_;
};

} // namespace cardamombay::serving
