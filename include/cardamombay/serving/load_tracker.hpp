/// \file
/// \brief What this entry VM has under way at each endpoint, and whether it gets on.
/// \details Decides whether an endpoint is silent: it has work of ours and nothing has come from it
/// for longer than a healthy one ever pauses. A silent endpoint gets nothing new for a while, then
/// a single request as a trial.
#pragma once

#include <cardamombay/core/ids.hpp>
#include <cardamombay/core/time.hpp>
#include <cardamombay/serving/endpoint.hpp>

#include <cstddef>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace cardamombay::serving {

/// \brief Work under way by endpoint; belongs to one thread.
class LoadTracker
{
public:
    /// A group that fails one request is avoided at once: the next one is mostly as good.
    static constexpr double groupErrorWeight = 0.4;
    /// Plain services fail some requests by their nature, whichever endpoint gets them, so it takes
    /// four in a row.
    static constexpr double plainErrorWeight = 0.12;

    /// \name Events of attempts
    /// \{
    /// \param promptTokens what the endpoint has to read first.
    void started(const VmId &endpoint, std::size_t promptTokens, TimePoint now);
    /// \brief Something came: an event, a head, a whole answer.
    void progressed(const VmId &endpoint, TimePoint now);
    void ended(const VmId &endpoint);
    /// \brief The endpoint gave a whole answer that is no failure of its own.
    void succeeded(const VmId &endpoint);
    /// \brief The endpoint answered with a failure of its own; it is avoided if that is frequent.
    /// \param weight of this answer in the rate of failures.
    void erred(const VmId &endpoint, double weight, TimePoint now);
    /// \brief The endpoint failed an attempt.
    void failed(const VmId &endpoint, TimePoint now);
    /// \brief A stream there paused for longer than a healthy endpoint ever does.
    void stalled(const VmId &endpoint, TimePoint now);
    /// \brief The endpoint's process has ended. Nothing more goes to this life of it.
    void crashed(const EndpointIncarnation &endpoint, TimePoint now);
    /// \brief The endpoint has started again: it has nothing to read, and none of its failures.
    void restarted(const VmId &endpoint);
    /// \}

    /// \brief What a peer has under way and has sent, and the endpoints that are silent there.
    struct PeerLoad
    {
        std::unordered_map<VmId, std::size_t> counts_;
        std::unordered_map<VmId, std::size_t> sent_; ///< Prompt tokens since it started.
        std::vector<VmId> silent_;
        TimePoint at_{};
        std::size_t entries_ = 1;                       ///< Entry VMs that it is the sum of.
        std::unordered_map<VmId, std::size_t> heard_{}; ///< Those that hear from an endpoint.
    };

    /// \brief Takes the news of a peer, in place of its earlier ones.
    void setPeerLoad(const std::string &peer, PeerLoad load);

    /// \brief Drops the news of all peers, since they will come from others.
    void forgetPeers() { peers_.clear(); }

    /// \brief Drops endpoints without work that nothing was heard of for long.
    void expire(TimePoint now);

    /// \name State
    /// \{
    /// \brief Requests that this entry VM has there.
    [[nodiscard]] std::size_t ownRequests(const VmId &endpoint) const;
    /// \brief Requests that all entry VMs have there, as far as is known.
    [[nodiscard]] std::size_t totalRequests(const VmId &endpoint) const;
    /// \brief Prompt tokens of all entry VMs that the endpoint has still to read, if it reads
    /// \p tokensPerSecond.
    [[nodiscard]] double pendingPromptTokens(const VmId &endpoint, double tokensPerSecond,
                                             TimePoint now) const;
    /// \brief Endpoints that stalled here and were not heard since.
    [[nodiscard]] std::vector<VmId> locallyStalled() const;
    /// \brief Endpoints that stand still: streams stalled at this entry VM or a peer, and nobody
    /// hears from them.
    [[nodiscard]] std::vector<VmId> stalledEverywhere(TimePoint now) const;
    /// \brief Endpoints that have sent something just now to requests that are still there.
    [[nodiscard]] std::unordered_map<VmId, std::size_t> locallyActive(TimePoint now) const;
    /// \brief False while the endpoint is avoided after a failure.
    [[nodiscard]] bool isUsable(const VmId &endpoint, TimePoint now) const;
    /// \brief True if this life of the endpoint is known to have ended.
    [[nodiscard]] bool hasCrashed(const VmId &endpoint, std::uint64_t bornAt) const;
    /// \brief When something came from the endpoint last; the epoch if never.
    [[nodiscard]] TimePoint lastProgressAt(const VmId &endpoint) const;
    /// \brief Entry VMs whose counts are known, self not included.
    [[nodiscard]] std::size_t peerCount() const;
    /// \brief Own counts, for peers.
    [[nodiscard]] std::unordered_map<VmId, std::size_t> ownRequestCounts() const;
    /// \brief Prompt tokens sent since this process started, for peers; of endpoints that got any
    /// lately.
    [[nodiscard]] std::unordered_map<VmId, std::size_t> ownSentTokens(TimePoint now) const;
    /// \}

private:
    struct Entry
    {
        std::size_t own_ = 0;
        std::size_t sent_ = 0; ///< Prompt tokens since this process started.
        TimePoint sentAt_{};
        double unread_ = 0; ///< Prompt tokens of all entry VMs, as of unreadAt_.
        TimePoint unreadAt_{};
        double readRate_ = 0; ///< Tokens a second, as last told.
        TimePoint heardAt_{};
        TimePoint avoidUntil_{};
        double failures_ = 0; ///< Lately; a success takes a part of one away.
        double errorRate_ = 0;
        bool isOnTrial_ = false;
        bool isSilent_ = false;
    };
    [[nodiscard]] bool isHeard(const VmId &endpoint, TimePoint now) const;
    static void addUnread(Entry &entry, double tokens, TimePoint now);

    /// Mutable for the rate at which a balancer expects an endpoint to read.
    mutable std::unordered_map<VmId, Entry> entries_;
    struct Crash
    {
        std::uint64_t startedAt_ = 0; ///< Of the life that ended.
        TimePoint at_{};
    };
    std::unordered_map<VmId, Crash> crashed_;
    std::map<std::string, PeerLoad> peers_;
};

} // namespace cardamombay::serving
