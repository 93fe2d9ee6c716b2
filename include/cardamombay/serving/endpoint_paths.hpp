/// \file
/// \brief Tells the loss of this entry VM's paths to endpoints from the failure of endpoints.
/// \details A refused or silent connection looks the same whether the endpoint has ended or only
/// the path to it is lost. This entry VM counts as partitioned from a service, or from all
/// endpoints, once several attempts fail, no more endpoints than these are heard from then on, and
/// other entry VMs receive data from some of these after the failure. Until the paths are back,
/// endpoints that it has not heard since are not sent to and not blamed, and probe connections look
/// for the end of the partition. Decides nothing about requests.
#pragma once

#include <cardamombay/core/address.hpp>
#include <cardamombay/core/ids.hpp>
#include <cardamombay/core/time.hpp>
#include <cardamombay/net/upstream.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace cardamombay::serving {

/// \brief What other entry VMs know of endpoints.
class EndpointWitness
{
public:
    EndpointWitness() = default;
    EndpointWitness(const EndpointWitness &) = delete;
    EndpointWitness &operator=(const EndpointWitness &) = delete;
    virtual ~EndpointWitness() = default;

    /// \brief True if another entry VM is known to have received data from the endpoint after \p
    /// since.
    [[nodiscard]] virtual bool wasHeardElsewhere(const VmId &endpoint, TimePoint since,
                                                 TimePoint now) const = 0;

    /// \brief True if any other entry VM reports at all.
    [[nodiscard]] virtual bool hasReports(TimePoint now) const = 0;
};

/// \brief An endpoint as the target of an attempt; refers to values that outlive the call.
struct PathTarget
{
    const ServiceName &service_;
    const VmId &endpoint_;
    const Address &address_;
};

/// \brief Number of paths to endpoints in a state.
struct PathCounts
{
    std::size_t lost_ = 0;
    std::size_t confirmed_ = 0; ///< Of these, endpoints that other entry VMs hear.
    std::size_t working_ = 0;   ///< Endpoints that were heard here lately.
};

/// \brief Paths from this entry VM to the endpoints. Not thread-safe; used on the gateway's thread.
class EndpointPaths
{
public:
    /// \param upstream, witness must outlive this object.
    EndpointPaths(net::Upstream &upstream, const EndpointWitness &witness);
    ~EndpointPaths();

    /// \brief Sets the callback for each endpoint whose failures are due to a lost path, and for
    /// each whose path is restored: what they did here says nothing about them.
    void onExonerated(std::function<void(const VmId &, const Address &)> action)
    {
        exonerate_ = std::move(action);
    }

    /// \brief Sets the function that tells whether an endpoint still takes requests: others are not
    /// missed.
    void setListingCheck(std::function<bool(const VmId &)> isListed)
    {
        isListed_ = std::move(isListed);
    }

    /// \brief Sets the callback for each endpoint that is unreachable from here while other entry
    /// VMs hear it: it has not crashed.
    void onHeardElsewhere(std::function<void(const VmId &)> action)
    {
        heardElsewhere_ = std::move(action);
    }

    /// \name Events of attempts
    /// \{
    /// \brief An attempt that was sent at \p sentAt received data.
    void heard(const PathTarget &target, TimePoint sentAt, TimePoint now);
    /// \brief No connection was established by an attempt that began at \p startedAt.
    void connectFailed(const PathTarget &target, TimePoint startedAt, TimePoint now);
    /// \brief A connection that was opened after an attempt had failed was refused as well.
    void connectRefused(const VmId &endpoint, TimePoint now);
    /// \brief An established connection broke; alone this shows no loss of the path.
    void connectionBroke(const PathTarget &target, TimePoint now);
    /// \brief An established connection transmits nothing; a slow endpoint explains that as well.
    void stalled(const PathTarget &target, TimePoint now);
    /// \brief The endpoint has started again.
    void forget(const VmId &endpoint);
    /// \}

    /// \brief Updates the state and opens probe connections. Call every Gateway::sweepPeriod.
    void sweep(TimePoint now);

    /// \name State as of the last sweep
    /// \{
    /// \brief True if this entry VM has lost its paths to endpoints of all services.
    [[nodiscard]] bool isPartitioned() const { return fleet_.isPartitioned(); }
    /// \brief True if this entry VM has lost its paths to endpoints of the service.
    [[nodiscard]] bool isPartitionedFrom(const ServiceName &service) const;
    /// \brief True if this entry VM has lost its paths to endpoints of any service.
    [[nodiscard]] bool isPartitionedFromAny() const;
    /// \brief True while a sweeping loss of paths awaits the reports of other entry VMs.
    [[nodiscard]] bool isAwaitingReports() const;
    /// \brief False for endpoints that were not heard since this entry VM is partitioned from them.
    [[nodiscard]] bool isReachable(const VmId &endpoint) const;
    /// \brief Endpoints about which other entry VMs should report whether they hear them.
    [[nodiscard]] std::vector<VmId> unconfirmed() const;
    [[nodiscard]] PathCounts counts() const;
    /// \}

private:
    class Probe;
    /// In order of how much they say about the path.
    enum class Failure {
        Silence, ///< An established connection transmits nothing.
        Break,   ///< An established connection broke.
        Connect, ///< No connection was established.
    };
    struct Path
    {
        ServiceName service_;
        Address address_;
        TimePoint heardAt_{};
        std::optional<TimePoint> lostAt_;    ///< First failure since it was last heard.
        Failure failure_ = Failure::Silence; ///< The strongest since then.
        TimePoint connectFailedAt_{};        ///< Start of the last attempt that failed to connect.
        bool isConfirmed_ = false;           ///< Heard by other entry VMs since.
        TimePoint verifiedAt_{};             ///< When a probe last verified a silent connection.

        /// \param isSilenceIncluded whether silence suffices, which a slow endpoint explains too.
        [[nodiscard]] bool isLost(bool isSilenceIncluded) const
        {
            return lostAt_ && (isSilenceIncluded || failure_ != Failure::Silence);
        }
    };
    /// All endpoints, or those of a service.
    struct Scope
    {
        std::optional<TimePoint> suspectedAt_;
        std::optional<TimePoint> partitionedAt_;
        bool isSweeping_ = false; ///< The loss was sweeping since it is suspected.

        [[nodiscard]] bool isPartitioned() const { return partitionedAt_.has_value(); }
    };
    enum class Extent {
        Few,
        Widespread,
        Sweeping, ///< Widespread, and sudden.
    };
    /// Tells a silent path from a slow endpoint.
    struct Verification
    {
        std::unique_ptr<Probe> probe_;
        TimePoint startedAt_;
    };
    using Paths = std::map<VmId, Path>;

    Path &pathOf(const PathTarget &target);
    Path &lose(const PathTarget &target, Failure failure, TimePoint now);
    static void noteConnectFailure(Path &path, TimePoint startedAt);
    void regain(const VmId &endpoint, Path &path);
    void dropEnded();
    [[nodiscard]] bool isIdle() const;
    void confirmLosses();
    [[nodiscard]] Extent extentOfLoss(const std::optional<ServiceName> &service,
                                      bool isSilenceIncluded) const;
    void verifySilence();
    void review(Scope &scope, const std::optional<ServiceName> &service);
    /// \param isSweeping only counts losses that the failure of a few endpoints does not explain.
    [[nodiscard]] bool isSuspected(Duration within, bool isSweeping) const;
    [[nodiscard]] const Scope *partitionOf(const Path &path) const;
    [[nodiscard]] bool isReachable(const Path &path) const;
    void logState(std::string_view event, const std::optional<ServiceName> &service,
                  Duration since) const;
    void probe();
    void startProbe();
    void endPartitions();

    net::Upstream &upstream_;
    const EndpointWitness &witness_;
    std::function<void(const VmId &, const Address &)> exonerate_;
    std::function<void(const VmId &)> heardElsewhere_;
    std::function<bool(const VmId &)> isListed_;
    Paths paths_;
    TimePoint sweptAt_{};
    TimePoint expiredAt_{};
    Scope fleet_;
    std::map<ServiceName, Scope> services_;
    std::map<VmId, Verification> verifications_;
    std::unique_ptr<Probe> probe_; ///< Looks for the end of a partition.
    VmId probed_;                  ///< Endpoint of the last probe.
    TimePoint probedAt_{};
    std::size_t probesAnswered_ = 0; ///< In a row.
};

} // namespace cardamombay::serving
