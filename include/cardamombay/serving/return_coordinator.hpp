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

#include <functional>
#include <map>

namespace cardamombay::serving {

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
    /// \param within longest wait for the owner's answer.
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

    /// \name Peers
    /// \{
    void setSelf(EntryId entry) { self_ = std::move(entry); }
    void setPeers(std::map<EntryId, Address> peers);
    void onSend(std::function<void(const Address &, std::string_view)> send)
    {
        send_ = std::move(send);
    }
    /// \returns false if \p text is not a message about returns.
    bool take(std::string_view text);
    /// \}

    void promise(const overload::ReturnPromise &promise) override;
    void claim(const RequestFingerprint &request, Duration within,
               std::function<void(bool isGranted)> answered) override;

    /// \brief Ends claims that were not answered in time and drops lapsed promises. Call
    /// periodically.
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
    };

    [[nodiscard]] const Address *ownerOf(std::uint64_t request) const;

    Clock &clock_;
    GatewayMetrics &metrics_;
    EntryId self_;
    std::map<EntryId, Address> peers_;
    std::function<void(const Address &, std::string_view)> send_;
    overload::ReturnRegister register_;
    std::uint64_t lastId_;
    std::map<std::uint64_t, Claim> claims_;
};

} // namespace cardamombay::serving
