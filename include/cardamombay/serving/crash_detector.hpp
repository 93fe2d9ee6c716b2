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
    EndpointLife endpoint_;
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
        crashCallback_ = std::move(action);
    }

    /// \brief An attempt at the endpoint broke before its answer was whole.
    void onAttemptBroken(const EndpointLife &endpoint, const Address &address,
                         RequestAtCrash request);

    /// \brief The platform's list says that the endpoint has started anew since.
    void endpointRestarted(const EndpointLife &endpoint);

    /// \brief Reports what is known by now. Call every Gateway::sweepPeriod.
    void sweep();

private:
    class Probe;
    enum class Verdict { Undecided, Ended, Alive };
    struct Investigation
    {
        Address address_;
        TimePoint startedAt_{};
        bool isRestarted_ = false;
        bool isProbedTwice_ = false;
        std::unique_ptr<Probe> probe_;
        std::vector<RequestAtCrash> requests_; ///< Not reported yet.
    };

    [[nodiscard]] Verdict evaluate(Investigation &one);

    Clock &clock_;
    net::Upstream &upstream_;
    std::function<void(const EndpointCrash &)> crashCallback_;
    std::map<EndpointLife, Investigation> investigations_;
};

} // namespace cardamombay::serving
