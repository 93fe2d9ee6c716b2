// Random faults, changes and restarts, one after another, from fixed seeds; after each step the
// promise on configurations is checked. More seeds: CONFIG_EXPLORER_FIRST_SEED=301
// CONFIG_EXPLORER_SEEDS=300 test_config --filter 'explorer/*'.
#include "cluster.hpp"

#include <cstdlib>
#include <map>

#include <criterion/criterion.h>

using namespace cardamombay;
using std::chrono::milliseconds;
using std::chrono::seconds;
using support::ConfigCluster;
using support::ConfigNode;

namespace {

constexpr std::size_t nodeCount = 6;
constexpr int steps = 200;
constexpr std::uint64_t defaultSeeds = 25;

/// A change some operator asked for and what it was told.
struct Change
{
    std::string content_;
    std::optional<Result<ConfigVersion>> told_;
};

class Explorer
{
public:
    explicit Explorer(std::uint64_t seed)
        : random_(seed)
        , cluster_(nodeCount)
        , tables_(cluster_.platform_)
        , objects_(cluster_.platform_)
        , operator_(cluster_.clock_, tables_, objects_, random_,
                    {EntryId("operators"), Incarnation{1}})
    {
    }

    /// \returns what is wrong after the step, or nothing.
    std::string step()
    {
        cause();
        cluster_.clock_.advance(milliseconds(random_.below(1500)));
        return check();
    }

    /// \returns what is wrong after everything was repaired, or nothing.
    std::string settle()
    {
        repair();
        cluster_.clock_.advance(seconds(40)); // operators' commits come to their end
        if (!cluster_.isInForce(accepted()) && !cluster_.waitFor(accepted(), seconds(5)))
            return "the accepted version is not in force everywhere";
        return check();
    }

private:
    [[nodiscard]] std::uint64_t accepted() const
    {
        const auto *row = cluster_.platform_.row({"config", "current"});
        return row ? valueOf(config::decodeRecord(row->value_)).version_.value() : 0;
    }

    ConfigNode &anyNode() { return *cluster_.nodes_[random_.below(nodeCount)]; }

    void cause()
    {
        auto &faults = cluster_.platform_.faults_;
        switch (random_.below(12)) {
        case 0:
        case 1:
        case 2:
            apply();
            break;
        case 3:
        case 4:
            restart(random_.below(nodeCount));
            break;
        case 5:
            faults.isDown_ = !faults.isDown_;
            break;
        case 6:
            faults.losesAnswers_ = !faults.losesAnswers_;
            break;
        case 7:
            faults.losesRequests_ = random_.below(4) == 0;
            break;
        case 8:
            anyNode().partition_ = static_cast<std::uint32_t>(random_.below(2));
            break;
        case 9:
            anyNode().tables_.setCutOff(random_.below(2) == 0);
            break;
        case 10:
            makeStale();
            break;
        default:
            pauseOrResume();
            break;
        }
    }

    void apply()
    {
        const std::uint64_t behind = random_.below(5) == 0 ? 1 : 0;
        const auto expected = ConfigVersion{accepted() - std::min(accepted(), behind)};
        auto sources = support::sampleSources(std::to_string(changes_.size()));
        auto &change = changes_.emplace_back();
        change.content_ = config::encode(sources);
        const std::size_t index = changes_.size() - 1;
        operator_.apply({std::move(sources), expected, {}, {}},
                        [this, index](auto told) { changes_[index].told_ = told; });
    }

    void restart(std::size_t i)
    {
        cluster_.restart(i);
        startedAt_[cluster_.nodes_[i].get()] = accepted();
        if (oldRow_ && random_.below(3) == 0)
            cluster_.nodes_[i]->tables_.staleRow_ = oldRow_;
    }

    void makeStale()
    {
        auto &node = anyNode();
        const auto *row = cluster_.platform_.row({"config", "current"});
        if (row)
            oldRow_ = *row;
        node.tables_.staleRow_ = node.tables_.staleRow_ ? std::nullopt : oldRow_;
    }

    void pauseOrResume()
    {
        auto &node = anyNode();
        if (node.tables_.isPaused_)
            node.tables_.resume();
        else
            node.tables_.isPaused_ = true;
    }

    void repair()
    {
        cluster_.platform_.faults_ = {};
        for (auto &node : cluster_.nodes_) {
            node->partition_ = 0;
            node->tables_.setCutOff(false);
            node->tables_.staleRow_.reset();
            node->tables_.resume();
        }
    }

    std::string check()
    {
        if (!cluster_.hasNeverReverted())
            return "a process went to a lower version";
        for (const auto &node : cluster_.nodes_) {
            if (!holdsWhatWasAccepted(*node))
                return node->id_.text() + " has content in force that was not accepted";
            if (startedStale(*node))
                return node->id_.text() + " started on a version lower than the accepted one";
        }
        for (const auto &change : changes_) {
            if (change.told_ && !isTrue(change))
                return "an operator was told what is not so";
        }
        return "";
    }

    /// The content in force is that of the version's row, written once.
    [[nodiscard]] bool holdsWhatWasAccepted(const ConfigNode &node) const
    {
        const auto text = node.agent_.encodedCurrent();
        if (!text)
            return true;
        const auto record = valueOf(config::decodeRecord(*text));
        const auto *accepted = versionRow(record.version_.value());
        return accepted && valueOf(config::decodeRecord(accepted->value_)).hash_ == record.hash_;
    }

    /// A process that started from the store must not start below what was accepted before.
    [[nodiscard]] bool startedStale(const ConfigNode &node) const
    {
        const auto started = startedAt_.find(&node);
        if (started == startedAt_.end())
            return false;
        for (const auto &record : node.log_.forSubject("configuration")) {
            if (record.event_ != "config-in-force")
                continue;
            const bool isFromStore = record.inputs_[1].value_ == "store";
            return isFromStore && std::stoull(record.choice_) < started->second;
        }
        return false;
    }

    [[nodiscard]] const platform::Row *versionRow(std::uint64_t version) const
    {
        const std::string digits = std::to_string(version);
        return cluster_.platform_.row(
            {"config", "version-" + std::string(12 - digits.size(), '0') + digits});
    }

    [[nodiscard]] bool isTrue(const Change &change) const
    {
        const auto hash = config::contentHash(change.content_);
        bool isAccepted = false;
        for (std::uint64_t version = 1; version <= accepted(); ++version) {
            const auto record = valueOf(config::decodeRecord(versionRow(version)->value_));
            isAccepted = isAccepted || record.hash_ == hash;
        }
        if (isOk(*change.told_))
            return isAccepted;
        return isError<StoreAnswerLost>(*change.told_) || !isAccepted;
    }

    Random random_;
    ConfigCluster cluster_;
    support::FakeTableStore tables_;
    support::FakeObjectStore objects_;
    config::ConfigStore operator_;
    std::deque<Change> changes_;
    std::map<const ConfigNode *, std::uint64_t> startedAt_;
    std::optional<platform::Row> oldRow_; ///< As a lagging replica of the store may still have it.
};

std::uint64_t fromEnvironment(const char *variable, std::uint64_t fallback)
{
    const char *text = std::getenv(variable);
    return text ? std::strtoull(text, nullptr, 10) : fallback;
}

} // namespace

Test(explorer, accepted_configurations_never_revert_under_random_faults, .timeout = 280)
{
    const auto first = fromEnvironment("CONFIG_EXPLORER_FIRST_SEED", 1);
    const auto count = fromEnvironment("CONFIG_EXPLORER_SEEDS", defaultSeeds);
    for (std::uint64_t seed = first; seed < first + count; ++seed) {
        Explorer explorer(seed);
        for (int i = 0; i < steps; ++i) {
            const std::string problem = explorer.step();
            cr_assert(problem.empty(), "seed %lu step %d: %s", static_cast<unsigned long>(seed), i,
                      problem.c_str());
        }
        const std::string problem = explorer.settle();
        cr_assert(problem.empty(), "seed %lu at the end: %s", static_cast<unsigned long>(seed),
                  problem.c_str());
    }
}
