/// \file
/// \brief Admission control: which requests may be sent to endpoints, and when.
/// \details The serving capacity is divided between teams by weighted max-min fairness, and each
/// team's share between the entry VMs by demand. A slot is never revoked and a request that was
/// sent is never refused, so a refused request has certainly not run.
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

/// \brief Slot counts of one service at one entry VM, for metrics and decision records.
struct ServiceLoad
{
    std::uint32_t capacity_ = 0; ///< Serving slots, over all entry VMs.
    std::uint32_t share_ = 0;    ///< Slots that this entry VM may use.
    std::uint32_t running_ = 0;
    std::uint32_t waiting_ = 0;
};

/// \brief Admission controller of one entry VM; not thread-safe.
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

    /// \brief Admits, queues or refuses \p request.
    /// \returns the decision; the final one for a queued request comes from release().
    [[nodiscard]] AdmissionDecision offer(const AdmissionRequest &request,
                                          const routing::RoutingSnapshot &snapshot, TimePoint now);

    /// \brief Frees the slot of a finished request, or removes a cancelled one from the queue.
    void finished(const RequestId &request, TimePoint now);

    /// \brief Returns the final decisions for queued requests. Call it after finished(), on a new
    /// snapshot, and at nextWake().
    [[nodiscard]] std::vector<Released> release(const routing::RoutingSnapshot &snapshot,
                                                TimePoint now);

    /// \brief The next time to call release() if nothing else happens; TimePoint::max() if no
    /// request is queued.
    [[nodiscard]] TimePoint nextWake() const;

    /// \brief Local demand for the next digest. Shares are computed from the demand in digests, so
    /// that all entry VMs use the same values.
    [[nodiscard]] std::vector<routing::DemandReport> demand(TimePoint now);

    /// \brief Decision record of a refused request, for "cardamombayctl explain".
    [[nodiscard]] DecisionRecord record(const AdmissionRequest &request, const Shed &answer,
                                        TimePoint now) const;

    /// \brief Current slot counts of \p service.
    [[nodiscard]] ServiceLoad load(const ServiceName &service) const;

private:
    std::unique_ptr<impl::AdmissionState> state_;
};

} // namespace cardamombay::limits
