#include "proof/scene.hpp"

#include <cardamombay/endpoint/endpoint_codec.hpp>
#include <cardamombay/groups/group_row.hpp>
#include <cardamombay/groups/vm_row.hpp>
#include <cardamombay/leases/lease_row.hpp>

#include <boost/json.hpp>

#include <algorithm>
#include <set>
#include <sstream>
#include <thread>

#include <criterion/criterion.h>
#include <criterion/logging.h>

namespace cardamombay::test {

namespace json = boost::json;
using support::FleetNode;

namespace {

constexpr std::uint64_t progress = 30;

json::object objectOf(const std::string &text)
{
    json::error_code error;
    const auto value = json::parse(text, error);
    return !error && value.is_object() ? value.as_object() : json::object{};
}

bool isAssignedAsIn(const groups::VmRow &row, const endpoint::EndpointState &state)
{
    if (row.group_.text().empty())
        return !state.assignment_;
    return state.assignment_ && state.assignment_->group_ == row.group_
           && state.assignment_->generation_ == row.generation_;
}

} // namespace

void hold(Duration time)
{
    std::this_thread::sleep_for(time);
}

Scene::Scene(support::FleetPlan plan, support::CrowdMix mix)
{
    plan.route_ = [this](std::string_view client, std::string_view server, const Address &target) {
        return links_.open(client, server, target);
    };
    fleet_ = std::make_unique<support::Fleet>(PROGRAM_FOLDER, SOURCE_FOLDER, std::move(plan));
    fleet_->start();
    crowd_ = std::make_unique<support::CallerCrowd>(*fleet_, seed, callers, mix);
    expectServing();
}

void Scene::expectServing()
{
    const auto before = successes();
    cr_assert(support::waitUntil([&] { return successes() > before + progress; }),
              "callers have no success; entry VMs: %s", decisions().c_str());
}

std::vector<support::CallRecord> Scene::finish()
{
    expectServing();
    auto told = crowd_->stop();
    const auto findings = support::compareLedgers(fleet_->runs(), told);
    const std::string summary = support::summarize(told);
    cr_log_info("seed %llu, %s", static_cast<unsigned long long>(seed), summary.c_str());
    cr_assert(findings.empty(), "seed %llu, %s\n%s", static_cast<unsigned long long>(seed),
              summary.c_str(), support::describe(findings).c_str());
    return told;
}

std::optional<endpoint::EndpointState> Scene::stateOf(const FleetNode &node)
{
    support::Caller caller(node.address_);
    caller.timeout_ = std::chrono::seconds(2);
    const auto state = endpoint::decodeState(node.name_, caller.fetch("/v1/state").body_);
    if (!isOk(state))
        return std::nullopt;
    return valueOf(state);
}

std::map<std::string, endpoint::EndpointState> Scene::engineStates()
{
    std::map<std::string, endpoint::EndpointState> states;
    for (const auto &node : fleet_->engines()) {
        const auto state = harness().isRunning(node.process_) ? stateOf(node) : std::nullopt;
        if (state)
            states.emplace(node.name_, *state);
    }
    return states;
}

std::vector<ServingPair> Scene::servingPairs()
{
    const auto states = engineStates();
    std::map<std::string, ServingPair> pairs;
    for (auto &node : fleet_->engines()) {
        const auto found = states.find(node.name_);
        const bool isReady = found != states.end() && found->second.assignment_
                             && found->second.phase_ == endpoint::EnginePhase::Ready;
        if (!isReady)
            continue;
        const auto &assignment = *found->second.assignment_;
        auto &pair = pairs[assignment.group_.text()];
        (assignment.rank_ == 0 ? pair.leader_ : pair.fellow_) = &node;
    }
    std::vector<ServingPair> whole;
    for (const auto &[name, pair] : pairs) {
        if (pair.leader_ && pair.fellow_)
            whole.push_back(pair);
    }
    return whole;
}

std::size_t Scene::runsAt(const FleetNode &node) const
{
    const auto runs = fleet_->runs();
    return static_cast<std::size_t>(std::count_if(
        runs.begin(), runs.end(), [&](const auto &run) { return run.vm_ == node.name_; }));
}

std::map<std::string, std::string> Scene::rows(std::string_view table)
{
    const json::object scan{
        {"table", table}, {"prefix", ""}, {"after", ""}, {"changed_after", 0}, {"limit", 1000}};
    support::Caller platform(fleet_->platform().address_);
    const auto page = objectOf(platform.post("/v1/scan", json::serialize(scan)).body_);
    std::map<std::string, std::string> rows;
    for (const auto &row : page.at("rows").as_array())
        rows.emplace(row.at("key").as_string(), row.at("value").as_string());
    return rows;
}

std::string Scene::leaseHolder(const std::string &domain)
{
    const auto leases = rows("leases");
    const auto found = leases.find(domain);
    if (found == leases.end())
        return "";
    const auto row = leases::decodeLeaseRow(found->second);
    return isOk(row) ? valueOf(row).holder_.text() : "";
}

std::uint64_t Scene::configVersion(std::size_t entry)
{
    support::Caller caller(fleet_->entries().at(entry).peers_);
    caller.timeout_ = std::chrono::seconds(2);
    const auto config = objectOf(caller.fetch("/admin/config").body_);
    const auto *version = config.if_contains("version");
    return version ? version->to_number<std::uint64_t>() : 0;
}

std::string Scene::disagreement(std::size_t groups)
{
    const auto states = engineStates();
    const auto vms = rows(groups::vmTable);
    for (const auto &node : fleet_->engines()) {
        if (!harness().isRunning(node.process_))
            continue;
        const auto state = states.find(node.name_);
        if (state == states.end())
            return node.name_ + " does not answer";
        const auto text = vms.find(node.name_);
        const auto row = text == vms.end() ? Result<groups::VmRow>(groups::VmRow{})
                                           : groups::decodeVmRow(text->second);
        if (!isOk(row) || !isAssignedAsIn(valueOf(row), state->second))
            return node.name_ + " is not as its row says";
    }
    return groupDisagreement(groups);
}

std::string Scene::groupDisagreement(std::size_t groups)
{
    std::set<VmId> taken;
    for (const auto &[key, text] : rows(groups::groupTable)) {
        const auto row = groups::decodeGroupRow(text);
        if (!isOk(row))
            return "unreadable group row " + key;
        if (valueOf(row).phase_ == groups::GroupPhase::Dissolved)
            continue;
        for (const auto &member : valueOf(row).members_) {
            if (!taken.insert(member).second)
                return member.text() + " is in two groups";
        }
    }
    const auto serving = servingPairs().size();
    return serving == groups ? "" : std::to_string(serving) + " groups serve";
}

std::string Scene::decisions()
{
    std::istringstream logs(fleet_->entryLogs());
    std::string text;
    for (std::string line; std::getline(logs, line);) {
        if (line.find("event=request-") == std::string::npos)
            text += line + "\n";
    }
    return text;
}

void Scene::expectAgreement(std::size_t groups)
{
    std::string differs;
    const bool agrees = support::waitUntil([&] {
        differs = disagreement(groups);
        return differs.empty();
    });
    cr_assert(agrees, "%s; entry VMs: %s", differs.c_str(), decisions().c_str());
}

} // namespace cardamombay::test
