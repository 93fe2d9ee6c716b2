/// \file
/// \brief Caches the platform's VM list.
/// \details A few pollers in each availability zone fetch the list at a short interval to detect
/// leaving VMs. The other entry VMs learn of leaving VMs from digests, so they fetch it at a long
/// interval, and early if a VM is missing. A list never replaces a more recent one.
#pragma once

#include <cardamombay/core/clock.hpp>
#include <cardamombay/core/random.hpp>
#include <cardamombay/platform/vm_directory.hpp>

#include <functional>
#include <memory>

namespace cardamombay::control {

/// \brief Fetches the VM list periodically.
class VmListPoller
{
public:
    /// \param clock the runtime clock.
    /// \param directory source of the list.
    /// \param random source of the jitter between nodes.
    /// \param pollerInterval fetch interval while this node is a poller.
    /// \param idleInterval fetch interval otherwise.
    VmListPoller(Clock &clock, platform::VmDirectory &directory, Random random,
                 Duration pollerInterval, Duration idleInterval);
    VmListPoller(const VmListPoller &) = delete;
    VmListPoller &operator=(const VmListPoller &) = delete;
    ~VmListPoller();

    /// \brief Fetches the list immediately and then periodically.
    void start();

    /// \brief Sets whether this node is one of the pollers of its availability zone.
    void setPoller(bool isPoller);

    /// \brief Fetches the list within a second, because a VM is missing from it.
    void fetchSoon();

    /// \brief Sets the callback that runs after a more recent list was stored.
    void onList(std::function<void()> action) { listHandler_ = std::move(action); }

    /// \brief The latest list; empty before the first.
    [[nodiscard]] const platform::VmList &list() const { return list_; }

    /// \brief Age of the latest list, including the platform's lag.
    [[nodiscard]] Duration age() const { return clock_.now() - takenAt_; }
    [[nodiscard]] bool hasList() const { return hasList_; }

private:
    void scheduleFetch(Duration delay);
    void fetch();
    void accept(platform::VmList list);
    [[nodiscard]] Duration period();

    Clock &clock_;
    platform::VmDirectory &directory_;
    Random random_;
    Duration pollerInterval_;
    Duration idleInterval_;
    bool isPoller_ = true;
    bool isFetching_ = false;
    bool hasList_ = false;
    platform::VmList list_;
    TimePoint takenAt_{};
    TimePoint dueAt_{};
    TimerId timer_ = TimerId::None;
    std::function<void()> listHandler_;
    std::shared_ptr<bool> isAlive_ = std::make_shared<bool>(true);
};

} // namespace cardamombay::control
