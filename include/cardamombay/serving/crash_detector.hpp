/// \file
/// \brief Finds out whether an endpoint has ended, and which requests were under way there.
/// \details An attempt that breaks may be one lost connection, a spoiled answer or the end of the
/// endpoint. A connection that is opened right after tells them apart: where nobody listens any
/// more, the process has ended; an endpoint that is cut off or dark does not answer at all, and
/// requests are not held against it. Decides nothing about the requests.
#pragma once

#include <cardamombay/core/clock.hpp>
#include <cardamombay/net/upstream.hpp>
#include <cardamombay/serving/endpoint.hpp>
#include <cardamombay/serving/request_fingerprint.hpp>

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace cardamombay::serving {

/// \brief A request that was under way at an endpoint when it ended.
struct RequestAtCrash
{
    RequestFingerprint fingerprint_;
    bool hadEvents_ = false; ///< The endpoint had begun to answer it.

    friend bool operator==(const RequestAtCrash &, const RequestAtCrash &) = default;
};

/// \brief The end of an endpoint, as seen from here.
struct EndpointCrash
{
    EndpointIncarnation endpoint_;
    std::vector<RequestAtCrash> requests_;
};

/// \brief Watches attempts that break; belongs to the gateway's thread.
class CrashDetector
{
public:
    /// \param clock, upstream outlive the detector.
    CrashDetector(Clock &clock, net::Upstream &upstream);
    ~CrashDetector();

    /// \brief Called from sweep() for each endpoint that has ended; once more for requests that
    /// came later.
    void onCrash(std::function<void(const EndpointCrash &)> action)
    {
        crashed_ = std::move(action);
    }

    /// \brief An attempt at the endpoint broke before its answer was whole.
    void attemptBroke(const EndpointIncarnation &endpoint, const Address &address,
                      RequestAtCrash request);

    /// \brief The platform's list says that the endpoint has started anew since.
    void endpointRestarted(const EndpointIncarnation &endpoint);

    /// \brief Reports what is known by now. Call every Gateway::sweepPeriod.
    void sweep();

private:
    class Probe;
    enum class Verdict { Open, Ended, Lives };
    struct Case
    {
        Address address_;
        TimePoint openedAt_{};
        bool isRestarted_ = false;
        bool isLookedAtTwice_ = false;
        std::unique_ptr<Probe> probe_;
        std::vector<RequestAtCrash> requests_; ///< Not reported yet.
    };

    [[nodiscard]] Verdict verdictOn(Case &one);

    Clock &clock_;
    net::Upstream &upstream_;
    std::function<void(const EndpointCrash &)> crashed_;
    std::map<EndpointIncarnation, Case> cases_;
};

} // namespace cardamombay::serving
