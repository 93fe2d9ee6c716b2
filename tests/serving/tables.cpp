// Route table, endpoint book, load board, peer digests, engine model and gateway settings.
#include "support/gateway_fixture.hpp"

#include <cardamombay/serving/engine_model.hpp>
#include <cardamombay/serving/gateway_settings.hpp>
#include <cardamombay/serving/peer_digests.hpp>

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::serving;
using namespace cardamombay::support;
using std::chrono::milliseconds;
using std::chrono::seconds;

Test(route_table, longest_prefix_of_the_host_wins)
{
    Configuration configuration;
    for (const auto *prefix : {"/a/", "/a/b/", "/"}) {
        Route route;
        route.host_ = "Studio.example";
        route.prefix_ = prefix;
        route.name_ = prefix;
        configuration.routes_.push_back(route);
    }
    const RouteTable table(configuration);
    cr_assert_eq(table.route("studio.example:80", "/a/b/c?x=/q/")->name_, "/a/b/");
    cr_assert_eq(table.route("studio.example", "/a/c")->name_, "/a/");
    cr_assert_eq(table.route("studio.example", "/ab")->name_, "/");
    cr_assert_null(table.route("other.example", "/a/"));
}

Test(route_table, backends_are_chosen_by_weight)
{
    Route route;
    route.backends_ = {{ServiceName("a"), 90}, {ServiceName("b"), 10}};
    cr_assert_eq(chooseBackend(route, 0)->service_, ServiceName("a"));
    cr_assert_eq(chooseBackend(route, 0.89)->service_, ServiceName("a"));
    cr_assert_eq(chooseBackend(route, 0.91)->service_, ServiceName("b"));
    route.backends_ = {{ServiceName("a"), 0}};
    cr_assert_null(chooseBackend(route, 0));
}

Test(endpoint_book, entry_missing_after_an_outage_has_a_grace_period)
{
    EndpointRegistry book;
    const TimePoint now{seconds(100)};
    book.put(spareEngine("a", "d"));
    book.put(spareEngine("b", "d"));
    book.tolerateAbsence(now + seconds(2));
    book.remove(VmId("a"), now);
    book.remove(VmId("b"), now);
    book.expire(now + seconds(1));
    cr_assert_not_null(book.find(VmId("a")));
    book.put(spareEngine("a", "d"));
    book.expire(now + seconds(2));
    cr_assert_not_null(book.find(VmId("a")));
    cr_assert_null(book.find(VmId("b")));
}

Test(endpoint_book, entry_removed_otherwise_is_gone_immediately)
{
    EndpointRegistry book;
    book.put(spareEngine("a", "d"));
    const auto before = book.revision();
    book.remove(VmId("a"), TimePoint{seconds(100)});
    cr_assert_null(book.find(VmId("a")));
    cr_assert_gt(book.revision(), before);
}

Test(endpoint_book, engine_keeps_the_model_of_its_last_group_until_it_starts_anew)
{
    EndpointRegistry book;
    const auto group = GroupName("m.1");
    book.put(engineIn("e", "d", group, 1, 0, MemberState::Joining));
    book.put(engineIn("e", "d", group, 1, 0, MemberState::Ready));
    auto spare = engineIn("e", "d", group, 1, 0, MemberState::Ready);
    spare.membership_.reset();
    spare.model_ = {};
    book.put(spare);
    cr_assert_eq(book.find(VmId("e"))->model_, ModelName("m"));
    const auto revision = book.revision();
    book.put(spare);
    cr_assert_eq(book.revision(), revision);
    book.put(spareEngine("f", "d", "m"));
    cr_assert(book.find(VmId("f"))->model_.isEmpty());
}

Test(load_board, loads_of_silent_peers_expire)
{
    LoadTracker board;
    const VmId endpoint("e");
    const TimePoint now{seconds(100)};
    board.started(endpoint, 500, now);
    board.setPeerLoad("p", {{{endpoint, 3}}, {}, {}, now});
    cr_assert_eq(board.totalRequests(endpoint), 4);
    board.expire(now + seconds(2));
    cr_assert_eq(board.totalRequests(endpoint), 1);
}

Test(load_board, unprocessed_tokens_of_all_entry_vms_decrease_at_the_expected_rate)
{
    LoadTracker board;
    const VmId endpoint("e");
    const TimePoint now{seconds(100)};
    board.started(endpoint, 500, now);
    board.setPeerLoad("p", {{}, {{endpoint, 9000}}, {}, now});
    board.setPeerLoad("p", {{}, {{endpoint, 9300}}, {}, now});
    cr_assert_float_eq(board.pendingPromptTokens(endpoint, 1000, now), 800, 1);
    cr_assert_float_eq(board.pendingPromptTokens(endpoint, 1000, now + milliseconds(300)), 500, 1);
    cr_assert_float_eq(board.pendingPromptTokens(endpoint, 1000, now + seconds(2)), 0, 1);
}

Test(load_board, failing_endpoint_is_avoided_and_then_tried_with_one_request)
{
    LoadTracker board;
    const VmId endpoint("e");
    const TimePoint now{seconds(100)};
    board.failed(endpoint, now);
    cr_assert_not(board.isUsable(endpoint, now + milliseconds(400)));
    const auto later = now + milliseconds(600);
    cr_assert(board.isUsable(endpoint, later));
    board.started(endpoint, 0, now);
    cr_assert_not(board.isUsable(endpoint, later));
    board.progressed(endpoint, later);
    cr_assert(board.isUsable(endpoint, later));
}

Test(load_board, plain_endpoint_is_avoided_only_after_several_errors)
{
    LoadTracker board;
    const VmId endpoint("e");
    const TimePoint now{seconds(100)};
    for (int i = 0; i < 3; ++i)
        board.erred(endpoint, LoadTracker::plainErrorWeight, now);
    cr_assert(board.isUsable(endpoint, now));
    board.erred(endpoint, LoadTracker::plainErrorWeight, now);
    cr_assert_not(board.isUsable(endpoint, now));
}

Test(load_board, endpoint_that_fails_repeatedly_is_avoided_for_longer)
{
    LoadTracker board;
    const VmId endpoint("e");
    TimePoint now{seconds(100)};
    for (int i = 0; i < 3; ++i) {
        board.failed(endpoint, now);
        now += seconds(2);
        board.progressed(endpoint, now);
        board.succeeded(endpoint);
        board.failed(endpoint, now);
    }
    cr_assert_not(board.isUsable(endpoint, now + milliseconds(900)));
}

/// Guards against a peer without a path making an endpoint unusable for all.
Test(load_board, reported_crash_is_void_once_the_endpoint_sends_data)
{
    LoadTracker board;
    const EndpointIncarnation endpoint{VmId("e"), 3};
    const TimePoint start{seconds(100)};
    const auto send = board.started(endpoint.id_, 0, start);
    board.reportedCrashed(endpoint, start);
    cr_assert(board.hasCrashed(endpoint.id_, 3));
    board.progressed(endpoint.id_, start + milliseconds(10));
    cr_assert(board.hasCrashed(endpoint.id_, 3), "data from before the crash may arrive late");
    board.progressed(endpoint.id_, start + milliseconds(80));
    board.reportedCrashed(endpoint, start + milliseconds(100));
    cr_assert_not(board.hasCrashed(endpoint.id_, 3));
    board.ended(endpoint.id_, send);
}

Test(load_board, retracted_report_of_a_crash_is_void)
{
    LoadTracker board;
    const EndpointIncarnation endpoint{VmId("e"), 3};
    const TimePoint start{seconds(100)};
    board.reportedCrashed(endpoint, start);
    board.crashRetracted({VmId("e"), 2});
    cr_assert(board.hasCrashed(endpoint.id_, 3));
    board.crashRetracted(endpoint);
    cr_assert_not(board.hasCrashed(endpoint.id_, 3));
}

Test(load_board, inquired_endpoint_is_witnessed_once_it_sends_data_after_the_inquiry)
{
    LoadTracker board;
    const VmId endpoint("e");
    const TimePoint start{seconds(100)};
    board.progressed(endpoint, start);
    LoadTracker::PeerLoad load;
    load.inquired_ = {endpoint};
    load.at_ = start + milliseconds(10);
    board.setPeerLoad("peer", load);
    cr_assert(board.locallyWitnessed(start + milliseconds(20)).empty());
    board.progressed(endpoint, start + milliseconds(30));
    cr_assert(board.locallyWitnessed(start + milliseconds(40)).empty(),
              "data from before a crash may arrive late");
    board.progressed(endpoint, start + milliseconds(70));
    cr_assert_eq(board.locallyWitnessed(start + milliseconds(80)).size(), 1);
    cr_assert(board.locallyWitnessed(start + milliseconds(400)).empty());
}

/// Guards against the evidence of a crash being withdrawn because the restarted endpoint is heard.
Test(load_board, restarted_endpoint_is_no_witness_against_the_crash_of_the_earlier_one)
{
    LoadTracker board;
    const VmId endpoint("e");
    const TimePoint start{seconds(100)};
    LoadTracker::PeerLoad load;
    load.inquired_ = {endpoint};
    load.at_ = start;
    board.setPeerLoad("peer", load);
    board.restarted(endpoint, start + milliseconds(100));
    board.progressed(endpoint, start + milliseconds(200));
    cr_assert(board.locallyWitnessed(start + milliseconds(210)).empty());
    board.expire(start + seconds(6));
    load.at_ = start + seconds(6);
    board.setPeerLoad("peer", load);
    board.progressed(endpoint, start + seconds(7));
    cr_assert_eq(board.locallyWitnessed(start + seconds(7)).size(), 1);
}

Test(peer_digests, digest_round_trips)
{
    LoadDigest digest;
    digest.from_ = EntryId("entry-1");
    digest.underWay_ = {{VmId("e"), 3}};
    digest.sent_ = {{VmId("e"), 1500}};
    digest.silent_ = {VmId("s")};
    digest.demand_ = {{ModelName("m"), 1.5}};
    digest.partitioned_ = {EntryId("entry-2")};
    digest.inquired_ = {VmId("i")};
    digest.witnessed_ = {VmId("w"), VmId("v")};
    digest.poison_.retracted_ = {{VmId("r"), 7}};
    digest.isDraining_ = true;
    digest.address_ = {"10.0.0.1", 7340};
    digest.zone_ = AvailabilityZone("zone-a");
    digest.endpoints_ = RowVersion(8);
    digest.retries_ = {{ServiceName("plain"), {40, 3}}};
    digest.relay_ = RelayState{ConfigVersion(3), milliseconds(40), RowVersion(9), milliseconds(50)};
    const auto decoded = decodeLoadDigest(encode(digest));
    cr_assert(decoded);
    cr_assert(*decoded == digest);
}

Test(peer_digests, summary_round_trips)
{
    LoadSummary summary;
    summary.sum_.from_ = EntryId("entry-1");
    summary.sum_.underWay_ = {{VmId("e"), 3}};
    summary.since_ = Incarnation(77);
    summary.isOfZone_ = true;
    summary.roster_ = {{EntryId("entry-2"), {"10.0.0.2", 7340}, AvailabilityZone("zone-b")}};
    const auto decoded = decodeLoadSummary(encode(summary));
    cr_assert(decoded);
    cr_assert(*decoded == summary);
    cr_assert_not(decodeLoadDigest(encode(summary)));
    cr_assert_not(decodeLoadSummary("{\"method\":\"summary\",\"params\":{\"sum\":{}}}"));
}

Test(peer_digests, alarm_round_trips)
{
    const SilenceAlarm alarm{EntryId("entry-1"), {VmId("s"), VmId("t")}};
    const auto decoded = decodeSilenceAlarm(encode(alarm));
    cr_assert(decoded);
    cr_assert(*decoded == alarm);
    cr_assert_not(decodeLoadDigest(encode(alarm)));
}

Test(peer_digests, other_messages_are_not_digests)
{
    for (const auto *text : {"", "{", "[]", "{\"method\":\"load\"}", "{\"method\":1,\"params\":{}}",
                             "{\"method\":\"load\",\"params\":{\"from\":7}}"})
        cr_assert_not(decodeLoadDigest(text));
}

Test(peer_digests, relayed_changes_fit_into_datagrams_and_are_contiguous)
{
    EndpointRelay relay{RowVersion(4), RowVersion(20), {}};
    for (std::uint64_t version = 5; version <= 20; ++version) {
        auto endpoint = engineIn("i-01234567" + std::to_string(version), "a-long-fabric-domain",
                                 GroupName("a-long-model." + std::to_string(version)), version, 3,
                                 MemberState::Closing);
        endpoint.isDraining_ = true;
        const auto id = endpoint.id_;
        relay.changes_.push_back({id, RowVersion(version), std::move(endpoint)});
        if (version == 7)
            relay.changes_.back().endpoint_.reset();
    }
    auto reached = relay.after_;
    std::vector<EndpointChange> changes;
    for (const auto &part : splitRelay(relay)) {
        const auto text = encode(part);
        cr_assert_lt(text.size(), 1500);
        const auto decoded = decodeEndpointRelay(text);
        cr_assert(decoded);
        cr_assert_eq(decoded->after_, reached);
        reached = decoded->to_;
        changes.insert(changes.end(), decoded->changes_.begin(), decoded->changes_.end());
    }
    cr_assert_eq(reached, RowVersion(20));
    cr_assert(changes == relay.changes_);
}

Test(peer_digests, malformed_relayed_entry_is_not_decoded_as_a_removal)
{
    const auto relayed = [](const std::string &entry) {
        return decodeEndpointRelay(R"({"jsonrpc":"2.0","method":"endpoints","params":{"after":4,)"
                                   R"("to":6,"entries":[)"
                                   + entry + "]}}");
    };
    const auto end = relayed(R"(["i",5])");
    cr_assert(end);
    cr_assert_not(end->changes_.front().endpoint_);
    cr_assert_not(relayed(R"(["i",5,"lm","10.0.0.9:80","a","d",26,false,"m",["m"],"m.1",1,0,2])"));
}

Test(engine_model, event_gap_grows_with_the_batch_and_prefill_with_the_prompt)
{
    const auto profile = *gatewayConfiguration().services_.front().engine_;
    const EngineModel model(profile, profile.models_.front());
    cr_assert_eq(toMilliseconds(model.eventInterval(1, 0)), 42);
    cr_assert_eq(toMilliseconds(model.prefillTime(5000)), 100);
    cr_assert_geq(model.maxEventInterval(), model.eventInterval(profile.slots_, 1500));
}

Test(gateway_settings, invalid_values_are_rejected_with_position_and_remedy)
{
    const auto parsed = parseGatewaySettings("entry = \"e\"\nzone = \"z\"\ncharts = 7\n", "s.toml");
    cr_assert_not(isOk(parsed));
    const auto &error = std::get<InvalidInput>(errorOf(parsed));
    cr_assert_eq(error.position_.file_, "s.toml");
    cr_assert_not(error.remedy_.empty());
}

Test(gateway_settings, bounds_are_read)
{
    const auto parsed = parseGatewaySettings(R"(
entry = "e"
zone = "z"
[listen]
callers = "10.0.0.1:80"
readiness = "10.0.0.1:81"
metrics = "10.0.0.1:82"
digests = "10.0.0.1:83"
[store]
address = "10.0.0.9:1"
[bounds]
stop_within = "8s"
revoke_within = "5000ms"
retry_share = 0.2
retry_window = "10s"
retry_reserve = 132
)",
                                             "s.toml");
    cr_assert(isOk(parsed));
    cr_assert_eq(valueOf(parsed).bounds_.longestUnconfirmed_, seconds(4));
    cr_assert_eq(valueOf(parsed).bounds_.retryReserve_, 132);
    cr_assert_eq(valueOf(parsed).grace_, seconds(8));
}

Test(gateway_settings, regions_of_zones_are_read_and_their_names_checked)
{
    const std::string text = R"(
entry = "e"
zone = "z-1"
[listen]
callers = "10.0.0.1:80"
readiness = "10.0.0.1:81"
digests = "10.0.0.1:83"
[store]
address = "10.0.0.9:1"
[regions]
"z-1" = "north"
"z.2" = )";
    const auto parsed = parseGatewaySettings(text + "\"south\"\n", "s.toml");
    cr_assert(isOk(parsed));
    const auto &regions = valueOf(parsed).regions_;
    cr_assert_eq(regions.at(AvailabilityZone("z-1")), RegionName("north"));
    cr_assert_eq(regions.at(AvailabilityZone("z.2")), RegionName("south"));
    cr_assert_not(isOk(parseGatewaySettings(text + "7\n", "s.toml")));
}

Test(gateway_settings, bounds_of_answers_are_read)
{
    const std::string text = "entry = \"e\"\nzone = \"z\"\n[listen]\ncallers = \"10.0.0.1:80\"\n"
                             "readiness = \"10.0.0.1:81\"\ndigests = \"10.0.0.1:82\"\n[store]\n"
                             "address = \"10.0.0.2:80\"\n[machine]\nmemory_mb = 160\n[bounds]\n";
    const auto parsed
        = parseGatewaySettings(text + "answer_bytes = 4096\nevent_bytes = 2048\n", "s.toml");
    cr_assert(isOk(parsed));
    cr_expect_eq(valueOf(parsed).bounds_.answerBytes_, 4096);
    cr_expect_eq(valueOf(parsed).bounds_.eventBytes_, 2048);
    cr_expect_eq(valueOf(parsed).bounds_.answerBufferBytes_, std::size_t{10} << 20U);
    cr_expect_not(isOk(parseGatewaySettings(text + "event_bytes = 8388609\n", "s.toml")));
}

Test(gateway_settings, bounds_may_be_fractions)
{
    const auto parsed = parseGatewaySettings(R"(
entry = "e"
zone = "z"
[listen]
callers = "10.0.0.1:80"
readiness = "10.0.0.1:81"
digests = "10.0.0.1:83"
[store]
address = "10.0.0.9:1"
[machine]
cores = 0.12
link_mbps = 20
memory_mb = 96.5
descriptors = 4100
[bounds]
stop_within = "7.5s"
revoke_within = "4000.5ms"
retry_share = 0
retry_window = "10.0s"
retry_reserve = 41.33
)",
                                             "s.toml");
    cr_assert(isOk(parsed), "%s", isOk(parsed) ? "" : messageOf(errorOf(parsed)).c_str());
    const auto &settings = valueOf(parsed);
    cr_assert_eq(settings.grace_, milliseconds(7500));
    cr_assert_eq(settings.bounds_.retryWindow_, seconds(10));
    cr_assert_float_eq(settings.bounds_.retryReserve_, 41.33, 1e-9);
    cr_assert_float_eq(settings.cores_, 0.12, 1e-9);
    // An eighth of 96.5 MB.
    cr_assert_eq(settings.bounds_.callerBufferBytes_, 12'648'448);
    // Three eighths of it.
    cr_assert_eq(settings.inputBytes_, 37'945'344);
    cr_assert_eq(settings.descriptors_, 4100);
}
