/// \file
/// \brief Keeps a copy of one table of the platform's store up to date.
/// \details Lists the table once, then waits for changes; lists anew when the store has dropped the
/// history in between. Decides when the store counts as lost and as regained.
#pragma once

#include <cardamombay/core/clock.hpp>
#include <cardamombay/platform/change_feed.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace cardamombay::serving {

/// \brief Receives what a watch learns.
class WatchListener
{
public:
    WatchListener() = default;
    WatchListener(const WatchListener &) = delete;
    WatchListener &operator=(const WatchListener &) = delete;
    virtual ~WatchListener() = default;

    /// \brief All rows of the table; takes the place of what was known.
    virtual void tableListed(const std::string &table, const std::vector<platform::Row> &rows) = 0;
    virtual void rowChanged(const platform::RowChange &change) = 0;
    /// \brief Changes that a call of this watch brought, all told by rowChanged() before.
    virtual void changesArrived(const std::string &table, RowVersion after, RowVersion to) = 0;
    /// \brief The copy held all that was committed at \p asOf.
    virtual void tableConfirmed(const std::string &table, TimePoint asOf) = 0;
    /// \brief The store does not answer, or answers again.
    virtual void storeReachable(const std::string &table, bool isReachable) = 0;
};

/// \brief Watches one table; on the control thread.
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
        Duration wait_{}; ///< Longest wait of one call, and longest time between two
                          ///< confirmations while the store answers; a call costs.
        /// Longest pause after a call that brought changes, so that one call brings several.
        Duration pause_{};
        /// Longest pause after failures: what depends on the watch may be two seconds late at most.
        Duration maxRetryDelay_ = std::chrono::milliseconds(400);
    };

    /// \param listener outlives the watch, like the others.
    StoreWatch(Clock &clock, platform::TableStore &store, platform::ChangeFeed &feed,
               Settings settings, WatchListener &listener);
    ~StoreWatch();
    StoreWatch(const StoreWatch &) = delete;
    StoreWatch &operator=(const StoreWatch &) = delete;

    void start();

    /// \name Instead of watching, another entry VM's news
    /// \{
    /// \brief Watches on, or stops after the call under way.
    void setActive(bool isActive);
    /// \brief Asks once for what has changed, also in a pause; for a reader that hears of a newer
    /// version.
    void catchUp();
    /// \brief Lists the table anew at once, since what is known here is of an earlier timeline of
    /// the store; answers to calls under way are not taken any more.
    void relist();
    /// \brief Another reader passes on the changes after \p after up to \p to.
    /// \returns the version that the copy had, if the changes follow on: those after it are to be
    /// taken. Otherwise nothing; some are missing in between, or all are known.
    [[nodiscard]] std::optional<RowVersion> applyRelayed(RowVersion after, RowVersion to,
                                                         RowVersion lastChange);
    /// \}

    /// \brief Changes the longest pause after failures.
    void setMaxRetryDelay(Duration pause) { settings_.maxRetryDelay_ = pause; }

    /// \brief Changes the longest wait of a call, and with it the longest time between two
    /// confirmations.
    void setWait(Duration wait) { settings_.wait_ = wait; }

    /// \brief Changes the pause after a call that brought changes.
    void setPause(Duration pause) { settings_.pause_ = pause; }

    /// \brief True once the table has been listed.
    [[nodiscard]] bool isListed() const { return isListed_; }

    /// \brief Version of the newest row that the copy took; the store's own version also rises with
    /// writes to other tables.
    [[nodiscard]] RowVersion lastChange() const { return lastChange_; }

    [[nodiscard]] const std::string &table() const { return settings_.table_; }

    /// \brief The version that the copy has.
    [[nodiscard]] RowVersion version() const { return version_; }

private:
    void list();
    void listFrom(std::vector<platform::Row> rows, std::string after, TimePoint since,
                  RowVersion version);
    void listed(const std::vector<platform::Row> &rows, RowVersion version, TimePoint since);
    void next();
    [[nodiscard]] Duration remainingWait() const;
    void wait();
    void ask(Duration wait);
    void changed(const platform::ChangePage &page, TimePoint since, Duration wait);
    void failed(const Error &error);
    void confirmed(TimePoint asOf);
    void tell(const platform::RowChange &change);
    void reachable(bool isReachable);
    void later(Duration pause, void (StoreWatch::*step)());

    Clock &clock_;
    platform::TableStore &store_;
    platform::ChangeFeed &feed_;
    Settings settings_;
    WatchListener &listener_;
    RowVersion version_;
    RowVersion lastChange_;
    TimePoint confirmedAt_{}; ///< By the own calls.
    std::uint64_t round_ = 0; ///< Answers to calls of an earlier one are not taken.
    bool isListed_ = false;
    bool isActive_ = true;
    bool isAsking_ = false;  ///< A call is under way or due.
    bool isCalling_ = false; ///< A call for changes is under way.
    bool isReachable_ = true;
    std::uint32_t failures_ = 0;
    TimerId timer_ = TimerId::None;
    std::shared_ptr<bool> isAlive_ = std::make_shared<bool>(true);
};

} // namespace cardamombay::serving
