// Decoding of configurations, endpoint entries and header fields, and encoding of header fields.
#include <platform/dialect.hpp>
#include <platform/store_format.hpp>

#include <algorithm>

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::adapter;
using namespace cardamombay::serving;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

using Fields = std::vector<net::HttpField>;

constexpr std::string_view configurationText = R"({"Version":7,
"Routes":[{"Name":"r","Host":"h.example","Prefix":"/a/","Kind":"streaming","TimeoutMs":8000,
"GoalMs":300,"Priority":1,"Backends":[{"Service":"lm","Weight":90},{"Service":"app","Weight":10}],
"MaxAttempts":2,"NoAuth":false,"Sticky":true,"Resumable":true,"GapTargetMs":250},
{"Name":"s","Host":"h.example","Prefix":"/b/","Kind":"idempotent","TimeoutMs":800,"GoalMs":150,
"Service":"app","MaxAttempts":2,"NoAuth":true}],
"Services":[{"Name":"lm","MaxConns":304,"Engine":{"Slots":26,"KvCapacity":1590000,"Stride":7,
"Models":[{"Name":"m","size":4,"Share":0.57,"pace":1.0,"LoadS":16.0,"WarmS":1.6}],"step_ms":5.95,
"per_seq_ms":0.0445,"context_per_k":0.00813,"read_per_s":50700.0,"LoadsPerS":4.5,
"loads_at_once":6,"far_x":2.5,"FormMs":300.0}},{"Name":"app","MaxConns":100}],
"Limits":{"MaxHeaderBytes":8192,"MaxBodyBytes":1048576,"HeaderTimeoutMs":3000,
"IdleTimeoutMs":15000},
"Tenants":[{"Name":"t","ApiKeys":["k1","k2"],"Priority":1},{"Name":"u","ApiKeys":["k3"]}]})";

std::string valueIn(const Fields &fields, std::string_view name)
{
    for (const auto &field : fields) {
        if (field.name_ == name)
            return field.value_;
    }
    return {};
}

bool has(const Fields &fields, std::string_view name)
{
    return std::any_of(fields.begin(), fields.end(),
                       [name](const auto &field) { return field.name_ == name; });
}

} // namespace

Test(store_format, configuration_is_decoded_whole)
{
    const auto decoded = PlatformFormat().configuration(configurationText);
    cr_assert(isOk(decoded));
    const auto &configuration = valueOf(decoded);
    cr_assert_eq(configuration.version_, ConfigVersion(7));
    const auto &route = configuration.routes_[0];
    cr_assert_eq(route.kind_, RequestKind::Stream);
    cr_assert(route.isResumable_ && route.needsKey_);
    cr_assert_eq(route.eventGapGoal_, milliseconds(250));
    cr_assert_eq(route.backends_[1], (Backend{ServiceName("app"), 10}));
    cr_assert_eq(configuration.routes_[1].kind_, RequestKind::Idempotent);
    cr_assert_eq(configuration.routes_[1].backends_[0].service_, ServiceName("app"));
    cr_assert_not(configuration.routes_[1].needsKey_);
    const auto &engine = *configuration.services_[0].engine_;
    cr_assert_eq(engine.slots_, 26);
    cr_assert_eq(engine.models_[0].members_, 4);
    cr_assert_eq(engine.models_[0].warmLoad_, milliseconds(1600));
    cr_assert_not(configuration.services_[1].engine_);
    cr_assert_eq(configuration.limits_.headerBytes_, 8192);
    cr_assert_eq(configuration.limits_.idleTime_, seconds(15));
    cr_assert_eq(*configuration.teams_[0].priority_, 1);
    cr_assert_not(configuration.teams_[1].priority_);
}

Test(store_format, usual_sizes_are_read_and_unknown_where_they_are_missing)
{
    const auto without = PlatformFormat().configuration(configurationText);
    cr_assert_eq(valueOf(without).services_[0].engine_->meanPromptTokens_, 0);
    std::string text(configurationText);
    const std::string before = "\"far_x\":2.5";
    text.replace(text.find(before), before.size(),
                 before + ",\"chunk\":512,\"usual\":{\"prompt\":1076,\"answer\":116}");
    const auto decoded = PlatformFormat().configuration(text);
    const auto &engine = *valueOf(decoded).services_[0].engine_;
    cr_assert_eq(engine.meanPromptTokens_, 1076);
    cr_assert_eq(engine.meanAnswerTokens_, 116);
    cr_assert_eq(engine.prefillChunkTokens_, 512);
}

Test(store_format, invalid_configuration_text_is_an_error)
{
    for (const auto *text : {"", "{", "[]", "{}", R"({"Version":0})"})
        cr_assert(isError<MalformedMessage>(PlatformFormat().configuration(text)));
}

Test(store_format, entry_is_decoded_with_its_group)
{
    const auto decoded = PlatformFormat().endpoint(VmId("i-1"), R"({"Service":"lm",
"Address":"10.1.0.9:8080","Zone":"z","Slots":26,"State":"ready","Models":[{"Name":"m","Version":1}],
"Domain":"z-d0","Staged":["m"],"SeqNo":4,"group":{"Name":"m.3","epoch":3,"rank":1,"State":"ready"}})");
    cr_assert(isOk(decoded));
    const auto &endpoint = valueOf(decoded);
    cr_assert_eq(endpoint.address_, (Address{"10.1.0.9", 8080}));
    cr_assert_not(endpoint.isDraining_);
    cr_assert(endpoint.hasStaged(ModelName("m")));
    cr_assert_eq(endpoint.membership_->epoch_, 3);
    cr_assert_eq(endpoint.membership_->state_, MemberState::Ready);
}

Test(store_format, entry_that_is_not_ready_is_draining_and_one_without_address_is_rejected)
{
    const PlatformFormat format;
    const auto leaving = format.endpoint(
        VmId("i"),
        R"({"Service":"s","Address":"10.1.0.9:8080","Zone":"z","Slots":6,"State":"draining"})");
    cr_assert(isOk(leaving));
    cr_assert(valueOf(leaving).isDraining_);
    cr_assert(isError<MalformedMessage>(
        format.endpoint(VmId("i"), R"({"Service":"s","Zone":"z","Slots":6,"State":"ready"})")));
}

Test(store_format, start_time_of_an_endpoint_is_read_and_zero_if_missing)
{
    const PlatformFormat format;
    const std::string rest
        = R"("Service":"s","Address":"10.1.0.9:8080","Zone":"z","Slots":6,"State":"ready"})";
    const auto born = format.endpoint(VmId("i"), R"({"born":1790000000123,)" + rest);
    cr_assert_eq(valueOf(born).startedAt_, 1790000000123U);
    cr_assert_eq(valueOf(format.endpoint(VmId("i"), "{" + rest)).startedAt_, 0);
}

namespace {

/// A valid engine entry with \p field set to the JSON \p value, or omitted if \p value is empty.
std::string entryWith(const std::string &field, const std::string &value)
{
    const std::vector<std::pair<std::string, std::string>> validFields{
        {"Service", R"("lm")"},
        {"Address", R"("10.1.0.9:8080")"},
        {"Zone", R"("z")"},
        {"Version", R"("v1")"},
        {"Slots", "26"},
        {"State", R"("ready")"},
        {"SeqNo", "4"},
        {"Stage", R"("both")"},
        {"Models", R"([{"Name":"m","Version":1}])"},
        {"Domain", R"("z-d0")"},
        {"Staged", R"(["m"])"},
        {"born", "1790000000123"},
        {"group", R"({"Name":"m.3","epoch":3,"rank":1,"State":"ready"})"}};
    std::string result;
    for (const auto &[name, validValue] : validFields) {
        const auto &text = name == field ? value : validValue;
        if (!text.empty())
            result += (result.empty() ? "{\"" : ",\"") + name + "\":" + text;
    }
    return result + "}";
}

} // namespace

Test(store_format, cold_starts_of_services_and_endpoints_are_read)
{
    std::string text(configurationText);
    const std::string before = "\"MaxConns\":304,";
    text.insert(text.find(before), "\"ColdStartS\":3.0,\"ColdPerS\":17.0,");
    const auto decoded = PlatformFormat().configuration(text);
    cr_assert_eq(valueOf(decoded).services_[0].coldStart_, seconds(3));
    cr_assert_eq(valueOf(decoded).services_[0].coldRequestsPerSecond_, 17);
    cr_assert_eq(valueOf(decoded).services_[1].coldRequestsPerSecond_, 0);
    const auto coldFor = [](const std::string &value) {
        const auto entry = PlatformFormat().endpoint(
            VmId("i-1"), R"({"Service":"lm","Address":"10.1.0.9:8080","Zone":"z","Slots":26,)"
                         R"("State":"ready","ColdLeftMs":)"
                             + value + "}");
        return isOk(entry) ? std::optional(valueOf(entry).coldFor_) : std::nullopt;
    };
    cr_assert_eq(*coldFor("1250"), milliseconds(1250));
    cr_assert_eq(*coldFor("0"), Duration::zero());
    cr_assert_gt(coldFor("-5")->count(), Duration(seconds(60)).count());
    cr_assert_gt(coldFor("1e300")->count(), Duration(seconds(60)).count());
    cr_assert_not(coldFor("\"soon\""));
}

Test(store_format, regions_of_routes_and_teams_are_read)
{
    std::string text(configurationText);
    text.insert(text.find("\"Name\":\"s\""), "\"AllowedRegions\":[\"north\",\"south\"],");
    text.insert(text.find("\"Name\":\"u\""), "\"AllowedRegions\":[\"south\"],");
    const auto decoded = PlatformFormat().configuration(text);
    const auto &configuration = valueOf(decoded);
    const RegionRestriction both({RegionName("north"), RegionName("south")});
    cr_assert(configuration.routes_[0].regions_.isUnrestricted());
    cr_assert_eq(configuration.routes_[1].regions_, both);
    cr_assert(configuration.teams_[0].regions_.isUnrestricted());
    cr_assert_eq(configuration.teams_[1].regions_, RegionRestriction({RegionName("south")}));
}

Test(store_format, rows_in_the_configuration_table_name_evacuated_zones)
{
    const PlatformFormat format;
    cr_assert_eq(*format.evacuatedZone("evacuate/z-1"), AvailabilityZone("z-1"));
    cr_assert(format.evacuatedZone("evacuate/")->isEmpty());
    cr_assert_not(format.evacuatedZone("config"));
}

Test(store_format, invalid_entries_are_rejected)
{
    const PlatformFormat format;
    cr_assert(isOk(format.endpoint(VmId("i"), entryWith("", ""))));
    const std::vector<std::pair<std::string, std::vector<std::string>>> invalidValues{
        {"Service", {"", "7", "null", R"("")", "[]"}},
        {"Address", {"", "8080", R"("")", R"("here")", R"("10.1.0.9")", R"("10.1.0.9:99999")"}},
        {"Zone", {"", "{}", R"("")"}},
        {"Slots", {"", "0", "-1", "2.5", "1e300", R"("26")", "null"}},
        {"State", {"", R"("asleep")", "1", R"("READY")"}},
        {"SeqNo", {"-1", "0.5", "1e19", R"("4")"}},
        {"born", {"-5", "1790000000123.5", "1e40", R"("1790000000123")", "null"}},
        {"Domain", {"3", "null"}},
        {"Staged", {R"("m")", "[1]", R"([""])"}},
        {"Models", {"{}", R"(["m"])", R"([{"Name":3}])", "[{}]"}},
        {"group",
         {R"("m.3")", "[]", R"({"epoch":3,"rank":1,"State":"ready"})",
          R"({"Name":"m.3","epoch":-3,"rank":1,"State":"ready"})",
          R"({"Name":"m.3","epoch":3,"rank":1e99,"State":"ready"})",
          R"({"Name":"m.3","epoch":3,"rank":1,"State":"dozing"})"}}};
    for (const auto &[field, values] : invalidValues) {
        for (const auto &value : values)
            cr_assert(
                isError<MalformedMessage>(format.endpoint(VmId("i"), entryWith(field, value))),
                "%s: %s", field.c_str(), value.c_str());
    }
    for (const std::string &text :
         {std::string(), std::string("\0\xff\xfe", 3), std::string("[]"), std::string("{"),
          std::string("null"), std::string("\xc3\x28{}")})
        cr_assert(isError<MalformedMessage>(format.endpoint(VmId("i"), text)));
}

Test(dialect, request_head_is_parsed)
{
    const Fields fields{
        {"x-request-id", "r"},     {"Host", "h"},          {"Authorization", "Bearer k1"},
        {"X-Deadline-Ms", "1500"}, {"X-Model", "m"},       {"X-Token-Counts", "1460,80"},
        {"X-Length-Hint", "40"},   {"Last-Event-Id", "12"}};
    const auto head = PlatformDialect().parseRequestHead(fields);
    cr_assert_eq(head.request_, RequestId("r"));
    cr_assert_eq(head.key_, "k1");
    cr_assert_eq(*head.patience_, milliseconds(1500));
    cr_assert_eq(head.promptTokens_, 1460);
    cr_assert_eq(head.maxAnswerTokens_, 80);
    cr_assert_eq(head.expectedAnswerTokens_, 40);
    cr_assert_eq(*head.lastEvent_, 12);
}

Test(dialect, unreadable_values_count_as_absent)
{
    const Fields fields{{"X-Deadline-Ms", "soon"}, {"X-Token-Counts", "7"}, {"Authorization", "k"}};
    const auto head = PlatformDialect().parseRequestHead(fields);
    cr_assert_not(head.patience_);
    cr_assert_eq(head.promptTokens_, 0);
    cr_assert(head.key_.empty());
}

Test(dialect, key_and_connection_fields_never_reach_the_endpoint)
{
    const Fields fields{{"Authorization", "Bearer k"},
                        {"Connection", "close, X-Hop"},
                        {"X-Hop", "1"},
                        {"Keep-Alive", "timeout=5"},
                        {"X-Tenant", "forged"},
                        {"X-Expect-Instance", "forged"},
                        {"X-Kept", "yes"},
                        {"Last-Event-Id", "3"}};
    AttemptHead attempt;
    attempt.endpoint_ = VmId("i-1");
    attempt.team_ = TeamName("t");
    attempt.patience_ = seconds(2);
    attempt.lastEvent_ = 9;
    const auto result = PlatformDialect().attemptFields(fields, attempt);
    for (const auto *name : {"Authorization", "Connection", "X-Hop", "Keep-Alive"})
        cr_assert_not(has(result, name));
    cr_assert_eq(valueIn(result, "X-Tenant"), "t");
    cr_assert_eq(valueIn(result, "X-Expect-Instance"), "i-1");
    cr_assert_eq(valueIn(result, "X-Deadline-Ms"), "2000");
    cr_assert_eq(valueIn(result, "Last-Event-Id"), "9");
    cr_assert_eq(valueIn(result, "X-Kept"), "yes");
}

Test(dialect, relayed_requests_keep_the_key_and_the_callers_own_fields)
{
    const std::vector<net::HttpField> fields{{"Host", "h"},
                                             {"Authorization", "Bearer k"},
                                             {"X-Request-Id", "r"},
                                             {"Connection", "close, X-Hop"},
                                             {"X-Hop", "1"},
                                             {"Content-Length", "3"},
                                             {"X-Deadline-Ms", "5000"},
                                             {"Last-Event-Id", "3"}};
    const auto result = PlatformDialect().relayFields(fields, {milliseconds(1500), 9});
    for (const auto *name : {"Connection", "X-Hop", "Content-Length"})
        cr_assert_not(has(result, name));
    cr_assert_eq(valueIn(result, "Authorization"), "Bearer k");
    cr_assert_eq(valueIn(result, "X-Request-Id"), "r");
    cr_assert_eq(valueIn(result, "X-Deadline-Ms"), "1500");
    cr_assert_eq(valueIn(result, "Last-Event-Id"), "9");
}

Test(dialect, refusals_of_endpoints_are_distinguished_from_failures)
{
    const PlatformDialect dialect;
    cr_assert(dialect.parseResponseHead({503, {{"X-Not-Executed", "1"}}, {}}).isRefused_);
    cr_assert(dialect.parseResponseHead({421, {}, {}}).isRefused_);
    cr_assert_not(dialect.parseResponseHead({503, {}, {}}).isRefused_);
    cr_assert_not(dialect.parseResponseHead({500, {}, {}}).isRefused_);
    cr_assert(dialect.parseResponseHead({200, {{"X-Response-Seal", "s"}}, {}}).isSealed_);
}

Test(dialect, rate_limits_are_read_from_responses)
{
    const PlatformDialect dialect;
    const auto read = [&dialect](std::vector<net::HttpField> fields) {
        return dialect.parseResponseHead({200, std::move(fields), {}});
    };
    cr_assert_eq(read({{"server-limit", "1.9"}}).notices_.requestsPerSecond_.value(), 1.9);
    cr_assert_eq(read({{"Server-Limit", "0"}}).notices_.requestsPerSecond_.value(), 0);
    cr_assert_not(read({}).notices_.requestsPerSecond_.has_value());
    cr_assert_not(read({}).notices_.isLimitUnreadable_);
}

Test(dialect, an_invalid_rate_limit_counts_as_unreadable)
{
    const PlatformDialect dialect;
    for (const auto *text : {"", "-1", "nan", "inf", "1e999", "2, 3", "2 a second", "two"}) {
        const auto head = dialect.parseResponseHead({200, {{"Server-Limit", text}}, {}});
        cr_expect(head.notices_.isLimitUnreadable_, "%s", text);
        cr_expect_not(head.notices_.requestsPerSecond_.has_value(), "%s", text);
    }
    const auto two
        = dialect.parseResponseHead({200, {{"Server-Limit", "2"}, {"Server-Limit", "3"}}, {}});
    cr_expect(two.notices_.isLimitUnreadable_);
    cr_expect_not(two.notices_.requestsPerSecond_.has_value());
}

Test(dialect, cooldowns_are_read_from_refusals_only)
{
    const PlatformDialect dialect;
    const auto read = [&dialect](std::uint32_t status, std::vector<net::HttpField> fields) {
        return dialect.parseResponseHead({status, std::move(fields), {}}).notices_;
    };
    cr_assert_eq(read(503, {{"retry-after", "3"}}).cooldown_, Duration(seconds(3)));
    cr_assert_eq(read(503, {{"Retry-After", "0.6"}}).cooldown_, Duration(milliseconds(600)));
    cr_assert_eq(read(429, {{"Retry-After", "2"}}).cooldown_, Duration(seconds(2)));
    cr_assert_eq(read(503, {{"Retry-After", "0"}}).cooldown_, Duration());
    cr_assert_not(read(200, {{"Retry-After", "3"}}).cooldown_.has_value());
    cr_assert_not(read(500, {{"Retry-After", "3"}}).cooldown_.has_value());
    cr_assert_not(read(503, {}).cooldown_.has_value());
    cr_assert_not(read(503, {}).isCooldownUnreadable_);
}

Test(dialect, an_invalid_cooldown_counts_as_unreadable)
{
    const PlatformDialect dialect;
    for (const auto *text : {"", "-1", "nan", "inf", "2, 3", "Wed, 21 Oct 2026 07:28:00 GMT"}) {
        const auto notices = dialect.parseResponseHead({503, {{"Retry-After", text}}, {}}).notices_;
        cr_expect(notices.isCooldownUnreadable_, "%s", text);
        cr_expect_not(notices.cooldown_.has_value(), "%s", text);
    }
    const auto huge = dialect.parseResponseHead({503, {{"Retry-After", "1e300"}}, {}}).notices_;
    cr_expect_gt(huge.cooldown_.value(), Duration(std::chrono::hours(24)));
}

Test(dialect, leaving_endpoint_is_recognized_in_any_response)
{
    const PlatformDialect dialect;
    for (const std::uint32_t status : {200U, 500U, 503U}) {
        const auto leaves = dialect.parseResponseHead({status, {{"server-leaving", "1"}}, {}});
        cr_expect(leaves.notices_.isLeaving_, "%u", status);
        cr_expect_not(dialect.parseResponseHead({status, {}, {}}).notices_.isLeaving_, "%u",
                      status);
    }
    cr_expect_not(
        dialect.parseResponseHead({200, {{"Server-Leaving", "0"}}, {}}).notices_.isLeaving_);
}

Test(dialect, generated_failures_carry_retry_after_and_no_seal)
{
    const auto response = PlatformDialect().failure(503, "full", milliseconds(60));
    cr_assert_eq(response.field("Retry-After"), "0.060");
    cr_assert_eq(response.field("X-Response-Seal"), "");
}
