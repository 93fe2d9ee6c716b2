/// \file
/// \brief What processes of entry VMs have spent of their quota, for those that start after them.
/// \details A process that ends takes its counts with it. Its peers keep what it reported last, and
/// the next process of that entry VM asks for it before it spends quota of its own. Not
/// thread-safe.
#pragma once

#include <cardamombay/core/time.hpp>
#include <cardamombay/serving/quota_messages.hpp>

#include <map>
#include <optional>

namespace cardamombay::serving {

/// \brief Last reports of the peers.
class QuotaHistory
{
public:
    /// \brief Records the report of a process.
    void reported(const EntryId &entry, Incarnation since, QuotaReport report, TimePoint now);

    /// \brief The last report of \p entry by another process than \p since.
    /// \returns no value if there is none, or if it is so old that the process may have spent more
    /// since.
    [[nodiscard]] std::optional<QuotaReportAnswer> before(const EntryId &entry, Incarnation since,
                                                          TimePoint now) const;

    /// \brief Drops reports that are too old to be used.
    void expire(TimePoint now);

private:
    struct Report
    {
        Incarnation since_;
        QuotaReport report_;
        TimePoint at_{};
    };
    struct Reports
    {
        Report last_;
        Report previous_; ///< Of the process before the last one.
    };

    std::map<EntryId, Reports> reports_;
};

/// \brief Decides when a process that has just started may use its own quota.
class QuotaRecovery
{
public:
    enum class State {
        Asking,    ///< Nobody has told what the previous process had spent.
        Newcomer,  ///< There was no previous process.
        Inherited, ///< The previous process is accounted for.
        Expired,   ///< What it may have spent no longer matters.
    };

    /// \param isFirstStart True if the whole system starts for the first time.
    QuotaRecovery(bool isFirstStart, TimePoint now);

    /// \brief Records the answer of a peer.
    void answered(const QuotaReportAnswer &answer, TimePoint now);

    /// \brief Decides once enough peers had time to answer.
    /// \param memory time for which spent quota matters.
    /// \returns the report to inherit, if this call has decided to.
    [[nodiscard]] std::optional<QuotaReportAnswer> decide(Duration memory, TimePoint now);

    [[nodiscard]] State state() const { return state_; }

    /// \brief True if peers should be asked now; they are asked again at intervals.
    [[nodiscard]] bool isQuestionDue(TimePoint now);

private:
    State state_;
    TimePoint startedAt_{};
    TimePoint askedAt_{};
    std::optional<TimePoint> answeredAt_; ///< The first answer.
    std::optional<QuotaReportAnswer> newest_;
    TimePoint newestAt_{}; ///< When it arrived.
};

} // namespace cardamombay::serving
