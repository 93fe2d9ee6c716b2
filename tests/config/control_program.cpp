// The operators' program against the real platform stand-in and a scripted entry VM.
#include "support/http_listener.hpp"
#include "support/process_harness.hpp"

#include <cardamombay/admin/admin_ack.hpp>
#include <cardamombay/admin/admin_config.hpp>
#include <cardamombay/admin/admin_event.hpp>
#include <cardamombay/admin/admin_group.hpp>
#include <cardamombay/admin/admin_status.hpp>
#include <cardamombay/cli/control_program.hpp>
#include <cardamombay/cli/exit_code.hpp>
#include <cardamombay/config/address_text.hpp>
#include <cardamombay/net/asio_http_client.hpp>

#include <boost/asio/io_context.hpp>

#include <atomic>
#include <map>
#include <mutex>
#include <sstream>
#include <thread>

#include <criterion/criterion.h>

using namespace cardamombay;
using support::ProcessHarness;

namespace {

struct Outcome
{
    int code_ = 0;
    std::string out_;
    std::string err_;

    [[nodiscard]] bool says(const std::string &text) const
    {
        return (out_ + err_).find(text) != std::string::npos;
    }
};

Outcome run(std::vector<std::string> arguments)
{
    arguments.insert(arguments.begin(), "cardamombayctl");
    std::vector<const char *> raw;
    for (const auto &argument : arguments)
        raw.push_back(argument.c_str());
    raw.push_back(nullptr);
    std::ostringstream out;
    std::ostringstream err;
    const int code
        = cli::runControlProgram(static_cast<int>(arguments.size()), raw.data(), out, err);
    return {code, out.str(), err.str()};
}

void assertCode(const Outcome &outcome, int code)
{
    cr_assert_eq(outcome.code_, code, "code %d, out: %s err: %s", outcome.code_,
                 outcome.out_.c_str(), outcome.err_.c_str());
}

/// The stand-in of the platform, and commands against it.
struct WithPlatform
{
    WithPlatform()
        : harness_(PROGRAM_FOLDER)
    {
        const auto process = harness_.start("platform", harness_.program("platform_standin"),
                                            {"--ip=127.0.0.1", "--port=0"});
        store_ = "127.0.0.1:" + std::to_string(harness_.waitForPort(process));
    }

    Outcome command(std::vector<std::string> arguments) const
    {
        arguments.insert(arguments.end(), {"--store", store_});
        return run(std::move(arguments));
    }

    /// Writes a configuration whose service has \p replicas.
    std::string folderWith(const std::string &name, int replicas) const
    {
        const auto folder = harness_.folder() / name;
        std::filesystem::create_directories(folder);
        static_cast<void>(harness_.writeFile(
            name + "/base.toml", "deployment = \"d\"\n[teams.t]\n[services.lm]\nkind = \"model\"\n"
                                 "model = { name = \"m\", version = \"1\" }\nreplicas = "
                                     + std::to_string(replicas) + "\n"));
        static_cast<void>(
            harness_.writeFile(name + "/lac.toml", "site = \"lac\"\nregion = \"tunis\"\n"));
        return folder.string();
    }

    /// Switches faults of the stand-in, as docs/PLATFORM.md defines them.
    void setFaults(const std::string &faults) const
    {
        boost::asio::io_context context;
        net::AsioHttpClient client(context);
        net::HttpRequest request;
        request.address_ = *config::addressOf(store_);
        request.method_ = "POST";
        request.target_ = "/test/faults";
        request.body_ = faults;
        std::uint32_t status = 0;
        client.send(std::move(request), [&status](const net::HttpResult &result) {
            if (const auto *response = std::get_if<net::HttpResponse>(&result))
                status = response->status_;
        });
        while (status == 0 && context.run_one() != 0) {
        }
        cr_assert_eq(status, 200);
    }

    ProcessHarness harness_;
    std::string store_;
};

/// An entry VM that answers from a script.
class ScriptedEntry
{
public:
    ScriptedEntry()
        : listener_(
            context_, {"127.0.0.1", 0},
            [this](const net::HttpRequest &request, const support::Respond &respond) {
                respond(answer(request));
            },
            1024)
        , thread_([this] { context_.run(); })
    {
    }

    ~ScriptedEntry()
    {
        context_.stop();
        thread_.join();
    }

    void set(const std::string &request, std::string body, std::uint32_t status = 200)
    {
        const std::lock_guard lock(mutex_);
        answers_[request] = {status, {}, std::move(body)};
    }

    [[nodiscard]] Address address() const { return listener_.address(); }

    Outcome command(std::vector<std::string> arguments) const
    {
        arguments.insert(arguments.end(), {"--entry", address().text()});
        return run(std::move(arguments));
    }

private:
    net::HttpResponse answer(const net::HttpRequest &request)
    {
        const std::lock_guard lock(mutex_);
        const auto found = answers_.find(request.method_ + " " + request.target_);
        return found == answers_.end() ? net::HttpResponse{404, {}, "{}"} : found->second;
    }

    std::mutex mutex_;
    std::map<std::string, net::HttpResponse> answers_;
    boost::asio::io_context context_;
    support::HttpListener listener_;
    std::thread thread_;
};

admin::AdminStatus statusWith(std::vector<std::uint64_t> versions, const Address &peers)
{
    admin::AdminStatus status;
    status.entry_ = EntryId("e0");
    status.state_ = "serving";
    for (std::size_t i = 0; i < versions.size(); ++i)
        status.members_.push_back({EntryId("e" + std::to_string(i)), peers,
                                   AvailabilityZone(i % 2 == 0 ? "lac" : "ariana"),
                                   RegionName("tunis"), membership::MemberStatus::Alive,
                                   ConfigVersion{versions[i]}, false});
    return status;
}

} // namespace

Test(control_program, wrong_usage_gives_code_2_and_a_remedy)
{
    for (const auto &arguments :
         std::vector<std::vector<std::string>>{{},
                                               {"confg"},
                                               {"config", "aply"},
                                               {"--on=x", "config", "history"},
                                               {"status"},
                                               {"config", "show"},
                                               {"config", "apply"},
                                               {"status", "--entry", "host:1"}}) {
        const auto outcome = run(arguments);
        assertCode(outcome, cli::exitWrongInput);
        cr_assert(outcome.says("remedy:"));
    }
}

Test(control_program, check_lists_all_problems_with_their_places)
{
    const WithPlatform platform;
    const auto folder = platform.folderWith("bad", 1);
    static_cast<void>(platform.harness_.writeFile("bad/lac.toml", "site = \"lac\"\nregoin = 1\n"));

    const auto outcome = run({"config", "check", folder});

    assertCode(outcome, cli::exitWrongInput);
    cr_assert(outcome.says("lac.toml:2:1: key 'regoin'"));
    cr_assert(outcome.says("'region'"));
    cr_assert(outcome.says("2 problem(s)"));
}

Test(control_program, apply_show_and_change_go_around, .timeout = 120)
{
    const WithPlatform platform;
    assertCode(platform.command({"config", "apply", platform.folderWith("one", 1)}), cli::exitOk);

    const auto copy = (platform.harness_.folder() / "copy").string();
    assertCode(platform.command({"config", "show", "--out", copy}), cli::exitOk);
    cr_assert(platform.command({"config", "diff", copy}).says("no difference"));

    const auto changed = platform.folderWith("two", 2);
    cr_assert(platform.command({"config", "diff", changed}).says("+ replicas = 2"));
    const auto applied = platform.command({"config", "apply", changed, "--on", "1", "--json"});
    assertCode(applied, cli::exitOk);
    cr_assert_eq(applied.out_, "{\"version\":2}\n");
}

Test(control_program, second_of_two_operators_gets_code_3_and_the_winner, .timeout = 120)
{
    const WithPlatform platform;
    platform.command({"config", "apply", platform.folderWith("one", 1)});
    const auto mine = platform.folderWith("mine", 2);
    const auto yours = platform.folderWith("yours", 3);

    assertCode(platform.command({"config", "apply", mine, "--on", "1", "--author", "amel"}),
               cli::exitOk);
    const auto late = platform.command({"config", "apply", yours, "--on", "1"});

    assertCode(late, cli::exitConflict);
    cr_assert(late.says("configuration version 2 was accepted first"));
    cr_assert(late.says("version 2 is by amel"));
    cr_assert(late.says("config show"));
}

Test(control_program, rollback_is_listed_as_a_new_version, .timeout = 120)
{
    const WithPlatform platform;
    platform.command({"config", "apply", platform.folderWith("one", 1)});
    platform.command({"config", "apply", platform.folderWith("two", 2), "--on", "1"});

    assertCode(platform.command({"config", "rollback", "1", "-m", "two is wrong"}), cli::exitOk);

    const auto history = platform.command({"config", "history", "--json"});
    cr_assert(history.says("\"version\":3"));
    cr_assert(history.says("\"revert_to\":1"));
    cr_assert(platform.command({"config", "diff", "1", "3"}).says("no difference"));
}

Test(control_program, answer_lost_after_the_write_is_told_as_accepted_once, .timeout = 120)
{
    const WithPlatform platform;
    platform.command({"config", "apply", platform.folderWith("one", 1)});

    platform.setFaults(R"({"lose_next_answers":1})");
    const auto applied
        = platform.command({"config", "apply", platform.folderWith("two", 2), "--on", "1"});

    assertCode(applied, cli::exitOk);
    cr_assert(applied.says("accepted version 2"));
    cr_assert_not(platform.command({"config", "history"}).says("\n3 "));
}

Test(control_program, store_that_is_down_takes_nothing, .timeout = 120)
{
    const WithPlatform platform;
    platform.command({"config", "apply", platform.folderWith("one", 1)});
    platform.setFaults(R"({"down":true})");

    const auto refused
        = platform.command({"config", "apply", platform.folderWith("two", 2), "--on", "1"});
    assertCode(refused, cli::exitFailed);

    platform.setFaults(R"({"down":false})");
    cr_assert(platform.command({"config", "show"}).says("# version 1,"));
}

Test(control_program, store_that_is_not_there_gives_code_1)
{
    const auto port = std::to_string(support::freePort());

    assertCode(run({"config", "show", "--store", "127.0.0.1:" + port}), cli::exitFailed);
}

Test(control_program, status_waits_until_every_entry_vm_has_the_version, .timeout = 120)
{
    ScriptedEntry entry;
    entry.set("GET /admin/status", admin::encode(statusWith({2, 1, 2}, entry.address())));
    std::thread later([&entry] {
        std::this_thread::sleep_for(std::chrono::milliseconds(600));
        entry.set("GET /admin/status", admin::encode(statusWith({2, 2, 2}, entry.address())));
    });

    const auto outcome = entry.command({"config", "status", "--target", "2"});
    later.join();

    assertCode(outcome, cli::exitOk);
    cr_assert(outcome.says("in force at 2 of 3 entry VMs; waiting for e1 (ariana, version 1)"));
    cr_assert(outcome.says("in force at 3 of 3"));
}

Test(control_program, status_that_times_out_tells_why_an_entry_vm_is_late)
{
    ScriptedEntry entry;
    entry.set("GET /admin/status", admin::encode(statusWith({2, 1}, entry.address())));
    entry.set("GET /admin/config", admin::encode(admin::AdminConfig{ConfigVersion{1}, "", "resting",
                                                                    ConfigVersion{2}, "bad key"}));

    const auto outcome = entry.command({"config", "status", "--target", "2", "--timeout", "500ms"});

    assertCode(outcome, cli::exitFailed);
    cr_assert(outcome.says("e1: refused version 2: bad key"));
}

Test(control_program, dead_entry_vm_is_not_waited_for)
{
    ScriptedEntry entry;
    auto status = statusWith({2, 1}, entry.address());
    status.members_[1].status_ = membership::MemberStatus::Dead;
    entry.set("GET /admin/status", admin::encode(status));

    assertCode(entry.command({"config", "status", "--target", "2"}), cli::exitOk);
}

Test(control_program, explain_group_shows_state_and_weighed_ways)
{
    ScriptedEntry entry;
    admin::AdminGroup group;
    group.id_ = GroupId("lm/lac/0");
    group.whyNot_ = "vm-2 is missing";
    group.members_ = {{VmId("vm-1"), true, {}, "ready"}};
    entry.set("GET /admin/groups", admin::encode(std::vector{group}));
    const admin::AdminEvent event{std::chrono::seconds(4),
                                  "group-replaced",
                                  "lm/lac/0",
                                  "replace",
                                  {{"missing", "vm-2"}},
                                  {{"wait", 40}, {"replace", 12.5}}};
    entry.set("GET /admin/explain/group/lm/lac/0", admin::encode(std::vector{event}));

    const auto outcome = entry.command({"explain", "group", "lm/lac/0"});

    assertCode(outcome, cli::exitOk);
    for (const char *text : {"not usable: vm-2 is missing", "4.0 s ago  group-replaced: replace",
                             "because missing=vm-2", "weighed wait, cost 40"})
        cr_assert(outcome.says(text), "'%s' is missing in %s", text, outcome.out_.c_str());
}

Test(control_program, refusal_of_the_entry_vm_is_passed_on_with_its_remedy)
{
    ScriptedEntry entry;
    entry.set("POST /admin/drain/vm/vm-9",
              R"({"detail":"VM vm-9 is not in the VM list","remedy":"look at the list"})", 404);
    entry.set("POST /admin/drain/vm/vm-1", admin::encode(admin::AdminAck{"vm-1 drains"}));

    const auto refused = entry.command({"drain", "vm", "vm-9"});
    assertCode(refused, cli::exitFailed);
    cr_assert(refused.says("vm-9 is not in the VM list"));

    const auto taken = entry.command({"drain", "vm", "vm-1"});
    assertCode(taken, cli::exitOk);
    cr_assert_eq(taken.out_, "vm-1 drains\n");
}

Test(control_program, tables_are_aligned_and_json_is_whole)
{
    ScriptedEntry entry;
    entry.set("GET /admin/status", admin::encode(statusWith({2, 10}, entry.address())));

    const auto table = entry.command({"status"});
    const auto text = entry.command({"status", "--json"});

    cr_assert(table.says("ENTRY VM  PEERS"));
    const auto decoded = admin::decodeStatus(text.out_);
    cr_assert(isOk(decoded));
    cr_assert_eq(valueOf(decoded).members_.size(), 2);
}
