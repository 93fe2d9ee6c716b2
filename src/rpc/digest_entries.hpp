/// \file
/// \brief The entries of digests as JSON arrays; internal to the module.
/// \details The readers throw std::exception if an array does not follow the protocol.
#pragma once

#include <cardamombay/membership/digest.hpp>

#include <json/value.h>

#include <vector>

namespace cardamombay::rpc::impl {

[[nodiscard]] Json::Value memberToJson(const membership::MemberEntry &entry);
[[nodiscard]] membership::MemberEntry memberFrom(const Json::Value &value);
[[nodiscard]] Json::Value loadEntryToJson(const membership::LoadEntry &entry);
[[nodiscard]] membership::LoadEntry loadEntryFrom(const Json::Value &value);
[[nodiscard]] Json::Value goneToJson(const membership::GoneEntry &entry);
[[nodiscard]] membership::GoneEntry goneFrom(const Json::Value &value);
[[nodiscard]] Json::Value observationToJson(const membership::ObservationEntry &entry);
[[nodiscard]] membership::ObservationEntry observationFrom(const Json::Value &value);
[[nodiscard]] Json::Value leavingToJson(const membership::LeavingEntry &entry);
[[nodiscard]] membership::LeavingEntry leavingFrom(const Json::Value &value);
[[nodiscard]] Json::Value demandToJson(const std::vector<routing::DemandReport> &demand);
void readDemand(const Json::Value &value, std::vector<routing::DemandReport> &demand);
[[nodiscard]] Json::Value inFlightToJson(const membership::InFlightEntry &entry);
[[nodiscard]] membership::InFlightEntry inFlightFrom(const Json::Value &value);
[[nodiscard]] Json::Value watchToJson(const membership::WatchSummary &summary);
[[nodiscard]] membership::WatchSummary watchFrom(const Json::Value &value);
[[nodiscard]] Json::Value regionToJson(const membership::RegionSummary &summary);
[[nodiscard]] membership::RegionSummary regionFrom(const Json::Value &value);
[[nodiscard]] Json::Value siteToJson(const membership::SiteSummary &summary);
[[nodiscard]] membership::SiteSummary siteFrom(const Json::Value &value);
[[nodiscard]] Json::Value reachRequestToJson(const membership::ReachRequest &request);
[[nodiscard]] membership::ReachRequest reachRequestFrom(const Json::Value &value);
[[nodiscard]] Json::Value reachReportToJson(const membership::ReachReport &report);
[[nodiscard]] membership::ReachReport reachReportFrom(const Json::Value &value);

} // namespace cardamombay::rpc::impl
