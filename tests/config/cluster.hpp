/// \file
/// \brief Entry VMs with their configuration agents and digests, on one paused clock.
#pragma once

#include "sample.hpp"
#include "support/fake_store.hpp"

#include <cardamombay/config/config_agent.hpp>
#include <cardamombay/config/config_poller.hpp>
#include <cardamombay/core/manual_clock.hpp>

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cardamombay::support {

/// \brief A link to the table service that can answer reads from an earlier state.
class LaggingTableStore final : public platform::TableStore
{
public:
    explicit LaggingTableStore(FakePlatform &platform)
        : live_(platform)
    {
    }

    std::optional<platform::Row> staleRow_; ///< What scans give in place of the present row.
    bool isPaused_ = false;                 ///< Answers are held back until resume().

    void setCutOff(bool isCutOff) { live_.isCutOff_ = isCutOff; }

    void commit(platform::Transaction transaction, Callback<platform::CommitReceipt> done) override
    {
        live_.commit(std::move(transaction), std::move(done));
    }
    void read(std::vector<platform::RowKey> keys,
              Callback<std::vector<platform::Row>> done) override
    {
        live_.read(std::move(keys), std::move(done));
    }
    void scan(platform::Scan scan, Callback<platform::ScanPage> done) override
    {
        const RowVersion after = scan.changedAfter_;
        live_.scan(std::move(scan), [this, after, done](Result<platform::ScanPage> page) {
            if (staleRow_ && isOk(page)) {
                valueOf(page).rows_.clear();
                if (staleRow_->version_ > after)
                    valueOf(page).rows_.push_back(*staleRow_);
            }
            if (isPaused_)
                held_.push_back([done, page] { done(page); });
            else
                done(page);
        });
    }

    void resume()
    {
        isPaused_ = false;
        for (auto &answer : std::exchange(held_, {}))
            answer();
    }

private:
    FakeTableStore live_;
    std::vector<std::function<void()>> held_;
};

/// \brief Links of one process. The fakes' calls under way refer to them, so they outlive it.
struct ConfigLink
{
    explicit ConfigLink(FakePlatform &platform)
        : tables_(platform)
        , objects_(platform)
    {
    }

    LaggingTableStore tables_;
    FakeObjectStore objects_;
};

/// \brief One entry VM: its agent and its link to the store.
struct ConfigNode
{
    ConfigNode(ManualClock &clock, FakePlatform &platform, config::ConfigProgramPtr program,
               std::string name, std::uint64_t seed, config::ConfigAgentOptions options)
        : id_(name)
        , link_(std::make_shared<ConfigLink>(platform))
        , tables_(link_->tables_)
        , random_(seed)
        , store_(clock, tables_, link_->objects_, random_, {id_, Incarnation{seed}})
        , agent_(clock, store_, random_, log_, std::move(program), options)
    {
    }

    EntryId id_;
    std::shared_ptr<ConfigLink> link_;
    LaggingTableStore &tables_;
    Random random_;
    DecisionLog log_;
    config::ConfigStore store_;
    config::ConfigAgent agent_;
    std::uint32_t partition_ = 0; ///< Nodes hear each other only within one partition.
    TimePoint changedAt_{};
    std::vector<std::uint64_t> versions_; ///< Every version put in force, in order.
};

/// \brief Nodes, an operator, and digests every half second to one random peer.
class ConfigCluster
{
public:
    explicit ConfigCluster(std::size_t nodes, config::ConfigAgentOptions options = {},
                           std::size_t perSite = 3)
        : options_(options)
        , perSite_(perSite)
        , operatorTables_(platform_)
        , operatorObjects_(platform_)
        , operator_(clock_, operatorTables_, operatorObjects_, random_,
                    {EntryId("operator"), Incarnation{1}})
    {
        const auto chart = chart::ChartFolder(SOURCE_FOLDER "/charts").load("config");
        program_ = valueOf(config::ConfigAgent::bind(valueOf(chart)));
        nodes_.resize(nodes);
        for (std::size_t i = 0; i < nodes; ++i)
            restart(i);
        exchangeDigests();
    }

    ManualClock clock_;
    FakePlatform platform_{clock_};
    Random random_{7};
    std::vector<std::unique_ptr<ConfigNode>> nodes_;
    bool hasDigests_ = true;

    /// \brief Replaces node \p i by a new process that keeps nothing.
    void restart(std::size_t i)
    {
        if (nodes_[i])
            retired_.push_back(nodes_[i]->link_);
        nodes_[i].reset();
        auto node = std::make_unique<ConfigNode>(clock_, platform_, program_,
                                                 "entry-" + std::to_string(i), ++starts_ * 1000 + i,
                                                 options_);
        ConfigNode *const self = node.get();
        nodes_[i] = std::move(node);
        self->agent_.setOnChange([this, self](const config::ConfigurationPtr &now) {
            self->changedAt_ = clock_.now();
            self->versions_.push_back(now->version_.value());
        });
        self->agent_.setPeerFetch(
            [this, i](ConfigVersion, Callback<std::string> done) { fetchFromPeers(i, done); });
        self->agent_.setPoller(isPoller(i));
        self->agent_.start();
    }

    /// \brief Applies a configuration and waits until it is accepted.
    Result<ConfigVersion> apply(const std::string &note)
    {
        std::optional<Result<ConfigVersion>> result;
        const auto expected = ConfigVersion{accepted_};
        operator_.apply({sampleSources(note), expected, {}, {}},
                        [&result](auto answer) { result = answer; });
        while (!result)
            clock_.advance(std::chrono::milliseconds(1));
        if (isOk(*result))
            accepted_ = valueOf(*result).value();
        return *result;
    }

    /// \brief True if every node, or every one of \p partition, has \p version in force.
    [[nodiscard]] bool isInForce(std::uint64_t version,
                                 std::optional<std::uint32_t> partition = std::nullopt) const
    {
        for (const auto &node : nodes_) {
            const bool isMeant = !partition || node->partition_ == *partition;
            if (isMeant && node->agent_.version() != ConfigVersion{version})
                return false;
        }
        return true;
    }

    /// \brief Advances until isInForce(), at most \p limit.
    /// \returns the time it took, or nothing.
    std::optional<Duration> waitFor(std::uint64_t version, Duration limit)
    {
        const TimePoint start = clock_.now();
        while (clock_.now() - start <= limit) {
            if (isInForce(version))
                return clock_.now() - start;
            clock_.advance(std::chrono::milliseconds(10));
        }
        return std::nullopt;
    }

    /// \brief True if no process ever went to a lower version.
    [[nodiscard]] bool hasNeverReverted() const
    {
        for (const auto &node : nodes_) {
            const auto &seen = node->versions_;
            if (!std::is_sorted(seen.begin(), seen.end()))
                return false;
        }
        return true;
    }

private:
    [[nodiscard]] bool isPoller(std::size_t i) const
    {
        const std::size_t first = i / perSite_ * perSite_;
        std::vector<EntryId> members;
        for (std::size_t k = first; k < std::min(first + perSite_, nodes_.size()); ++k)
            members.emplace_back("entry-" + std::to_string(k));
        return config::isConfigPoller(EntryId("entry-" + std::to_string(i)),
                                      AvailabilityZone("z" + std::to_string(first)), members);
    }

    /// The best of three random peers, after a round trip.
    void fetchFromPeers(std::size_t asker, const Callback<std::string> &done)
    {
        clock_.schedule(std::chrono::milliseconds(2), [this, asker, done] {
            const ConfigNode *best = nullptr;
            for (int tries = 0; tries < 3; ++tries) {
                const auto &peer = nodes_[random_.below(nodes_.size())];
                const bool isHeard = peer && peer != nodes_[asker] && nodes_[asker]
                                     && peer->partition_ == nodes_[asker]->partition_;
                const bool isBetter = isHeard && peer->agent_.current()
                                      && (!best || peer->agent_.version() > best->agent_.version());
                if (isBetter)
                    best = peer.get();
            }
            if (best)
                done(*best->agent_.encodedCurrent());
            else
                done(Error(PeerUnreachable{EntryId("any"), "no peer answered"}));
        });
    }

    void exchangeDigests()
    {
        for (std::size_t i = 0; hasDigests_ && i < nodes_.size(); ++i) {
            auto &self = nodes_[i];
            auto &peer = nodes_[random_.below(nodes_.size())];
            if (self == peer || self->partition_ != peer->partition_)
                continue;
            peer->agent_.offer(self->agent_.version());
            self->agent_.offer(peer->agent_.version());
        }
        clock_.schedule(std::chrono::milliseconds(500), [this] { exchangeDigests(); });
    }

    config::ConfigAgentOptions options_;
    std::size_t perSite_;
    std::vector<std::shared_ptr<ConfigLink>> retired_;
    config::ConfigProgramPtr program_;
    FakeTableStore operatorTables_;
    FakeObjectStore operatorObjects_;
    config::ConfigStore operator_;
    std::uint64_t accepted_ = 0;
    std::uint64_t starts_ = 0;
};

} // namespace cardamombay::support
