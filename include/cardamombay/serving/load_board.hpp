/// \file
/// \brief What this entry VM has under way at each endpoint, and whether it gets on.
/// \details Decides whether an endpoint is silent: it has work of ours and nothing has come from it
/// for longer than a healthy one ever pauses. A silent endpoint gets nothing new for a while, then
/// a single request as a trial.
#pragma once

#include <cardamombay/core/ids.hpp>
#include <cardamombay/core/time.hpp>

#include <cstddef>
#include <map>
#include <string>
#include <unordered_map>

namespace cardamombay::serving {

/// \brief Work under way by endpoint; belongs to one thread.
class LoadBoard
{
public:
    /// \name Events of attempts
    /// \{
    void started(const VmId &endpoint, TimePoint now);
    /// \brief Something came: an event, a head, a whole answer.
    void progressed(const VmId &endpoint, TimePoint now);
    void ended(const VmId &endpoint);
    /// \brief The endpoint failed an attempt or kept silent.
    void failed(const VmId &endpoint, TimePoint now);
    /// \}

    /// \brief Takes the counts of a peer, in place of its earlier ones.
    void setPeerLoad(const std::string &peer, std::unordered_map<VmId, std::size_t> counts,
                     TimePoint now);

    /// \brief Drops endpoints without work that nothing was heard of for long.
    void expire(TimePoint now);

    /// \name State
    /// \{
    /// \brief Requests that this entry VM has there.
    [[nodiscard]] std::size_t own(const VmId &endpoint) const;
    /// \brief Requests that all entry VMs have there, as far as is known.
    [[nodiscard]] std::size_t total(const VmId &endpoint) const;
    /// \brief How long nothing came though there was work; zero without work.
    [[nodiscard]] Duration silence(const VmId &endpoint, TimePoint now) const;
    /// \brief False while the endpoint is avoided after a failure.
    [[nodiscard]] bool isUsable(const VmId &endpoint, TimePoint now) const;
    /// \brief When something came from the endpoint last; the epoch if never.
    [[nodiscard]] TimePoint heardAt(const VmId &endpoint) const;
    /// \brief Own counts, for peers.
    [[nodiscard]] std::unordered_map<VmId, std::size_t> ownCounts() const;
    /// \}

private:
    struct Entry
    {
        std::size_t own_ = 0;
        TimePoint quietSince_{}; ///< Last progress, or when the first work of now began.
        TimePoint heardAt_{};
        TimePoint avoidUntil_{};
        std::size_t failuresInRow_ = 0;
        bool isOnTrial_ = false;
    };
    struct PeerLoad
    {
        std::unordered_map<VmId, std::size_t> counts_;
        TimePoint at_{};
    };

    std::unordered_map<VmId, Entry> entries_;
    std::map<std::string, PeerLoad> peers_;
};

} // namespace cardamombay::serving
