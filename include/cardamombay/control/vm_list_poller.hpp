/// \file
/// \brief Keeps the platform's VM list at hand.
/// \details Decides when to ask for the list. A few pollers of each availability zone ask often, so
/// that a leaving VM is noticed; the others ask seldom, since they hear of leaving VMs by digest,
/// and at once when a VM is missed. A list never replaces one that was taken later.
#pragma once

#include <cardamombay/core/clock.hpp>
#include <cardamombay/core/random.hpp>
#include <cardamombay/platform/vm_directory.hpp>

#include <functional>
#include <memory>

namespace cardamombay::control {

/// \brief Periodic reader of the VM list.
class VmListPoller
{
public:
    /// \param clock the runtime clock.
    /// \param directory answers with the list.
    /// \param random spreads the reads of many nodes.
    /// \param often period of a poller.
    /// \param seldom period of the others.
    VmListPoller(Clock &clock, platform::VmDirectory &directory, Random random, Duration often,
                 Duration seldom);
    VmListPoller(const VmListPoller &) = delete;
    VmListPoller &operator=(const VmListPoller &) = delete;
    ~VmListPoller();

    /// \brief Reads now and then periodically.
    void start();

    /// \brief Whether this node is one of the pollers of its availability zone.
    void setPoller(bool isPoller);

    /// \brief A VM is missing in the list: reads within a second.
    void want();

    /// \brief Called after a later list was taken.
    void onList(std::function<void()> action) { changed_ = std::move(action); }

    /// \brief The latest list; empty before the first.
    [[nodiscard]] const platform::VmList &list() const { return list_; }

    /// \brief Age of the latest list, the platform's lag included.
    [[nodiscard]] Duration age() const { return clock_.now() - takenAt_; }
    [[nodiscard]] bool hasList() const { return hasList_; }

private:
    void arm(Duration delay);
    void ask();
    void take(platform::VmList list);
    [[nodiscard]] Duration period();

    Clock &clock_;
    platform::VmDirectory &directory_;
    Random random_;
    Duration often_;
    Duration seldom_;
    bool isPoller_ = true;
    bool isAsking_ = false;
    bool hasList_ = false;
    platform::VmList list_;
    TimePoint takenAt_{};
    TimePoint dueAt_{};
    TimerId timer_ = TimerId::None;
    std::function<void()> changed_;
    std::shared_ptr<bool> isAlive_ = std::make_shared<bool>(true);
};

} // namespace cardamombay::control
