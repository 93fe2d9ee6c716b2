#include <cardamombay/serving/crash_detector.hpp>

#include "serving/log_events.hpp"

#include <cardamombay/log/log.hpp>

#include <algorithm>
#include <utility>

namespace cardamombay::serving {

namespace {

/// Time to collect the requests of one crash. All connections of an entry VM to a crashed process
/// break within 2 ms (23 crashes with up to 60 requests each).
constexpr Duration collectPeriod = std::chrono::milliseconds(10);

/// Answers that had already arrived are read later but belong to the same crash. An engine restarts
/// within seconds, so a refused probe is evidence about the same instance only for this long.
constexpr Duration investigationLifetime = std::chrono::seconds(2);

/// A listening process accepts within 1 to 2 ms; the time-out also covers one retransmission.
constexpr Duration probeTimeout = std::chrono::milliseconds(500);

/// Maximum number of probes, one for each sweep, whose last one was accepted or reset.
constexpr std::size_t maxProbesIfAccepted = 2;
constexpr std::size_t maxProbesIfReset = 4;

/// Maximum number of requests collected per crash: several batches; bounds memory. The same for
/// the parts of their prompts.
constexpr std::size_t maxRequests = 128;
constexpr std::size_t maxParts = 128;

} // namespace

/// Opens a connection without sending a request.
class CrashDetector::Probe final : public net::UpstreamListener
{
public:
    enum class State {
        Pending,
        Accepted,
        Refused,
        Reset, ///< Accepted by a listener that was closing, or broken on the way.
        Silent,
    };

    Probe(net::Upstream &upstream, const Address &address)
        : call_(upstream.probe(address, probeTimeout, *this))
    {
    }

    [[nodiscard]] State state() const { return state_; }

    bool onConnected() override
    {
        state_ = State::Accepted;
        return false;
    }
    void onHead(net::HttpResponse /*head*/) override {}
    void onData(std::string_view /*data*/) override {}
    void onEnd(std::string_view /*rest*/) override {}
    void onFailure(net::UpstreamFailure failure) override
    {
        state_ = failure.isRefused_   ? State::Refused
                 : failure.isTimeout_ ? State::Silent
                                      : State::Reset;
        detail_ = std::move(failure.detail_);
    }

    /// \brief What the probe found, for logs.
    [[nodiscard]] std::string text() const
    {
        switch (state_) {
        case State::Pending:
            return "no answer yet";
        case State::Accepted:
            return "accepted";
        case State::Refused:
        case State::Reset:
        case State::Silent:
            break;
        }
        return detail_;
    }

private:
    State state_ = State::Pending;
    std::string detail_;
    std::unique_ptr<net::UpstreamCall> call_;
};

CrashDetector::CrashDetector(Clock &clock, net::Upstream &upstream)
    : clock_(clock)
    , upstream_(upstream)
{
}

CrashDetector::~CrashDetector() = default;

void CrashDetector::onAttemptBroken(const EndpointIncarnation &endpoint, const Address &address,
                                    RequestAtCrash request,
                                    std::span<const RequestFingerprint> parts)
{
    const auto [place, isNew] = investigations_.try_emplace(endpoint);
    auto &one = place->second;
    if (isNew) {
        one.address_ = address;
        one.startedAt_ = clock_.now();
        one.probe_ = std::make_unique<Probe>(upstream_, address);
    }
    if (one.requests_.size() < maxRequests)
        one.requests_.push_back(request);
    for (const auto &part : parts)
        addPart(one.parts_, {part, request.hadEvents_, request.hadHead_});
}

void CrashDetector::endpointRestarted(const EndpointIncarnation &endpoint)
{
    const auto found = investigations_.find(endpoint);
    if (found != investigations_.end())
        found->second.isRestarted_ = true;
}

std::vector<VmId> CrashDetector::refusing() const
{
    std::vector<VmId> result;
    for (const auto &[endpoint, one] : investigations_) {
        if (one.probe_->state() == Probe::State::Refused)
            result.push_back(endpoint.id_);
    }
    return result;
}

void CrashDetector::sweep()
{
    std::vector<EndpointCrash> crashes;
    for (auto place = investigations_.begin(); place != investigations_.end();) {
        const auto &endpoint = place->first;
        auto &one = place->second;
        const auto verdict = evaluate(endpoint.id_, one);
        if (verdict == Verdict::Ended && !one.requests_.empty())
            crashes.push_back(
                {endpoint, std::exchange(one.requests_, {}), std::exchange(one.parts_, {})});
        const bool isOver
            = verdict == Verdict::Alive || clock_.now() - one.startedAt_ > investigationLifetime;
        if (isOver && !one.requests_.empty())
            logRuledOut(endpoint, one, verdict);
        place = isOver ? investigations_.erase(place) : std::next(place);
    }
    for (const auto &crash : crashes) {
        if (crashCallback_)
            crashCallback_(crash);
    }
}

void CrashDetector::addPart(std::vector<RequestAtCrash> &parts, const RequestAtCrash &part)
{
    const auto known = std::find_if(parts.begin(), parts.end(), [&part](const auto &one) {
        return one.fingerprint_ == part.fingerprint_;
    });
    if (known == parts.end()) {
        if (parts.size() < maxParts)
            parts.push_back(part);
    } else if (part.isMoreSuspicious(*known)) {
        *known = part;
    }
}

void CrashDetector::logRuledOut(const EndpointIncarnation &endpoint, const Investigation &one,
                                Verdict verdict)
{
    log::info(event::endpointCrashRuledOut,
              {{"endpoint", endpoint.text()},
               {"under-way", std::to_string(one.requests_.size())},
               {"verdict", verdict == Verdict::Alive ? "alive" : "undecided"},
               {"probe", one.probe_->text()},
               {"probes", std::to_string(one.probes_)}});
}

/// A terminating process may still accept connections while the existing ones break, and its
/// listener resets those that it accepts as it closes. Such probes are repeated.
CrashDetector::Verdict CrashDetector::evaluate(const VmId &endpoint, Investigation &one)
{
    if (clock_.now() - one.startedAt_ < collectPeriod)
        return Verdict::Undecided;
    const auto state = one.probe_->state();
    if (one.isRestarted_)
        return Verdict::Ended;
    if (state == Probe::State::Refused)
        return verdictOnRefusal(endpoint);
    if (state == Probe::State::Pending)
        return Verdict::Undecided;
    const auto limit = state == Probe::State::Reset ? maxProbesIfReset : maxProbesIfAccepted;
    if (state == Probe::State::Silent || one.probes_ >= limit)
        return Verdict::Alive;
    ++one.probes_;
    one.probe_ = std::make_unique<Probe>(upstream_, one.address_);
    return Verdict::Undecided;
}

CrashDetector::Verdict CrashDetector::verdictOnRefusal(const VmId &endpoint) const
{
    switch (pathCheck_ ? pathCheck_(endpoint) : PathTrust::Trusted) {
    case PathTrust::Undecided:
        return Verdict::Undecided;
    case PathTrust::Lost:
        return Verdict::Alive;
    case PathTrust::Trusted:
        break;
    }
    return Verdict::Ended;
}

} // namespace cardamombay::serving
