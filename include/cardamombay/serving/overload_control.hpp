/// \file
/// \brief Joins admission, queueing and returns under overload to the gateway of an entry VM.
/// \details Applies only to services whose routes declare different ranks. Collects the figures
/// that the module overload decides from, and turns its decisions into refusals with a return time.
/// Chooses no endpoints.
#pragma once

#include <cardamombay/core/clock.hpp>
#include <cardamombay/core/random.hpp>
#include <cardamombay/overload/admission_controller.hpp>
#include <cardamombay/overload/demand_meter.hpp>
#include <cardamombay/overload/held_queue.hpp>
#include <cardamombay/overload/return_schedule.hpp>
#include <cardamombay/overload/wait_forecast.hpp>
#include <cardamombay/serving/balancer.hpp>
#include <cardamombay/serving/dialect.hpp>
#include <cardamombay/serving/return_coordinator.hpp>

#include <map>
#include <memory>
#include <vector>

namespace cardamombay::serving {

/// \brief A request of a controlled service, as admission sees it.
struct ControlledRequest
{
    overload::AdmissionRequest admission_;
    RequestFingerprint fingerprint_;
    double work_ = 0;                ///< Seconds of a full group's time.
    bool hasReturned_ = false;       ///< Its caller came back when told to.
    bool isCounted_ = false;         ///< Its work is part of the offered work.
    bool isCountedAsReturn_ = false; ///< Its work is part of that of the most urgent rank.
};

/// \brief Inputs of the decision on one request, for its log line.
struct AdmissionInputs
{
    overload::AdmissionLevel level_;
    std::optional<Duration> figuresAge_; ///< No value if there are no figures.
};

/// \brief Overload control of one entry VM. Not thread-safe: used on the gateway's thread only.
class OverloadControl
{
public:
    /// \param clock, balancer, metrics must outlive the object.
    OverloadControl(Clock &clock, Balancer &balancer, GatewayMetrics &metrics, Random random);

    void setRoutes(std::shared_ptr<const RouteTable> routes) { routes_ = std::move(routes); }

    /// \brief True if requests of \p service are admitted by rank and team.
    [[nodiscard]] bool controls(const Service &service) const;

    /// \name Figures of the fleet
    /// \{
    /// \brief Ends a digest period of the length \p passed.
    void advance(Duration passed);
    /// \brief Work offered, held and promised at this entry VM.
    /// \param withTeams includes the teams of divided ranks.
    [[nodiscard]] overload::FleetDemand
    ownDemand(const std::vector<overload::AdmissionRequest> &held, const std::vector<double> &work,
              bool withTeams) const;
    /// \brief Computes the levels of all models.
    /// \param others demand of the other entry VMs.
    /// \param receivedAt when it was received; no value if nothing was.
    /// \param entries number of entry VMs, this one included.
    void update(const overload::FleetDemand &own, const overload::FleetDemand &others,
                std::optional<TimePoint> receivedAt, std::size_t entries);
    /// \}

    /// \name Requests
    /// \{
    [[nodiscard]] ControlledRequest describe(const Service &service, const RequestHead &head,
                                             overload::Rank rank, const TeamName &team,
                                             const RequestFingerprint &fingerprint,
                                             double work) const;
    /// \brief Counts the work that a request offers, once; again, as work of the most urgent rank,
    /// if it turns out to be a return.
    void count(ControlledRequest &request);
    /// \returns true if the request may be sent or held.
    [[nodiscard]] bool admits(const Service &service, const ControlledRequest &request) const;
    /// \brief True if some caller of the model was told to come back.
    [[nodiscard]] bool expectsReturns(const ModelName &model) const;
    /// \brief Predicted wait for room.
    /// \param held requests of this entry VM for the same model.
    [[nodiscard]] Duration forecast(const overload::HeldRequest &request,
                                    std::span<const overload::HeldRequest> held,
                                    const ModelName &model) const;
    /// \brief Chooses when the caller of a refused request should come back, and records a promise.
    [[nodiscard]] Duration returnTime(const ControlledRequest &request, Duration timeLeft);
    /// \brief An endpoint accepted or refused a request.
    void recordSend(const ModelName &model, bool isRefused);
    [[nodiscard]] AdmissionInputs inputs(const ModelName &model) const;
    /// \}

    [[nodiscard]] ReturnCoordinator &returns() { return returns_; }

private:
    [[nodiscard]] double room(const ModelName &model) const;
    [[nodiscard]] static const overload::ModelDemand &demandOf(const overload::FleetDemand &demand,
                                                               const ModelName &model);
    void updateModel(const Service &service, const ModelName &model,
                     const overload::FleetDemand &own, std::optional<TimePoint> receivedAt,
                     std::size_t entries);
    [[nodiscard]] Duration timeWithoutFigures(std::size_t entries) const;

    Clock &clock_;
    Balancer &balancer_;
    GatewayMetrics &metrics_;
    TimePoint startedAt_;
    std::optional<TimePoint> receivedAt_; ///< When figures of other entry VMs last arrived.
    std::shared_ptr<const RouteTable> routes_;
    std::uint64_t seed_; ///< Keeps callers from choosing request ids that are admitted.
    overload::RankedAdmission policy_;
    overload::AdmissionController controller_;
    overload::DemandMeter meter_;
    overload::FleetDemand others_; ///< Demand at the other entry VMs.
    overload::FleetDemand demand_; ///< Demand at all of them.
    /// Room of the groups divided by the number of entry VMs, in groups.
    std::map<ModelName, double> ownRooms_;
    ReturnCoordinator returns_;
};

} // namespace cardamombay::serving
