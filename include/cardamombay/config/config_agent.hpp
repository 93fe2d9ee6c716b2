/// \file
/// \brief Keeps one process on the latest accepted configuration.
/// \details Decides when to ask the store and when the peers, and which content to put in force.
/// It never writes a configuration, never puts an invalid one in force and never goes back to a
/// lower version: neither for a stale read nor for an old answer that arrives late. A process
/// that has just started, and so has no version of its own to compare with, confirms what it read
/// by a conditional transaction, or takes it from the peers when the store is down; then it takes
/// nothing lower than the highest version any peer told of.
/// Guards the promise that an accepted configuration is in force everywhere and never reverts.
#pragma once

#include <cardamombay/chart/machine.hpp>
#include <cardamombay/config/config_store.hpp>
#include <cardamombay/config/configuration.hpp>
#include <cardamombay/core/decision_log.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace cardamombay::config {

/// \brief Times of a ConfigAgent.
struct ConfigAgentOptions
{
    Duration pollInterval_ = std::chrono::seconds(1);      ///< Of a poller.
    Duration idleInterval_ = std::chrono::seconds(30);     ///< Of all others; a safety net.
    Duration stepTimeout_ = std::chrono::seconds(2);       ///< For an answer of the store or peers.
    Duration firstRetry_ = std::chrono::milliseconds(200); ///< Doubles with each failure.
    Duration longestRetry_ = std::chrono::seconds(2);
    Duration startSpread_ = std::chrono::milliseconds(200); ///< Starts are spread over this.
};

/// \brief A version that was not put in force, and why.
struct RefusedConfig
{
    ConfigVersion version_;
    Error error_;
};

/// \brief Counts, for metrics.
struct ConfigAgentCounts
{
    std::uint64_t storeReads_ = 0;
    std::uint64_t confirmations_ = 0;
    std::uint64_t peerReads_ = 0;
    std::uint64_t taken_ = 0;
    std::uint64_t staleReads_ = 0; ///< Reads at start that the store did not confirm.
};

class ConfigAgent;
using ConfigProgramPtr = chart::ProgramPtr<ConfigAgent>;

/// \brief The agent; belongs to the control thread.
/// \code
/// ConfigAgent agent(clock, store, random, decisions, program, {});
/// agent.setOnChange([&](const ConfigurationPtr &now) { publish(now); });
/// agent.setPeerFetch([&](ConfigVersion atLeast, Callback<std::string> done) { ... });
/// agent.start();
/// agent.offer(member.configVersion_); // for every digest
/// \endcode
class ConfigAgent
{
public:
    /// \brief Asks peers for their encodedCurrent().
    /// \details Gives the text of the highest version among a few live peers, at least \p atLeast
    /// if any has it, or an error if none answered.
    using PeerFetch = std::function<void(ConfigVersion atLeast, Callback<std::string> done)>;

    /// \brief Binds charts/config.toml to this class.
    [[nodiscard]] static Result<ConfigProgramPtr> bind(const chart::Chart &chart);

    ConfigAgent(Clock &clock, ConfigStore &store, Random &random, DecisionSink &decisions,
                ConfigProgramPtr program, ConfigAgentOptions options = {});
    ~ConfigAgent();
    ConfigAgent(const ConfigAgent &) = delete;
    ConfigAgent &operator=(const ConfigAgent &) = delete;

    /// \brief Called with each new configuration once it is in force.
    void setOnChange(std::function<void(ConfigurationPtr)> onChange);
    /// \brief How to ask peers; without it only the store is asked.
    void setPeerFetch(PeerFetch fetch);
    /// \brief Whether this process polls at the short interval; see isConfigPoller().
    void setPoller(bool isPoller);

    /// \brief Begins to look for a configuration.
    void start();

    /// \brief Tells the highest version heard from peers; a new one is fetched at once.
    void offer(ConfigVersion highestSeenAtPeers);

    /// \name State
    /// \{
    /// \brief What is in force, or null.
    [[nodiscard]] const ConfigurationPtr &current() const { return current_; }
    /// \brief Version in force; none before the first.
    [[nodiscard]] ConfigVersion version() const { return record_.version_; }
    /// \brief Hash of the content in force.
    [[nodiscard]] const std::string &hash() const { return record_.hash_; }
    /// \brief What is in force, for peers that ask.
    [[nodiscard]] std::optional<std::string> encodedCurrent() const;
    /// \brief The highest version that was refused, if it is above the one in force.
    [[nodiscard]] const std::optional<RefusedConfig> &refused() const { return refused_; }
    /// \brief State of the chart.
    [[nodiscard]] std::string_view state() const { return machine_.state(); }
    [[nodiscard]] const ConfigAgentCounts &counts() const { return counts_; }
    /// \}

private:
    void askStore();
    void confirm();
    void askPeers();
    void rest();

    void takeStoreAnswer(std::uint64_t step, const Result<std::optional<StoredConfig>> &result);
    void takeConfirmation(std::uint64_t step, const Result<Done> &result);
    void takePeerAnswer(std::uint64_t step, const Result<std::string> &result);

    void consider(const ConfigRecord &record, std::string_view source);
    void putInForce(const ConfigRecord &record, Configuration configuration,
                    std::string_view source);
    void refuse(const ConfigRecord &record, const Error &error);
    void report(std::string event, std::string choice, std::vector<Detail> inputs);

    std::uint64_t beginStep();
    void endStep(std::uint64_t step, std::string_view event);
    void scheduleRest(Duration delay);
    [[nodiscard]] Duration jittered(Duration delay);
    [[nodiscard]] ConfigVersion refusedVersion() const;
    [[nodiscard]] bool isUnset() const { return !current_; }
    [[nodiscard]] bool isBehind() const;
    [[nodiscard]] bool asksPeersFirst() const;
    [[nodiscard]] bool mayTakeFromPeer(const ConfigRecord &record) const;

    Clock &clock_;
    ConfigStore &store_;
    Random &random_;
    DecisionSink &decisions_;
    ConfigAgentOptions options_;
    chart::Machine<ConfigAgent> machine_;
    std::function<void(ConfigurationPtr)> onChange_;
    PeerFetch peerFetch_;
    bool isStarted_ = false;
    bool isPoller_ = false;
    bool storeWasAsked_ = false;
    ConfigurationPtr current_;
    ConfigRecord record_;
    RowVersion row_;      ///< Row version the store was last read at; none before the first.
    ConfigVersion heard_; ///< Highest version known of.
    std::optional<RefusedConfig> refused_;
    std::optional<StoredConfig> pending_; ///< Read at start, not yet confirmed.
    std::uint64_t step_ = 0;
    TimerId timer_ = TimerId::None;
    Duration retry_;
    ConfigAgentCounts counts_;
    std::shared_ptr<char> alive_; ///< Callbacks hold it weakly.
};

} // namespace cardamombay::config
