/// \file
/// \brief A gateway on a paused clock with fakes for callers, endpoints and header fields.
#pragma once

#include <cardamombay/core/manual_clock.hpp>
#include <cardamombay/serving/gateway.hpp>

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cardamombay::support {

/// \brief Plain names for all header fields: "id", "host", "key", "model", "refused", "seal" ...
class FakeDialect final : public serving::Dialect
{
public:
    [[nodiscard]] serving::CallerHead
    callerHead(std::span<const net::HttpField> fields) const override;
    [[nodiscard]] std::vector<net::HttpField>
    attemptFields(std::span<const net::HttpField> fields,
                  const serving::AttemptHead &attempt) const override;
    [[nodiscard]] serving::AnswerHead answerHead(const net::HttpResponse &head) const override;
    [[nodiscard]] std::vector<net::HttpField>
    callerFields(const net::HttpResponse &head) const override;
    [[nodiscard]] net::HttpResponse failure(std::uint32_t status, std::string_view reason,
                                            std::optional<Duration> comeBack) const override;
};

/// \brief One call that the gateway made.
struct FakeCall
{
    net::UpstreamRequest request_;
    net::UpstreamListener *listener_ = nullptr; ///< Null once the call was dropped.

    [[nodiscard]] bool isDropped() const { return listener_ == nullptr; }
    [[nodiscard]] std::string field(std::string_view name) const;

    /// \name What the endpoint does
    /// \{
    /// \brief The connection is up.
    /// \returns true if the request is sent.
    bool connect() const;
    void head(std::uint32_t status, std::vector<net::HttpField> fields) const;
    void sealedHead() const { head(200, {{"seal", "s"}}); }
    void refuse() const { head(503, {{"refused", "1"}}); }
    void data(std::string_view text) const;
    void end(std::string_view rest) const;
    void fail(bool mayHaveLeft) const;
    /// \}
};

/// \brief Records the calls that the gateway makes.
class FakeUpstream final : public net::Upstream, public net::UnusedConnections
{
public:
    [[nodiscard]] bool hasUnused(const Address &address) const override
    {
        return unused_.contains(address);
    }

    [[nodiscard]] std::unique_ptr<net::UpstreamCall>
    start(net::UpstreamRequest request, net::UpstreamListener &listener) override;

    /// \brief Nobody listens at addresses in ended_; all others do.
    [[nodiscard]] std::unique_ptr<net::UpstreamCall>
    probe(const Address &address, Duration timeout, net::UpstreamListener &listener) override;

    std::set<Address> ended_;
    std::size_t probes_ = 0;
    std::vector<std::shared_ptr<FakeCall>> calls_;
    std::set<Address> unused_; ///< Addresses that a kept connection leads to.
};

/// \brief What a caller has received.
struct CallerView
{
    std::optional<net::HttpResponse> answer_; ///< A whole answer.
    std::optional<net::HttpResponse> streamHead_;
    std::string streamed_;
    bool isFinished_ = false;
    bool isAborted_ = false;
    std::function<void()> lost_;

    [[nodiscard]] std::uint32_t status() const { return answer_ ? answer_->status_ : 0; }
};

/// \brief Sends a request with \p key to \p gateway; two with the same arguments ask for the same.
/// \param patience how long the caller says that it waits; nothing if it is zero.
[[nodiscard]] std::shared_ptr<CallerView> askAt(serving::Gateway &gateway, const std::string &path,
                                                const std::string &model, const std::string &key,
                                                Duration patience = {});

/// \brief A gateway with one plain service, one service of engines, and two teams.
/// \details Routes of host "h": /once/ (non-idempotent), /again/ (idempotent) to "plain" with
/// endpoints p-0 and p-1; /stream/ (resumable) and /raw/ (not resumable) to "engines".
class GatewayFixture
{
public:
    GatewayFixture();

    /// \brief Lists a serving group of two engines whose head is \p head.
    void addGroup(const std::string &head, const std::string &model = "m");

    /// \brief Sends a request for \p path with team A's key.
    std::shared_ptr<CallerView> ask(const std::string &path, const std::string &model = "m",
                                    const std::string &key = "key-a");

    /// \brief Advances the clock in sweeps; the configuration stays confirmed.
    void pass(Duration time);

    /// \brief The call made last; the test fails if there is none.
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

/// \brief An engine without a group that has \p staged on its host, or nothing if that is empty.
[[nodiscard]] serving::Endpoint spareEngine(const std::string &id, const std::string &domain,
                                            const std::string &staged = {});

} // namespace cardamombay::support
