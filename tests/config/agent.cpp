// What a node does with versions: faults of the store, of peers and of its own process.
#include "cluster.hpp"

#include <criterion/criterion.h>

using namespace cardamombay;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;
using support::ConfigCluster;

namespace {

const platform::RowKey currentRow{"config", "current"};

/// A cluster in which version 1 is in force.
struct Running : ConfigCluster
{
    explicit Running(std::size_t nodes = 7)
        : ConfigCluster(nodes)
    {
        cr_assert(isOk(apply("one")));
        cr_assert(waitFor(1, seconds(10)).has_value());
    }
};

} // namespace

Test(agent, accepted_version_is_in_force_at_every_node_within_seconds)
{
    Running cluster;

    cr_assert(isOk(cluster.apply("two")));

    cr_assert(cluster.waitFor(2, seconds(5)).has_value());
}

Test(agent, node_that_hears_of_a_version_fetches_it_at_once)
{
    Running cluster(2);
    cluster.hasDigests_ = false;
    cluster.clock_.advance(seconds(1));
    cluster.apply("two");
    cluster.clock_.advance(milliseconds(1500));
    cr_assert(cluster.isInForce(2), "both poll");

    cluster.nodes_[0]->agent_.setPoller(false);
    cluster.clock_.advance(seconds(2));
    cluster.apply("three");
    cluster.nodes_[0]->agent_.offer(ConfigVersion{3});
    cluster.clock_.advance(milliseconds(50));

    cr_assert(cluster.nodes_[0]->agent_.version() == ConfigVersion{3});
}

Test(agent, store_down_at_start_takes_the_configuration_from_peers)
{
    Running cluster;
    cluster.apply("two");
    cr_assert(cluster.waitFor(2, seconds(5)).has_value());
    cluster.platform_.faults_.isDown_ = true;

    for (std::size_t i = 1; i < cluster.nodes_.size(); ++i)
        cluster.restart(i);

    cr_assert(cluster.waitFor(2, seconds(10)).has_value(), "all but one have restarted");
}

Test(agent, store_down_without_peers_puts_nothing_in_force)
{
    ConfigCluster cluster(1);
    cluster.platform_.faults_.isDown_ = true;

    cluster.clock_.advance(minutes(1));

    cr_assert_null(cluster.nodes_[0]->agent_.current());
}

Test(agent, new_process_takes_nothing_lower_than_what_it_heard_of)
{
    Running cluster(3);
    cluster.nodes_[2]->partition_ = 1;
    cluster.nodes_[2]->tables_.setCutOff(true);
    cluster.apply("two");
    cluster.clock_.advance(seconds(5));
    cr_assert(cluster.isInForce(2, 0));

    cluster.platform_.faults_.isDown_ = true;
    cluster.restart(1);
    cluster.nodes_[1]->partition_ = 1; // it can reach only the node that has version 1
    cluster.nodes_[1]->agent_.offer(ConfigVersion{2});
    cluster.clock_.advance(minutes(1));
    cr_assert_null(cluster.nodes_[1]->agent_.current(), "version 1 would revert the site");

    cluster.nodes_[1]->partition_ = 0;
    cluster.clock_.advance(seconds(5));
    cr_assert(cluster.nodes_[1]->agent_.version() == ConfigVersion{2});
}

Test(agent, stale_read_after_restart_is_not_put_in_force)
{
    Running cluster(1);
    const platform::Row old = *cluster.platform_.row(currentRow);
    cluster.apply("two");
    cr_assert(cluster.waitFor(2, seconds(5)).has_value());

    cluster.restart(0);
    cluster.nodes_[0]->tables_.staleRow_ = old;
    cluster.clock_.advance(seconds(20));
    cr_assert_null(cluster.nodes_[0]->agent_.current(), "version 1 would revert the site");
    cr_assert_gt(cluster.nodes_[0]->agent_.counts().staleReads_, 0);

    cluster.nodes_[0]->tables_.staleRow_.reset();
    cr_assert(cluster.waitFor(2, seconds(5)).has_value());
}

Test(agent, stale_read_while_running_changes_nothing)
{
    Running cluster(1);
    const platform::Row old = *cluster.platform_.row(currentRow);
    cluster.apply("two");
    cr_assert(cluster.waitFor(2, seconds(5)).has_value());

    cluster.nodes_[0]->tables_.staleRow_ = old;
    cluster.clock_.advance(seconds(20));

    cr_assert(cluster.isInForce(2));
    cr_assert(cluster.hasNeverReverted());
}

Test(agent, node_cut_off_from_the_store_follows_its_peers)
{
    Running cluster;
    cluster.nodes_[3]->tables_.setCutOff(true);

    cluster.apply("two");

    cr_assert(cluster.waitFor(2, seconds(5)).has_value());
}

Test(agent, partition_without_the_store_keeps_its_version_and_catches_up)
{
    Running cluster(6);
    for (std::size_t i = 3; i < 6; ++i) {
        cluster.nodes_[i]->partition_ = 1;
        cluster.nodes_[i]->tables_.setCutOff(true);
    }
    cluster.apply("two");
    cluster.clock_.advance(minutes(5));
    cr_assert(cluster.isInForce(2, 0));
    cr_assert(cluster.isInForce(1, 1));

    for (std::size_t i = 3; i < 6; ++i) {
        cluster.nodes_[i]->partition_ = 0;
        cluster.nodes_[i]->tables_.setCutOff(false);
    }

    cr_assert(cluster.waitFor(2, seconds(5)).has_value());
    cr_assert(cluster.hasNeverReverted());
}

Test(agent, answer_held_back_over_a_pause_does_not_revert)
{
    Running cluster(2);
    auto &node = *cluster.nodes_[0];
    node.tables_.isPaused_ = true;
    cluster.apply("two");
    cluster.clock_.advance(milliseconds(1400)); // its poll has read version 2, the answer is held
    cluster.apply("three");
    cr_assert(cluster.waitFor(3, seconds(5)).has_value(), "through its peer");

    node.tables_.resume();
    cluster.clock_.advance(seconds(3));

    cr_assert(cluster.isInForce(3));
    cr_assert(cluster.hasNeverReverted());
}

Test(agent, process_paused_across_versions_takes_the_latest)
{
    Running cluster(1);
    cluster.apply("two");
    cluster.apply("three");
    cluster.clock_.jump(minutes(10));

    cr_assert(cluster.waitFor(3, seconds(5)).has_value());
    cr_assert(cluster.nodes_[0]->versions_.back() == 3);
}

Test(agent, invalid_content_at_a_higher_version_is_reported_and_not_put_in_force)
{
    Running cluster;
    const std::string content
        = config::encode({{"base.toml", "deployment = \"x\"\nkey_of_a_later_release = 1\n"}, {}});
    config::ConfigRecord record{ConfigVersion{2}, config::contentHash(content), {}, {}, content};
    const auto row = cluster.platform_.row(currentRow)->version_;
    cr_assert(isOk(cluster.platform_.apply({WriterToken("later-release"),
                                            {{currentRow, row}},
                                            {{currentRow, config::encode(record)}}})));

    cluster.clock_.advance(seconds(10));

    cr_assert(cluster.isInForce(1));
    for (const auto &node : cluster.nodes_) {
        const bool isPollingNode = node->agent_.refused().has_value();
        if (isPollingNode)
            cr_assert(node->agent_.refused()->version_ == ConfigVersion{2});
    }
    const auto refusals = cluster.nodes_[0]->log_.forSubject("configuration");
    const auto count = std::count_if(refusals.begin(), refusals.end(), [](const auto &entry) {
        return entry.event_ == "config-refused";
    });
    cr_assert_leq(count, 1, "reported once, not at every poll");
}

Test(agent, version_after_a_refused_one_is_taken)
{
    Running cluster(1);
    const auto row = cluster.platform_.row(currentRow)->version_;
    config::ConfigRecord record{ConfigVersion{2}, config::contentHash("{}"), {}, {}, "{}"};
    cr_assert(isOk(cluster.platform_.apply(
        {WriterToken("x"), {{currentRow, row}}, {{currentRow, config::encode(record)}}})));
    cluster.clock_.advance(seconds(3));
    cr_assert(cluster.nodes_[0]->agent_.refused().has_value());

    const auto refusedRow = cluster.platform_.row(currentRow)->version_;
    const std::string content = config::encode(support::sampleSources("three"));
    record = {ConfigVersion{3}, config::contentHash(content), {}, {}, content};
    cr_assert(isOk(cluster.platform_.apply(
        {WriterToken("y"), {{currentRow, refusedRow}}, {{currentRow, config::encode(record)}}})));

    cr_assert(cluster.waitFor(3, seconds(5)).has_value());
    cr_assert_not(cluster.nodes_[0]->agent_.refused().has_value());
}

Test(agent, content_from_a_peer_that_does_not_match_its_hash_is_dropped)
{
    Running cluster(1);
    auto &agent = cluster.nodes_[0]->agent_;
    std::string text = *agent.encodedCurrent();
    text.replace(text.find("\"version\":1"), 11, "\"version\":9");
    text.replace(text.find("sample"), 6, "simple");
    agent.setPeerFetch([&](ConfigVersion, const Callback<std::string> &done) {
        cluster.clock_.schedule(milliseconds(1), [done, text] { done(text); });
    });

    agent.offer(ConfigVersion{9});
    cluster.clock_.advance(seconds(5));

    cr_assert(cluster.isInForce(1));
}

Test(agent, restart_of_all_nodes_finds_the_accepted_version)
{
    Running cluster;
    cluster.apply("two");
    cr_assert(cluster.waitFor(2, seconds(5)).has_value());

    for (std::size_t i = 0; i < cluster.nodes_.size(); ++i)
        cluster.restart(i);

    cr_assert(cluster.waitFor(2, seconds(5)).has_value());
}

Test(agent, poller_of_a_site_is_replaced_when_it_is_gone)
{
    const AvailabilityZone zone("lac");
    const std::vector<EntryId> members{EntryId("a"), EntryId("b"), EntryId("c"), EntryId("d")};
    std::vector<EntryId> pollers;
    for (const auto &member : members) {
        if (config::isConfigPoller(member, zone, members))
            pollers.push_back(member);
    }
    cr_assert_eq(pollers.size(), config::pollersPerSite);

    std::vector<EntryId> rest;
    for (const auto &member : members) {
        if (member != pollers.front())
            rest.push_back(member);
    }
    const auto count = std::count_if(rest.begin(), rest.end(), [&](const EntryId &member) {
        return config::isConfigPoller(member, zone, rest);
    });
    cr_assert_eq(count, config::pollersPerSite);
}
