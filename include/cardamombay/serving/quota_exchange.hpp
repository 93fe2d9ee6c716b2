/// \file
/// \brief Asks peers for quota when this entry VM is short of it, and answers their requests.
/// \details Quota that a peer transfers is given up by the peer before the message leaves, so lost
/// messages and processes that end can only reduce the quota of the fleet. Not thread-safe: used on
/// the gateway's thread only.
#pragma once

#include <cardamombay/core/clock.hpp>
#include <cardamombay/core/random.hpp>
#include <cardamombay/serving/quota_messages.hpp>

#include <functional>
#include <map>
#include <vector>

namespace cardamombay::serving {

/// \brief Holder of the quota that is exchanged.
class QuotaHolder
{
public:
    QuotaHolder() = default;
    QuotaHolder(const QuotaHolder &) = delete;
    QuotaHolder &operator=(const QuotaHolder &) = delete;
    virtual ~QuotaHolder() = default;

    /// \brief Gives up to \p wanted retries of quota to another entry VM.
    /// \returns the amount given up.
    [[nodiscard]] virtual double giveQuota(const ServiceName &service, double wanted) = 0;

    /// \brief Receives quota that must be spent before \p until.
    virtual void takeQuota(const ServiceName &service, double amount, TimePoint until) = 0;

    /// \brief Time within which transferred quota must be spent.
    [[nodiscard]] virtual Duration quotaLifetime() const = 0;
};

/// \brief Both sides of the exchange at one entry VM.
class QuotaExchange
{
public:
    /// \param clock, holder must outlive the exchange.
    QuotaExchange(Clock &clock, QuotaHolder &holder, Random random);

    /// \name Peers
    /// \{
    void setSelf(EntryId entry, Address address);
    void setPeers(const std::map<EntryId, Address> &peers);
    void onSend(std::function<void(const Address &, std::string_view)> send)
    {
        send_ = std::move(send);
    }
    /// \returns false if \p text is not a message of the exchange.
    bool take(std::string_view text);
    /// \}

    /// \brief Asks a peer for \p amount retries of \p service unless an answer is awaited.
    /// \details The need lapses unless it is repeated at each sweep.
    void need(const ServiceName &service, double amount);

    /// \brief True if a peer has been asked and may still answer, or another one can be asked soon.
    [[nodiscard]] bool isHopeful(const ServiceName &service) const;

    /// \brief Asks the next peer where an answer is overdue. Call every Gateway::sweepPeriod.
    void sweep();

private:
    struct Peer
    {
        EntryId entry_;
        Address address_;
    };
    struct Asked
    {
        ServiceName service_;
        EntryId peer_;
        double amount_ = 0;
        TimePoint at_{};
    };
    struct Need
    {
        double amount_ = 0;
        TimePoint at_{};            ///< Last call of need().
        std::uint64_t awaited_ = 0; ///< Number of the request; 0 if there is none.
        TimePoint askedAt_{};
        TimePoint nextAt_{};                   ///< No peer is asked before.
        Duration pause_{};                     ///< After the next refusal.
        std::map<EntryId, TimePoint> skipped_; ///< Until when.
    };

    void ask(const ServiceName &service, Need &need);
    [[nodiscard]] const Peer *choosePeer(const Need &need);
    void answer(const QuotaRequest &request);
    void receive(const QuotaTransfer &transfer);
    void refused(Need &need, const EntryId &peer, Duration skipFor);

    Clock &clock_;
    QuotaHolder &holder_;
    Random random_;
    EntryId self_;
    Address address_;
    std::vector<Peer> peers_;
    std::function<void(const Address &, std::string_view)> send_;
    std::uint64_t lastNumber_;
    std::map<ServiceName, Need> needs_;
    std::map<std::uint64_t, Asked> asked_; ///< Not answered; late answers are used as well.
};

} // namespace cardamombay::serving
