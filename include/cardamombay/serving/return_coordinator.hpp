/// \file
/// \brief Records promises to refused callers at their owners, and asks owners when callers come
/// back.
/// \details The owner of a request is the first entry VM by rendezvous hashing of its fingerprint.
/// Without an answer in time a request counts as new. Decides nothing about admission.
#pragma once

#include <cardamombay/core/address.hpp>
#include <cardamombay/core/clock.hpp>
#include <cardamombay/core/random.hpp>
#include <cardamombay/overload/return_register.hpp>
#include <cardamombay/serving/gateway_metrics.hpp>
#include <cardamombay/serving/request_fingerprint.hpp>
#include <cardamombay/serving/return_messages.hpp>

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <unordered_set>

namespace cardamombay::serving {

/// An entry VM waits at most this long for an owner's answer, which takes a few milliseconds; the
/// request would otherwise miss its goal for a right that it may not have.
inline constexpr Duration maxClaimWait = std::chrono::milliseconds(20);

/// \brief Longest wait for an owner's answer about a request: a tenth of its latency goal.
[[nodiscard]] inline Duration claimWait(Duration latencyGoal)
{
    return std::min(latencyGoal / 10, maxClaimWait);
}

/// \brief Answers whether a caller has come back when told to. Mocked in tests of sessions.
class ReturnRights
{
public:
    ReturnRights() = default;
    ReturnRights(const ReturnRights &) = delete;
    ReturnRights &operator=(const ReturnRights &) = delete;
    virtual ~ReturnRights() = default;

    /// \brief Records that the caller of \p promise.request_ may come back.
    virtual void promise(const overload::ReturnPromise &promise) = 0;

    /// \brief Asks for the right of \p request and uses it up if there is one.
    /// \param within longest wait for the owner's answer; at most maxClaimWait.
    /// \param answered called exactly once, possibly before this function returns.
    virtual void claim(const RequestFingerprint &request, Duration within,
                       std::function<void(bool isGranted)> answered)
        = 0;
};

/// \brief Client and owner side of one entry VM. Not thread-safe: used on the gateway's thread
/// only.
class ReturnCoordinator final : public ReturnRights
{
public:
    /// \param clock, metrics must outlive the coordinator.
    ReturnCoordinator(Clock &clock, GatewayMetrics &metrics, Random random);
    ReturnCoordinator(const ReturnCoordinator &) = delete;
    ReturnCoordinator &operator=(const ReturnCoordinator &) = delete;
    /// \brief Drops claims in progress without an answer.
    ~ReturnCoordinator() override;

    /// \name Peers
    /// \{
    void setSelf(EntryId entry) { self_ = std::move(entry); }
    /// \brief Replaces the known peers. Logs the promises made here whose owner is lost.
    void setPeers(std::map<EntryId, Address> peers);
    void onSend(std::function<void(const Address &, std::string_view)> send)
    {
        send_ = std::move(send);
    }
    /// \brief Handles a message about returns. Forged and implausible ones are logged and ignored.
    /// \returns false if \p text is not a message about returns.
    bool take(std::string_view text);
    /// \}

    void promise(const overload::ReturnPromise &promise) override;
    void claim(const RequestFingerprint &request, Duration within,
               std::function<void(bool isGranted)> answered) override;

    /// \brief Drops lapsed promises; claims end by their own timers. Call at least
    /// every 100 ms: after a longer pause the process counts as suspended, and promises and claims
    /// that arrived meanwhile are ignored.
    void sweep();

    /// \brief Work of the promises that this entry VM owns, in seconds by model; for digests.
    [[nodiscard]] std::map<ModelName, double> promisedWork() const
    {
        return register_.promisedWork();
    }

private:
    struct Claim
    {
        TimePoint until_{};
        std::function<void(bool)> answered_;
        TimerId timer_ = TimerId::None;
    };
    /// A promise made here that another entry VM keeps.
    struct Issued
    {
        std::uint64_t request_ = 0;
        EntryId owner_;
    };
    using Peers = std::map<EntryId, Address>;

    [[nodiscard]] Peers::const_iterator ownerOf(std::uint64_t request) const;
    void logLostOwners(const Peers &before) const;
    void dropVoidPromises();
    void take(const ReturnPromised &message, std::string_view text);
    void take(const ReturnClaimed &message, std::string_view text);
    void take(const ReturnAnswer &message, std::string_view text);
    void endClaim(std::uint64_t id, std::optional<bool> answer);
    void conclude(const std::function<void(bool)> &answered, std::optional<bool> answer) const;
    [[nodiscard]] bool isStale(TimePoint now) const;
    void ignore(std::string_view text, std::string_view reason);
    void send(const Address &to, std::string_view text) const;

    Clock &clock_;
    GatewayMetrics &metrics_;
    EntryId self_;
    Peers peers_;
    std::function<void(const Address &, std::string_view)> send_;
    overload::ReturnRegister register_;
    std::uint64_t firstId_; ///< Ids of claims are in (firstId_, lastId_].
    std::uint64_t lastId_;
    std::map<std::uint64_t, Claim> claims_;
    std::multimap<TimePoint, Issued> issued_; ///< By the end of the right.
    TimePoint lastSweepAt_;
    TimePoint staleUntil_{}; ///< Messages received before may be older than the process can tell.
    std::unordered_set<std::uint64_t> ignored_; ///< Hashes of ignored messages that were logged.
    TimePoint ignoredSince_;
};

} // namespace cardamombay::serving
