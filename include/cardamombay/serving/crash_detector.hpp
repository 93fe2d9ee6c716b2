/// \file
/// \brief Detects crashed endpoints and the requests that were in flight there.
/// \details A broken attempt may be due to a lost connection, a malformed answer or a crash. A
/// probe connection opened right afterwards tells them apart: if it is refused, the process has
/// terminated, unless this entry VM has lost its paths. An endpoint that is unreachable or
/// partitioned does not answer the probe at all, and its requests are not reported. Does not
/// evaluate the requests themselves.
#pragma once

#include <cardamombay/core/clock.hpp>
#include <cardamombay/net/upstream.hpp>
#include <cardamombay/serving/endpoint.hpp>
#include <cardamombay/serving/request_fingerprint.hpp>

#include <functional>
#include <map>
#include <memory>
#include <span>
#include <utility>
#include <vector>

namespace cardamombay::serving {

/// \brief A request that was in flight at an endpoint when it crashed.
struct RequestAtCrash
{
    RequestFingerprint fingerprint_;
    bool hadEvents_ = false; ///< The endpoint had sent an event of the answer.
    bool hadHead_ = false;   ///< The endpoint had sent the head of the answer.

    /// \brief True if the endpoint had just begun the answer, so that the request probably
    /// crashed it.
    [[nodiscard]] bool hadBegun() const { return hadHead_ && !hadEvents_; }
    /// \brief True if the endpoint's progress makes this request a more likely cause than \p other.
    [[nodiscard]] bool isMoreSuspicious(const RequestAtCrash &other) const
    {
        return std::pair(!hadEvents_, hadBegun()) > std::pair(!other.hadEvents_, other.hadBegun());
    }

    friend bool operator==(const RequestAtCrash &, const RequestAtCrash &) = default;
};

/// \brief The crash of an endpoint, as observed by this entry VM.
struct EndpointCrash
{
    EndpointIncarnation endpoint_;
    std::vector<RequestAtCrash> requests_;
    /// Parts of these requests' prompts, each as in the most suspicious one of them.
    std::vector<RequestAtCrash> parts_{};
};

/// \brief Whether the path to an endpoint is trusted to be whole.
enum class PathTrust {
    Trusted,
    Undecided, ///< This entry VM may have lost its paths to many endpoints.
    Lost,
};

/// \brief Investigates broken attempts. Not thread-safe; used on the gateway's thread.
class CrashDetector
{
public:
    /// \param clock, upstream must outlive the detector.
    CrashDetector(Clock &clock, net::Upstream &upstream);
    ~CrashDetector();

    /// \brief Sets the callback that sweep() invokes for each crashed endpoint; invoked again for
    /// requests whose connections break later.
    void onCrash(std::function<void(const EndpointCrash &)> action)
    {
        crashCallback_ = std::move(action);
    }

    /// \brief Sets the function that tells how far refused connections show that an endpoint has
    /// ended. Without one they always do.
    void setPathCheck(std::function<PathTrust(const VmId &)> check)
    {
        pathCheck_ = std::move(check);
    }

    /// \brief Records an attempt at the endpoint that broke before its answer was complete.
    /// \param parts the parts of the request's prompt that other requests may share.
    void onAttemptBroken(const EndpointIncarnation &endpoint, const Address &address,
                         RequestAtCrash request, std::span<const RequestFingerprint> parts = {});

    /// \brief Records that the platform lists a new instance of the endpoint.
    void endpointRestarted(const EndpointIncarnation &endpoint);

    /// \brief Endpoints under investigation that refuse connections.
    [[nodiscard]] std::vector<VmId> refusing() const;

    /// \brief Reports detected crashes. Call every Gateway::sweepPeriod.
    void sweep();

private:
    class Probe;
    enum class Verdict { Undecided, Ended, Alive };
    struct Investigation
    {
        Address address_;
        TimePoint startedAt_{};
        bool isRestarted_ = false;
        std::unique_ptr<Probe> probe_; ///< The last one.
        std::size_t probes_ = 1;
        std::vector<RequestAtCrash> requests_; ///< Not yet reported.
        std::vector<RequestAtCrash> parts_;    ///< Of these.
    };

    static void addPart(std::vector<RequestAtCrash> &parts, const RequestAtCrash &part);
    [[nodiscard]] Verdict evaluate(const VmId &endpoint, Investigation &one);
    static void logRuledOut(const EndpointIncarnation &endpoint, const Investigation &one,
                            Verdict verdict);
    [[nodiscard]] Verdict verdictOnRefusal(const VmId &endpoint) const;

    Clock &clock_;
    net::Upstream &upstream_;
    std::function<void(const EndpointCrash &)> crashCallback_;
    std::function<PathTrust(const VmId &)> pathCheck_;
    std::map<EndpointIncarnation, Investigation> investigations_;
};

} // namespace cardamombay::serving
