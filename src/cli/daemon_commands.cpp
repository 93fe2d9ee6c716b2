#include "cli/commands.hpp"
#include "cli/text_table.hpp"

#include <cardamombay/admin/admin_ack.hpp>
#include <cardamombay/admin/admin_event.hpp>
#include <cardamombay/admin/admin_group.hpp>
#include <cardamombay/admin/admin_status.hpp>
#include <cardamombay/admin/admin_vm.hpp>
#include <cardamombay/cli/exit_code.hpp>

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace cardamombay::cli {

namespace {

std::string ageText(Duration age)
{
    std::ostringstream out;
    out << std::fixed << std::setprecision(1) << static_cast<double>(toMilliseconds(age)) / 1000
        << " s";
    return out.str();
}

std::string yesNo(bool value)
{
    return value ? "yes" : "no";
}

std::string statusText(membership::MemberStatus status)
{
    switch (status) {
    case membership::MemberStatus::Alive:
        return "alive";
    case membership::MemberStatus::Suspect:
        return "suspect";
    case membership::MemberStatus::Dead:
        return "dead";
    case membership::MemberStatus::Left:
        return "left";
    }
    return "unknown";
}

/// Asks, decodes, and writes the result as JSON or by \p write.
template<typename T, typename Write>
int present(ControlSession &session, const std::string &target,
            Result<T> (*decode)(std::string_view), Write write)
{
    const auto body = session.ask("GET", target);
    if (!isOk(body))
        return session.fail(errorOf(body));
    const auto value = decode(valueOf(body));
    if (!isOk(value))
        return session.fail(errorOf(value));
    if (session.options().isJson_)
        session.out() << admin::encode(valueOf(value)) << '\n';
    else
        write(session.out(), valueOf(value));
    return exitOk;
}

void writeStatus(std::ostream &out, const admin::AdminStatus &status)
{
    out << "entry VM        " << status.entry_ << " (" << status.zone_ << ", " << status.region_
        << ")\n"
        << "state           " << status.state_ << ", up " << ageText(status.uptime_)
        << ", incarnation " << status.incarnation_ << '\n'
        << "configuration   version " << status.configVersion_ << '\n'
        << "table service   " << (status.isStoreReachable_ ? "reachable" : "not reachable") << '\n';
    if (!status.warning_.empty())
        out << "warning         " << status.warning_ << '\n';
    out << '\n';
    TextTable members({"ENTRY VM", "PEERS", "ZONE", "STATUS", "CONFIGURATION", "DRAINING"});
    for (const auto &member : status.members_)
        members.add({member.id_.text(), member.peers_.text(), member.zone_.text(),
                     statusText(member.status_), std::to_string(member.configVersion_.value()),
                     yesNo(member.isDraining_)});
    out << members << '\n';
    TextTable services({"SERVICE", "DECLARED", "SERVING", "IN FLIGHT HERE"});
    for (const auto &service : status.services_)
        services.add({service.name_.text(), std::to_string(service.declaredReplicas_),
                      std::to_string(service.servingReplicas_), std::to_string(service.inFlight_)});
    out << services;
}

void writeGroups(std::ostream &out, const std::vector<admin::AdminGroup> &groups)
{
    TextTable table(
        {"GROUP", "DOMAIN", "GENERATION", "PHASE", "FRESH", "IN FLIGHT", "USABLE", "WHY NOT"});
    for (const auto &group : groups) {
        const auto fresh = std::count_if(group.members_.begin(), group.members_.end(),
                                         [](const auto &member) { return member.isFresh_; });
        table.add({group.id_.text(), group.domain_.text(),
                   std::to_string(group.generation_.value()), group.phase_,
                   std::to_string(fresh) + "/" + std::to_string(group.members_.size()),
                   std::to_string(group.inFlight_), yesNo(group.isUsable_), group.whyNot_});
    }
    out << table;
}

void writeVms(std::ostream &out, const std::vector<admin::AdminVm> &vms)
{
    TextTable table(
        {"VM", "ZONE", "DOMAIN", "SERVICE", "GROUP", "PHASE", "SEEN", "LEAVING", "STRAGGLER"});
    for (const auto &vm : vms)
        table.add({vm.id_.text(), vm.zone_.text(), vm.domain_.text(), vm.service_.text(),
                   vm.group_.text(), vm.phase_, ageText(vm.age_), yesNo(vm.isLeaving_),
                   yesNo(vm.isStraggler_)});
    out << table;
}

std::string inputText(const admin::AdminEvent &event)
{
    std::string text;
    for (const auto &input : event.inputs_)
        text += (text.empty() ? "" : " ") + input.key_ + "=" + input.value_;
    return text;
}

void writeEvents(std::ostream &out, const std::vector<admin::AdminEvent> &events)
{
    TextTable table({"AGO", "EVENT", "SUBJECT", "CHOICE", "INPUTS"});
    for (const auto &event : events)
        table.add(
            {ageText(event.age_), event.event_, event.subject_, event.choice_, inputText(event)});
    out << table;
}

/// Each decision with the ways that were weighed.
void writeDecisions(std::ostream &out, const std::vector<admin::AdminEvent> &events)
{
    if (events.empty())
        out << "no decision about it is remembered at this entry VM\n";
    for (const auto &event : events) {
        out << ageText(event.age_) << " ago  " << event.event_ << ": "
            << (event.choice_.empty() ? "-" : event.choice_) << '\n';
        if (!event.inputs_.empty())
            out << "    because " << inputText(event) << '\n';
        for (const auto &way : event.alternatives_)
            out << "    weighed " << way.name_ << ", cost " << way.cost_ << '\n';
    }
}

void writeGroup(std::ostream &out, const admin::AdminGroup &group)
{
    out << "group " << group.id_ << ", generation " << group.generation_ << ", " << group.phase_
        << ", " << (group.isUsable_ ? "usable" : "not usable: " + group.whyNot_) << '\n';
    TextTable table({"MEMBER", "FRESH", "SEEN", "PHASE"});
    for (const auto &member : group.members_)
        table.add({member.vm_.text(), yesNo(member.isFresh_), ageText(member.age_), member.phase_});
    out << table << '\n';
}

/// The present state of the group, if this entry VM knows it.
void writeGroupState(ControlSession &session, const std::string &id)
{
    const auto body = session.ask("GET", "/admin/groups");
    const auto groups = isOk(body) ? admin::decodeGroups(valueOf(body))
                                   : Result<std::vector<admin::AdminGroup>>(errorOf(body));
    if (!isOk(groups))
        return;
    for (const auto &group : valueOf(groups)) {
        if (group.id_.text() == id)
            writeGroup(session.out(), group);
    }
}

int missingOperand(ControlSession &session, const std::string &name, const std::string &remedy)
{
    return session.fail(wrongUsage(name, "the operand is missing", remedy));
}

int order(ControlSession &session, const std::string &target)
{
    const auto body = session.ask("POST", target);
    const auto ack
        = isOk(body) ? admin::decodeAck(valueOf(body)) : Result<admin::AdminAck>(errorOf(body));
    if (!isOk(ack))
        return session.fail(errorOf(ack));
    session.out() << (session.options().isJson_ ? admin::encode(valueOf(ack)) : valueOf(ack).done_)
                  << '\n';
    return exitOk;
}

} // namespace

int showStatus(ControlSession &session)
{
    return present(session, "/admin/status", admin::decodeStatus, writeStatus);
}

int showGroups(ControlSession &session)
{
    return present(session, "/admin/groups", admin::decodeGroups, writeGroups);
}

int showVms(ControlSession &session)
{
    return present(session, "/admin/vms", admin::decodeVms, writeVms);
}

int showEvents(ControlSession &session)
{
    return present(session, "/admin/events", admin::decodeEvents, writeEvents);
}

int explainGroup(ControlSession &session)
{
    const std::string id = session.operand(0);
    if (id.empty())
        return missingOperand(session, "GROUP", "'cardamombayctl groups' lists the groups");
    if (!session.options().isJson_)
        writeGroupState(session, id);
    return present(session, "/admin/explain/group/" + id, admin::decodeEvents, writeDecisions);
}

int explainRequest(ControlSession &session)
{
    const std::string id = session.operand(0);
    if (id.empty())
        return missingOperand(session, "REQUEST", "give the X-Request-Id of the answer");
    return present(session, "/admin/explain/request/" + id, admin::decodeEvents, writeDecisions);
}

int drainEntry(ControlSession &session)
{
    return order(session, "/admin/drain/entry");
}

int drainVm(ControlSession &session)
{
    if (session.operand(0).empty())
        return missingOperand(session, "VM", "'cardamombayctl vms' lists the VMs");
    return order(session, "/admin/drain/vm/" + session.operand(0));
}

int undrainVm(ControlSession &session)
{
    if (session.operand(0).empty())
        return missingOperand(session, "VM", "'cardamombayctl vms' lists the VMs");
    return order(session, "/admin/undrain/vm/" + session.operand(0));
}

} // namespace cardamombay::cli
