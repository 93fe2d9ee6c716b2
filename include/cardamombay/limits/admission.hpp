/// \file
/// \brief Decides which requests may go to endpoints, and when.
/// \details The module divides the capacity that serves between teams by weighted max-min, and
/// each team's part between the entry VMs by their demand. It never revokes a slot and never
/// refuses a request that was handed over, so a refusal is always an honest "not run".
#pragma once

#include <cardamombay/core/decision_log.hpp>
#include <cardamombay/core/time.hpp>
#include <cardamombay/limits/admission_request.hpp>
#include <cardamombay/limits/limits_policy.hpp>
#include <cardamombay/routing/routing_snapshot.hpp>

#include <memory>
#include <vector>

namespace cardamombay::limits {

namespace impl {
class AdmissionState;
} // namespace impl

/// \brief Slots of one service as one entry VM sees them, for metrics and explanations.
struct ServiceLoad
{
    std::uint32_t capacity_ = 0; ///< Slots that serve, over all entry VMs.
    std::uint32_t share_ = 0;    ///< This entry VM's part of them.
    std::uint32_t running_ = 0;
    std::uint32_t waiting_ = 0;
};

/// \brief Admission of one entry VM; single-threaded.
/// \code
/// auto decision = admission.offer(request, *snapshot, clock.now());
/// if (std::holds_alternative<Admitted>(decision))
///     forward(request); // and admission.finished(request.request_, clock.now()) at its end
/// \endcode
class Admission
{
public:
    explicit Admission(LimitsPolicy policy = {});
    Admission(const Admission &) = delete;
    Admission &operator=(const Admission &) = delete;
    ~Admission();

    /// \brief Asks to let \p request in.
    /// \returns the answer; a queued request gets its final one from release().
    [[nodiscard]] AdmissionDecision offer(const AdmissionRequest &request,
                                          const routing::RoutingSnapshot &snapshot, TimePoint now);

    /// \brief The request is over: frees its slot, or takes it out of the queue if its caller left.
    void finished(const RequestId &request, TimePoint now);

    /// \brief Final answers for queued requests; call after finished(), on a new snapshot, and at
    /// nextWake().
    [[nodiscard]] std::vector<Released> release(const routing::RoutingSnapshot &snapshot,
                                                TimePoint now);

    /// \brief When release() may have something to say though nothing else happens; the maximum
    /// if nothing waits.
    [[nodiscard]] TimePoint nextWake() const;

    /// \brief Own demand for the next digest. Shares are worked out from what was digested, so
    /// that all entry VMs divide by the same figures.
    [[nodiscard]] std::vector<routing::DemandReport> demand(TimePoint now);

    /// \brief The record for "cardamombayctl explain" of a refused request.
    [[nodiscard]] DecisionRecord record(const AdmissionRequest &request, const Shed &answer,
                                        TimePoint now) const;

    /// \brief Slots of \p service.
    [[nodiscard]] ServiceLoad load(const ServiceName &service) const;

private:
    std::unique_ptr<impl::AdmissionState> state_;
};

} // namespace cardamombay::limits
