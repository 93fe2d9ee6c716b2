/// \file
/// \brief Words for the ways in which a session ends without an answer.
#pragma once

#include <cardamombay/limits/admission_request.hpp>
#include <cardamombay/outcomes/outcome.hpp>
#include <cardamombay/routing/route_decision.hpp>
#include <cardamombay/traffic/claim.hpp>
#include <cardamombay/traffic/problem.hpp>

namespace cardamombay::traffic::impl {

[[nodiscard]] Problem shedProblem(const limits::Shed &shed);
[[nodiscard]] Problem noGroupProblem(routing::RouteReason reason);
/// \param answer any verdict but Granted and Finished.
[[nodiscard]] Problem claimProblem(const ClaimAnswer &answer);
/// \brief The claim was granted, but its time for the hand-over had passed.
[[nodiscard]] Problem lateClaimProblem(outcomes::Outcome outcome);
[[nodiscard]] Problem failureProblem(outcomes::Outcome outcome, outcomes::Cause cause,
                                     outcomes::RequestSafety safety, Duration retryAfter);
[[nodiscard]] Problem drainProblem();
[[nodiscard]] Problem notConfiguredProblem();

} // namespace cardamombay::traffic::impl
