// "config status": waits until an accepted configuration is in force at every live entry VM.
#include "cli/commands.hpp"
#include "cli/text_table.hpp"

#include <cardamombay/admin/admin_config.hpp>
#include <cardamombay/admin/admin_status.hpp>
#include <cardamombay/cli/exit_code.hpp>

#include <boost/json.hpp>

#include <algorithm>

namespace cardamombay::cli {

namespace json = boost::json;
using admin::AdminMember;
using admin::AdminStatus;

namespace {

constexpr Duration lookInterval = std::chrono::milliseconds(250);

/// The version to wait for: the one that was named, else the accepted one.
Result<ConfigVersion> targetVersion(ControlSession &session)
{
    if (session.options().version_)
        return *session.options().version_;
    const auto link = session.store();
    if (!isOk(link))
        return errorOf(link);
    const auto stored
        = session.loop().wait<config::StoredConfig>([&](Callback<config::StoredConfig> done) {
              valueOf(link)->config_.fetchCurrent(std::move(done));
          });
    if (!isOk(stored))
        return errorOf(stored);
    return valueOf(stored).record_.version_;
}

bool counts(const AdminMember &member)
{
    return member.status_ == membership::MemberStatus::Alive
           || member.status_ == membership::MemberStatus::Suspect;
}

std::vector<AdminMember> laggards(const AdminStatus &status, ConfigVersion target)
{
    std::vector<AdminMember> late;
    std::copy_if(status.members_.begin(), status.members_.end(), std::back_inserter(late),
                 [target](const AdminMember &member) {
                     return counts(member) && member.configVersion_.value() < target.value();
                 });
    return late;
}

void reportProgress(ControlSession &session, const AdminStatus &status, ConfigVersion target,
                    const std::vector<AdminMember> &late)
{
    const auto live = std::count_if(status.members_.begin(), status.members_.end(), counts);
    session.err() << "version " << target << ": in force at "
                  << live - static_cast<std::ptrdiff_t>(late.size()) << " of " << live
                  << " entry VMs";
    for (std::size_t i = 0; i < late.size(); ++i)
        session.err() << (i == 0 ? "; waiting for " : ", ") << late[i].id_ << " (" << late[i].zone_
                      << ", version " << late[i].configVersion_ << ")";
    session.err() << std::endl; // progress is read while the program waits
}

/// One line for each site: how many entry VMs have the version.
void writeSites(ControlSession &session, const AdminStatus &status, ConfigVersion target)
{
    std::vector<AvailabilityZone> zones;
    for (const auto &member : status.members_) {
        if (std::find(zones.begin(), zones.end(), member.zone_) == zones.end())
            zones.push_back(member.zone_);
    }
    std::sort(zones.begin(), zones.end(),
              [](const auto &a, const auto &b) { return a.text() < b.text(); });
    TextTable table({"SITE", "ENTRY VMS", "IN FORCE", "LOWEST VERSION"});
    json::array list;
    for (const auto &zone : zones) {
        std::uint64_t live = 0;
        std::uint64_t done = 0;
        std::uint64_t lowest = 0;
        for (const auto &member : status.members_) {
            if (member.zone_ != zone || !counts(member))
                continue;
            const auto version = member.configVersion_.value();
            lowest = live == 0 ? version : std::min(lowest, version);
            ++live;
            done += version >= target.value() ? 1 : 0;
        }
        table.add(
            {zone.text(), std::to_string(live), std::to_string(done), std::to_string(lowest)});
        list.push_back({{"site", zone.text()},
                        {"entry_vms", live},
                        {"in_force", done},
                        {"lowest_version", lowest}});
    }
    if (session.options().isJson_)
        session.out() << json::serialize(json::object{{"version", target.value()}, {"sites", list}})
                      << '\n';
    else
        session.out() << table;
}

/// Asks every entry VM that is late why; one that refused the version says so.
void explainLate(ControlSession &session, const std::vector<AdminMember> &late)
{
    for (const auto &member : late) {
        const auto body = session.ask(member.peers_, "GET", "/admin/config");
        const auto config = isOk(body) ? admin::decodeConfig(valueOf(body))
                                       : Result<admin::AdminConfig>(errorOf(body));
        session.err() << "  " << member.id_ << ": ";
        if (!isOk(config))
            session.err() << messageOf(errorOf(config)) << '\n';
        else if (valueOf(config).refusal_.empty())
            session.err() << "has version " << valueOf(config).version_ << ", "
                          << valueOf(config).state_ << '\n';
        else
            session.err() << "refused version " << valueOf(config).refusedVersion_ << ": "
                          << valueOf(config).refusal_ << '\n';
    }
}

Result<AdminStatus> askStatus(ControlSession &session)
{
    const auto body = session.ask("GET", "/admin/status");
    if (!isOk(body))
        return errorOf(body);
    return admin::decodeStatus(valueOf(body));
}

} // namespace

int waitForConfig(ControlSession &session)
{
    const auto target = targetVersion(session);
    if (!isOk(target))
        return session.fail(errorOf(target));
    const auto &clock = session.loop().clock();
    const TimePoint deadline = clock.now() + session.options().timeout_;
    std::size_t lastLate = ~std::size_t{0};
    for (;;) {
        const auto status = askStatus(session);
        if (!isOk(status))
            return session.fail(errorOf(status));
        const auto late = laggards(valueOf(status), valueOf(target));
        if (late.size() != lastLate)
            reportProgress(session, valueOf(status), valueOf(target), late);
        lastLate = late.size();
        const bool isOver = late.empty() || clock.now() >= deadline;
        if (!isOver) {
            session.loop().sleep(lookInterval);
            continue;
        }
        writeSites(session, valueOf(status), valueOf(target));
        if (late.empty())
            return exitOk;
        explainLate(session, late);
        return session.fail(TimedOut{"config status", session.options().timeout_});
    }
}

} // namespace cardamombay::cli
