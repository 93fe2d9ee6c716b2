#include <cardamombay/routing/route_decision.hpp>

#include <utility>

namespace cardamombay::routing {

std::string_view nameOf(RouteReason reason)
{
    switch (reason) {
    case RouteReason::PrefixAffinity:
        return "prefix-affinity";
    case RouteReason::PrefixHome:
        return "prefix-home";
    case RouteReason::BetterOfTwo:
        return "better-of-two";
    case RouteReason::OnlyCandidate:
        return "only-candidate";
    case RouteReason::UnknownService:
        return "unknown-service";
    case RouteReason::NoGroups:
        return "no-groups";
    case RouteReason::AllStale:
        return "all-stale";
    case RouteReason::AllVetoed:
        return "all-vetoed";
    case RouteReason::AllExcluded:
        return "all-excluded";
    case RouteReason::OtherModel:
        return "other-model";
    }
    return "no-groups";
}

DecisionRecord RouteDecision::record(const RouteRequest &request, std::string subject,
                                     TimePoint now) const
{
    DecisionRecord record;
    record.when_ = now;
    record.event_ = group_ ? "request-routed" : "request-unroutable";
    record.subject_ = std::move(subject);
    record.choice_ = group_ ? group_->group_.text() : "none";
    const auto add = [&record](const char *key, std::uint64_t value) {
        record.inputs_.push_back({key, std::to_string(value)});
    };
    record.inputs_.push_back({"service", request.service_.text()});
    record.inputs_.push_back({"reason", std::string(nameOf(reason_))});
    if (decodeGroup_)
        record.inputs_.push_back({"decode", decodeGroup_->group_.text()});
    add("prompt_blocks", request.prefixHashes_.size());
    add("usable", usable_);
    add("stale", skipped_.stale_);
    add("vetoed", skipped_.vetoed_);
    add("excluded", skipped_.excluded_);
    add("other_model", skipped_.otherModel_);
    add("other_role", skipped_.otherRole_);
    add("ejected", skipped_.ejected_);
    for (const RouteCandidate &candidate : candidates())
        record.alternatives_.push_back({candidate.group_->group_.text(), candidate.load_});
    return record;
}

} // namespace cardamombay::routing
