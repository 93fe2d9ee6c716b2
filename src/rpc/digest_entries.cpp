#include "rpc/digest_entries.hpp"

#include "rpc/json_array.hpp"

#include <algorithm>
#include <cmath>

namespace cardamombay::rpc::impl {

using namespace membership;

namespace {

constexpr double perMille = 1000.0;

template<typename Enum>
std::uint64_t ordinal(Enum value)
{
    return static_cast<std::uint64_t>(value);
}

Address addressFrom(ArrayReader &reader)
{
    Address address;
    address.ip_ = reader.text();
    address.port_ = static_cast<std::uint16_t>(reader.number(UINT16_MAX));
    return address;
}

Json::Value loadToJson(const endpoint::LoadReport &load)
{
    const double kv = std::clamp(load.kvCacheUsed_, 0.0, 1.0) * perMille;
    return ArrayWriter()
        .add(load.running_)
        .add(load.queued_)
        .add(static_cast<std::uint64_t>(std::lround(kv)))
        .addAge(load.lag_)
        .take();
}

endpoint::LoadReport loadFrom(const Json::Value &value)
{
    ArrayReader reader(value);
    endpoint::LoadReport load;
    load.running_ = reader.small();
    load.queued_ = reader.small();
    load.kvCacheUsed_
        = static_cast<double>(reader.number(static_cast<std::uint64_t>(perMille))) / perMille;
    load.lag_ = reader.duration();
    return load;
}

} // namespace

Json::Value memberToJson(const MemberEntry &entry)
{
    return ArrayWriter()
        .add(entry.id_.text())
        .add(entry.address_.ip_)
        .add(entry.address_.port_)
        .add(entry.zone_.text())
        .add(entry.region_.text())
        .add(entry.incarnation_.value())
        .add(ordinal(entry.status_))
        .add(entry.isDraining_ ? 1 : 0)
        .add(entry.configVersion_.value())
        .take();
}

MemberEntry memberFrom(const Json::Value &value)
{
    ArrayReader reader(value);
    MemberEntry entry;
    entry.id_ = reader.textId<EntryId>();
    entry.address_ = addressFrom(reader);
    entry.zone_ = reader.textId<AvailabilityZone>();
    entry.region_ = reader.textId<RegionName>();
    entry.incarnation_ = reader.numberId<Incarnation>();
    entry.status_ = reader.choice(MemberStatus::Left);
    entry.isDraining_ = reader.flag();
    entry.configVersion_ = reader.numberId<ConfigVersion>();
    return entry;
}

Json::Value loadEntryToJson(const LoadEntry &entry)
{
    return ArrayWriter().add(entry.vm_.text()).append(loadToJson(entry.load_)).take();
}

LoadEntry loadEntryFrom(const Json::Value &value)
{
    ArrayReader reader(value);
    LoadEntry entry;
    entry.vm_ = reader.textId<VmId>();
    entry.load_ = loadFrom(reader.value());
    return entry;
}

Json::Value goneToJson(const GoneEntry &entry)
{
    return ArrayWriter().add(entry.vm_.text()).addAge(entry.age_).take();
}

GoneEntry goneFrom(const Json::Value &value)
{
    ArrayReader reader(value);
    GoneEntry entry;
    entry.vm_ = reader.textId<VmId>();
    entry.age_ = reader.duration();
    return entry;
}

Json::Value observationToJson(const ObservationEntry &entry)
{
    const endpoint::EndpointState &state = entry.state_;
    ArrayWriter writer;
    writer.add(state.vm_.text())
        .add(state.incarnation_.value())
        .add(ordinal(state.phase_))
        .addAge(entry.age_)
        .add(entry.isStraggler_ ? 1 : 0)
        .add(state.highestFencing_.value());
    writer.append(loadToJson(state.load_));
    ArrayWriter model;
    if (!state.model_.name_.isEmpty()) {
        model.add(state.model_.name_.text()).add(state.model_.version_.text());
        for (const std::string &adapter : state.model_.adapters_)
            model.add(adapter);
    }
    writer.append(model.take());
    if (state.assignment_) {
        writer.add(state.assignment_->group_.text())
            .add(state.assignment_->generation_.value())
            .add(state.assignment_->rank_);
    }
    return writer.take();
}

ObservationEntry observationFrom(const Json::Value &value)
{
    ArrayReader reader(value);
    ObservationEntry entry;
    endpoint::EndpointState &state = entry.state_;
    state.vm_ = reader.textId<VmId>();
    state.incarnation_ = reader.numberId<Incarnation>();
    state.phase_ = reader.choice(endpoint::EnginePhase::Failed);
    entry.age_ = reader.duration();
    entry.isStraggler_ = reader.flag();
    state.highestFencing_ = reader.numberId<Epoch>();
    state.load_ = loadFrom(reader.value());
    ArrayReader model(reader.value());
    if (!model.isAtEnd()) {
        state.model_.name_ = model.textId<ModelName>();
        state.model_.version_ = model.textId<ModelVersion>();
    }
    while (!model.isAtEnd())
        state.model_.adapters_.push_back(model.text());
    if (!reader.isAtEnd()) {
        endpoint::Assignment assignment;
        assignment.group_ = reader.textId<GroupId>();
        assignment.generation_ = reader.numberId<Generation>();
        assignment.rank_ = reader.small();
        state.assignment_ = assignment;
    }
    return entry;
}

Json::Value leavingToJson(const LeavingEntry &entry)
{
    return ArrayWriter()
        .add(entry.vm_.text())
        .addAge(entry.age_)
        .add(entry.count_)
        .add(entry.incarnation_.value())
        .take();
}

LeavingEntry leavingFrom(const Json::Value &value)
{
    ArrayReader reader(value);
    LeavingEntry entry;
    entry.vm_ = reader.textId<VmId>();
    entry.age_ = reader.duration();
    entry.count_ = reader.number(INT64_MAX);
    entry.incarnation_ = reader.numberId<Incarnation>();
    return entry;
}

/// One array for each run of the same service: its name, then team, in flight and waiting.
Json::Value demandToJson(const std::vector<routing::DemandReport> &demand)
{
    ArrayWriter services;
    for (std::size_t i = 0; i < demand.size();) {
        const ServiceName &service = demand[i].service_;
        ArrayWriter writer;
        writer.add(service.text());
        for (; i < demand.size() && demand[i].service_ == service; ++i) {
            writer.add(demand[i].team_.text()).add(demand[i].inFlight_).add(demand[i].waiting_);
        }
        services.append(writer.take());
    }
    return services.take();
}

void readDemand(const Json::Value &value, std::vector<routing::DemandReport> &demand)
{
    for (ArrayReader services(value); !services.isAtEnd();) {
        ArrayReader reader(services.value());
        const auto service = reader.textId<ServiceName>();
        while (!reader.isAtEnd()) {
            routing::DemandReport report;
            report.service_ = service;
            report.team_ = reader.textId<TeamName>();
            report.inFlight_ = reader.small();
            report.waiting_ = reader.small();
            demand.push_back(std::move(report));
        }
    }
}

Json::Value inFlightToJson(const InFlightEntry &entry)
{
    return ArrayWriter().add(entry.group_.text()).add(entry.inFlight_).take();
}

InFlightEntry inFlightFrom(const Json::Value &value)
{
    ArrayReader reader(value);
    InFlightEntry entry;
    entry.group_ = reader.textId<GroupId>();
    entry.inFlight_ = reader.small();
    return entry;
}

Json::Value watchToJson(const WatchSummary &summary)
{
    ArrayWriter writer;
    writer.add(summary.revision_).add(summary.applied_).addAge(summary.age_).add(summary.base_);
    for (const VmId &vm : summary.removed_)
        writer.add(vm.text());
    return writer.take();
}

WatchSummary watchFrom(const Json::Value &value)
{
    ArrayReader reader(value);
    WatchSummary summary;
    summary.revision_ = reader.number(INT64_MAX);
    summary.applied_ = reader.number(INT64_MAX);
    summary.age_ = reader.duration();
    summary.base_ = reader.number(INT64_MAX);
    while (!reader.isAtEnd())
        summary.removed_.push_back(reader.textId<VmId>());
    return summary;
}

Json::Value regionToJson(const RegionSummary &summary)
{
    return ArrayWriter().add(summary.region_.text()).add(summary.hash_).take();
}

RegionSummary regionFrom(const Json::Value &value)
{
    ArrayReader reader(value);
    RegionSummary summary;
    summary.region_ = reader.textId<RegionName>();
    summary.hash_ = reader.number();
    return summary;
}

Json::Value siteToJson(const SiteSummary &summary)
{
    return ArrayWriter()
        .add(summary.zone_.text())
        .add(summary.alive_)
        .add(summary.oldest_.value())
        .add(summary.newest_.value())
        .addAge(summary.age_)
        .take();
}

SiteSummary siteFrom(const Json::Value &value)
{
    ArrayReader reader(value);
    SiteSummary summary;
    summary.zone_ = reader.textId<AvailabilityZone>();
    summary.alive_ = reader.small();
    summary.oldest_ = reader.numberId<ConfigVersion>();
    summary.newest_ = reader.numberId<ConfigVersion>();
    summary.age_ = reader.duration();
    return summary;
}

Json::Value reachRequestToJson(const ReachRequest &request)
{
    return ArrayWriter()
        .add(request.target_.text())
        .add(request.address_.ip_)
        .add(request.address_.port_)
        .take();
}

ReachRequest reachRequestFrom(const Json::Value &value)
{
    ArrayReader reader(value);
    ReachRequest request;
    request.target_ = reader.textId<EntryId>();
    request.address_ = addressFrom(reader);
    return request;
}

Json::Value reachReportToJson(const ReachReport &report)
{
    return ArrayWriter()
        .add(report.target_.text())
        .add(report.incarnation_.value())
        .addAge(report.age_)
        .take();
}

ReachReport reachReportFrom(const Json::Value &value)
{
    ArrayReader reader(value);
    ReachReport report;
    report.target_ = reader.textId<EntryId>();
    report.incarnation_ = reader.numberId<Incarnation>();
    report.age_ = reader.duration();
    return report;
}

} // namespace cardamombay::rpc::impl
