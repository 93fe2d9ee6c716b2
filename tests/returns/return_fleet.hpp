/// \file
/// \brief Coordinators of returns of a whole fleet, without a network, on a paused clock.
#pragma once

#include <cardamombay/core/hash.hpp>
#include <cardamombay/core/manual_clock.hpp>
#include <cardamombay/core/random.hpp>
#include <cardamombay/metrics/registry.hpp>
#include <cardamombay/serving/return_coordinator.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cardamombay::returns {

inline const ModelName model{"writer"};
inline constexpr Duration step = std::chrono::milliseconds(20);

/// \brief Entry VMs whose messages arrive after 1 ms unless one is stopped or the message is lost.
class ReturnFleet
{
public:
    explicit ReturnFleet(std::size_t count, double lossShare = 0, std::uint64_t seed = 1)
        : lossShare_(lossShare)
        , random_(seed)
    {
        for (std::size_t i = 0; i < count; ++i)
            entries_.push_back(std::make_unique<Entry>(*this, i));
        seeAll({});
    }

    /// \brief All entry VMs know each other, except \p gone.
    void seeAll(const std::set<std::size_t> &gone)
    {
        for (std::size_t i = 0; i < entries_.size(); ++i) {
            std::map<EntryId, Address> peers;
            for (std::size_t k = 0; k < entries_.size(); ++k) {
                if (k != i && !gone.contains(k))
                    peers.emplace(nameOf(k), addressOf(k));
            }
            coordinator(i).setPeers(std::move(peers));
        }
    }

    [[nodiscard]] serving::ReturnCoordinator &coordinator(std::size_t index)
    {
        return entries_[index]->coordinator_;
    }
    [[nodiscard]] const serving::GatewayMetrics &metrics(std::size_t index) const
    {
        return entries_[index]->metrics_;
    }
    [[nodiscard]] std::size_t size() const { return entries_.size(); }
    [[nodiscard]] TimePoint now() const { return clock_.now(); }

    /// \brief Index of the entry VM that owns \p request among those not in \p gone.
    [[nodiscard]] std::size_t owner(std::uint64_t request,
                                    const std::set<std::size_t> &gone = {}) const
    {
        std::vector<EntryId> entries;
        for (std::size_t i = 0; i < entries_.size(); ++i) {
            if (!gone.contains(i))
                entries.push_back(nameOf(i));
        }
        const auto order
            = rendezvousOrder(serving::RequestFingerprint(request).text(), std::move(entries));
        return indexOf(order.front());
    }

    /// \brief Index of an entry VM that does not own \p request.
    [[nodiscard]] std::size_t other(std::uint64_t request) const
    {
        return (owner(request) + 1) % entries_.size();
    }

    /// \brief Promises room for \p request \p after from now.
    void promise(std::size_t index, std::uint64_t request, Duration after)
    {
        coordinator(index).promise(
            overload::promiseOf(request, model, {2, 0.1}, {after, true}, now()));
    }

    /// \brief Claims at once; the answer is set when it arrives.
    [[nodiscard]] std::shared_ptr<std::optional<bool>>
    claim(std::size_t index, std::uint64_t request, Duration within = serving::maxClaimWait)
    {
        auto answer = std::make_shared<std::optional<bool>>();
        coordinator(index).claim(
            serving::RequestFingerprint(request), within, [answer](bool isGranted) {
                // Exactly one answer.
                *answer = answer->has_value() ? std::nullopt : std::optional(isGranted);
            });
        return answer;
    }

    /// \brief Claims and waits for the answer.
    [[nodiscard]] std::optional<bool> claimed(std::size_t index, std::uint64_t request)
    {
        const auto answer = claim(index, request);
        pass(step);
        return *answer;
    }

    void pass(Duration time)
    {
        for (Duration done{}; done < time; done += step) {
            clock_.advance(std::min(step, time - done));
            for (std::size_t i = 0; i < entries_.size(); ++i) {
                if (!stopped_.contains(i))
                    coordinator(i).sweep();
            }
        }
    }

    /// \brief Suspends an entry VM; what is sent to it waits until resume().
    void suspend(std::size_t index) { suspended_.insert(index), stopped_.insert(index); }
    void resume(std::size_t index)
    {
        suspended_.erase(index);
        stopped_.erase(index);
        for (const auto &text : std::exchange(entries_[index]->waiting_, {}))
            (void)coordinator(index).take(text);
    }

    static EntryId nameOf(std::size_t index) { return EntryId("entry-" + std::to_string(index)); }
    static Address addressOf(std::size_t index)
    {
        return {"10.0.0.1", static_cast<std::uint16_t>(firstPort + index)};
    }

    ManualClock clock_;
    std::set<std::size_t> stopped_; ///< Entry VMs that neither receive nor sweep.
    int losses_ = 0;                ///< Number of upcoming messages to drop.
    std::size_t messages_ = 0;
    std::size_t bytes_ = 0;

private:
    static constexpr std::uint16_t firstPort = 7000;

    struct Entry
    {
        Entry(ReturnFleet &fleet, std::size_t index)
            : coordinator_(fleet.clock_, metrics_, Random(index))
        {
            coordinator_.setSelf(nameOf(index));
            coordinator_.onSend(
                [&fleet](const Address &to, std::string_view text) { fleet.deliver(to, text); });
        }
        metrics::Registry registry_;
        serving::GatewayMetrics metrics_{registry_};
        serving::ReturnCoordinator coordinator_;
        std::vector<std::string> waiting_; ///< Received while suspended.
    };

    [[nodiscard]] std::size_t indexOf(const EntryId &entry) const
    {
        for (std::size_t i = 0; i < entries_.size(); ++i) {
            if (nameOf(i) == entry)
                return i;
        }
        return entries_.size();
    }

    void deliver(const Address &to, std::string_view text)
    {
        ++messages_;
        bytes_ += text.size();
        const auto index = static_cast<std::size_t>(to.port_ - firstPort);
        if (losses_ > 0 || random_.unit() < lossShare_) {
            losses_ = std::max(0, losses_ - 1);
            return;
        }
        clock_.schedule(std::chrono::milliseconds(1), [this, index, text = std::string(text)] {
            if (suspended_.contains(index))
                entries_[index]->waiting_.push_back(text);
            else if (!stopped_.contains(index))
                (void)coordinator(index).take(text);
        });
    }

    double lossShare_;
    Random random_;
    std::set<std::size_t> suspended_;
    std::vector<std::unique_ptr<Entry>> entries_;
};

} // namespace cardamombay::returns
