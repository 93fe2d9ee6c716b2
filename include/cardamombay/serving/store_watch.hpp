/// \file
/// \brief Keeps a local copy of one table of the platform's store up to date.
/// \details Lists the table once and then long-polls the change feed. Lists the table again when
/// the store no longer has the change history since the local version. Decides when the store
/// counts as unreachable and as reachable again.
#pragma once

#include <cardamombay/core/clock.hpp>
#include <cardamombay/platform/change_feed.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace cardamombay::serving {

/// \brief Receives the events of a StoreWatch.
class WatchListener
{
public:
    WatchListener() = default;
    WatchListener(const WatchListener &) = delete;
    WatchListener &operator=(const WatchListener &) = delete;
    virtual ~WatchListener() = default;

    /// \brief Delivers all rows of the table; they replace all rows delivered before.
    virtual void tableListed(const std::string &table, const std::vector<platform::Row> &rows) = 0;
    virtual void rowChanged(const platform::RowChange &change) = 0;
    /// \brief Reports the version range of one feed response, after rowChanged() for each change.
    virtual void changesArrived(const std::string &table, RowVersion after, RowVersion to) = 0;
    /// \brief The copy contains all changes committed by \p asOf.
    virtual void tableConfirmed(const std::string &table, TimePoint asOf) = 0;
    /// \brief The store became unreachable, or reachable again.
    virtual void storeReachable(const std::string &table, bool isReachable) = 0;
};

/// \brief Watches one table. Used on the control thread only.
/// \code
/// StoreWatch watch(clock, store, feed, {"entries", std::chrono::seconds(2)}, listener);
/// watch.start();
/// \endcode
class StoreWatch
{
public:
    struct Settings
    {
        std::string table_;
        /// Maximum long-poll time of a call, and thus the maximum time between two confirmations
        /// while the store answers. Shorter times cost more store calls.
        Duration wait_{};
        /// Maximum pause after a response with changes, so that one call returns several changes.
        Duration pause_{};
        /// Maximum delay before a retry; dependents of the watch tolerate data up to 2 s late.
        Duration maxRetryDelay_ = std::chrono::milliseconds(400);
    };

    /// \param clock, store, feed, listener must outlive the watch.
    StoreWatch(Clock &clock, platform::TableStore &store, platform::ChangeFeed &feed,
               Settings settings, WatchListener &listener);
    ~StoreWatch();
    StoreWatch(const StoreWatch &) = delete;
    StoreWatch &operator=(const StoreWatch &) = delete;

    void start();

    /// \name Updates relayed by another entry VM, in place of own calls
    /// \{
    /// \brief Resumes watching, or stops it once the call in flight completes.
    void setActive(bool isActive);
    /// \brief Requests changes once without waiting, even during a pause; used when a peer
    /// announces a newer version.
    void catchUp();
    /// \brief Lists the table again immediately because the copy belongs to an earlier timeline of
    /// the store. Responses to calls in flight are discarded.
    void relist();
    /// \brief Applies changes relayed by another reader, later than \p after and up to \p to.
    /// \returns the previous version of the copy if the changes continue from it; the caller then
    /// applies those after that version. Nothing if there is a gap or no change is new.
    [[nodiscard]] std::optional<RowVersion> applyRelayed(RowVersion after, RowVersion to,
                                                         RowVersion lastChange);
    /// \}

    void setMaxRetryDelay(Duration pause) { settings_.maxRetryDelay_ = pause; }

    /// \brief Sets the maximum long-poll time, and with it the maximum time between confirmations.
    void setWait(Duration wait) { settings_.wait_ = wait; }

    /// \brief Sets the maximum pause after a response with changes.
    void setPause(Duration pause) { settings_.pause_ = pause; }

    /// \brief True once the table has been listed.
    [[nodiscard]] bool isListed() const { return isListed_; }

    /// \brief Version of the newest row in the copy. Unlike version(), it does not rise with writes
    /// to other tables.
    [[nodiscard]] RowVersion lastChange() const { return lastChange_; }

    [[nodiscard]] const std::string &table() const { return settings_.table_; }

    /// \brief Store version up to which the copy is complete.
    [[nodiscard]] RowVersion version() const { return version_; }

private:
    void list();
    void listPage(std::vector<platform::Row> rows, std::string after, TimePoint startedAt,
                  RowVersion version);
    void onListed(const std::vector<platform::Row> &rows, RowVersion version, TimePoint startedAt);
    void resume();
    [[nodiscard]] Duration remainingWait() const;
    void waitForChanges();
    void requestChanges(Duration wait);
    void onChanges(const platform::ChangePage &page, TimePoint startedAt, Duration wait);
    void onFailure(const Error &error);
    void confirm(TimePoint asOf);
    void notifyChange(const platform::RowChange &change);
    void setReachable(bool isReachable);
    void scheduleStep(Duration pause, void (StoreWatch::*step)());

    Clock &clock_;
    platform::TableStore &store_;
    platform::ChangeFeed &feed_;
    Settings settings_;
    WatchListener &listener_;
    RowVersion version_;
    RowVersion lastChange_;
    TimePoint confirmedAt_{};      ///< Latest confirmation by this watch's own calls.
    std::uint64_t generation_ = 0; ///< Responses to calls of an earlier generation are discarded.
    bool isListed_ = false;
    bool isActive_ = true;
    bool isBusy_ = false;        ///< A call is in flight or scheduled.
    bool isCallPending_ = false; ///< A call for changes is in flight.
    bool isReachable_ = true;
    std::uint32_t failures_ = 0;
    TimerId timer_ = TimerId::None;
    std::shared_ptr<bool> isAlive_ = std::make_shared<bool>(true);
};

} // namespace cardamombay::serving
