/// \file
/// \brief A gateway on a manual clock with fakes for callers, endpoints and header fields.
#pragma once

#include <cardamombay/core/manual_clock.hpp>
#include <cardamombay/serving/gateway.hpp>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cardamombay::support {

/// \brief Maps header fields to plain names: "id", "host", "key", "model", "refused", "seal" etc.
class FakeDialect final : public serving::Dialect
{
public:
    [[nodiscard]] serving::RequestHead
    parseRequestHead(std::span<const net::HttpField> fields) const override;
    [[nodiscard]] std::vector<net::HttpField>
    attemptFields(std::span<const net::HttpField> fields,
                  const serving::AttemptHead &attempt) const override;
    [[nodiscard]] std::vector<net::HttpField>
    relayFields(std::span<const net::HttpField> fields,
                const serving::RelayHead &relay) const override;
    [[nodiscard]] serving::EndpointResponseHead
    parseResponseHead(const net::HttpResponse &head) const override;
    [[nodiscard]] std::vector<net::HttpField>
    callerFields(const net::HttpResponse &head) const override;
    [[nodiscard]] net::HttpResponse
    failure(std::uint32_t status, std::string_view reason,
            std::optional<Duration> suggestedRetryDelay) const override;
};

/// \brief A call made by the gateway.
struct FakeCall
{
    net::UpstreamRequest request_;
    net::UpstreamListener *listener_ = nullptr; ///< Null once the call has been dropped.

    [[nodiscard]] bool isDropped() const { return listener_ == nullptr; }
    [[nodiscard]] std::string field(std::string_view name) const;

    /// \name Actions of the endpoint
    /// \{
    /// \brief Establishes the connection.
    /// \returns true if the gateway sends the request.
    bool connect() const;
    void head(std::uint32_t status, std::vector<net::HttpField> fields) const;
    void sealedHead() const { head(200, {{"seal", "s"}}); }
    void refuse() const { head(503, {{"refused", "1"}}); }
    void data(std::string_view text) const;
    void end(std::string_view rest) const;
    void fail(bool mayHaveLeft) const;
    /// \}
};

/// \brief Records the calls made by the gateway.
class FakeUpstream final : public net::Upstream, public net::UnusedConnections
{
public:
    [[nodiscard]] bool hasUnused(const Address &address) const override
    {
        return unused_.contains(address);
    }

    [[nodiscard]] std::unique_ptr<net::UpstreamCall>
    start(net::UpstreamRequest request, net::UpstreamListener &listener) override;

    /// \brief Refuses connections to the addresses in ended_, answers nothing for those in silent_
    /// and accepts all others, after it has reset as many as resets_ tells.
    [[nodiscard]] std::unique_ptr<net::UpstreamCall>
    probe(const Address &address, Duration timeout, net::UpstreamListener &listener) override;

    std::set<Address> ended_;
    std::set<Address> silent_;
    std::map<Address, std::size_t> resets_; ///< Probes that are still to be reset.
    std::size_t probes_ = 0;
    std::vector<std::shared_ptr<FakeCall>> calls_;
    std::set<Address> unused_; ///< Addresses with an idle connection.
};

/// \brief The answer as received by a caller.
struct CallerView
{
    std::optional<net::HttpResponse> answer_; ///< A complete, non-streamed answer.
    std::optional<net::HttpResponse> streamHead_;
    std::string streamed_;
    bool isFinished_ = false;
    bool isAborted_ = false;
    std::function<void()> lost_;

    [[nodiscard]] std::uint32_t status() const { return answer_ ? answer_->status_ : 0; }
};

/// \brief Sends a request with \p key to \p gateway. Equal arguments give equal fingerprints.
/// \param patience time-out stated by the caller; none if zero.
[[nodiscard]] std::shared_ptr<CallerView> askAt(serving::Gateway &gateway, const std::string &path,
                                                const std::string &model, const std::string &key,
                                                Duration patience = {});

/// \brief The parts of a list such as "a:40,b:200" but the last.
[[nodiscard]] std::vector<serving::RequestFingerprint> sharedParts(const std::string &parts);

/// \brief Sends a request whose prompt has \p parts, such as "a:40,b:200"; none if empty.
[[nodiscard]] std::shared_ptr<CallerView>
askWithParts(serving::Gateway &gateway, const std::string &path, const std::string &model,
             const std::string &key, const std::string &parts);

/// \brief Sends a request that another entry VM relays, with \p fields beside the caller's.
[[nodiscard]] std::shared_ptr<CallerView>
askRelayed(serving::Gateway &gateway, const std::string &path, const std::string &model,
           const std::string &key, const std::vector<net::HttpField> &fields);

/// \brief A gateway with a plain service, an engine service and two teams.
/// \details Routes of host "h": /once/ (non-idempotent), /again/ (idempotent) to "plain" with
/// endpoints p-0 and p-1; /stream/ (resumable) and /raw/ (not resumable) to "engines".
class GatewayFixture
{
public:
    GatewayFixture();

    /// \brief Adds a serving group of two engines with head \p head.
    void addGroup(const std::string &head, const std::string &model = "m");

    /// \brief Sends a request for \p path with team A's key.
    std::shared_ptr<CallerView> ask(const std::string &path, const std::string &model = "m",
                                    const std::string &key = "key-a");

    /// \brief Advances the clock sweep by sweep and keeps the configuration confirmed.
    void pass(Duration time);

    /// \brief Returns the most recent call; throws std::logic_error if there is none.
    [[nodiscard]] std::shared_ptr<FakeCall> lastCall() const;

    ManualClock clock_;
    FakeDialect dialect_;
    FakeUpstream upstream_;
    serving::EndpointRegistry endpointRegistry_;
    serving::LoadTracker loadTracker_;
    serving::Balancer balancer_;
    metrics::Registry registry_;
    serving::GatewayMetrics metrics_;
    serving::Gateway gateway_;
};

/// \brief The configuration of a GatewayFixture.
[[nodiscard]] serving::Configuration gatewayConfiguration();

/// \brief An engine that is a member of a group.
[[nodiscard]] serving::Endpoint engineIn(const std::string &id, const std::string &domain,
                                         const serving::GroupName &group, std::uint64_t epoch,
                                         std::uint32_t rank, serving::MemberState state);

/// \brief An endpoint of service "plain".
[[nodiscard]] serving::Endpoint plainEndpoint(const std::string &id);

/// \brief An engine without a group whose host has the weights of \p staged, if not empty.
[[nodiscard]] serving::Endpoint spareEngine(const std::string &id, const std::string &domain,
                                            const std::string &staged = {});

} // namespace cardamombay::support
