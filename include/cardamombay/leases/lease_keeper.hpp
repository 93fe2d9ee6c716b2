/// \file
/// \brief Gains, renews and gives back the planner lease of one fabric domain.
///
/// Decides who may plan a fabric domain and give orders to its VMs. It guards the promise that no
/// VM belongs to two groups: orders carry the epoch of the lease as their fencing number, and
/// nothing is ordered once the lease may have lapsed. It compares no clocks of two processes: a
/// contender waits until it has seen the row unchanged for the lease's duration on its own clock.
#pragma once

#include <cardamombay/chart/machine.hpp>
#include <cardamombay/core/clock.hpp>
#include <cardamombay/core/random.hpp>
#include <cardamombay/leases/lease_row.hpp>
#include <cardamombay/leases/lease_settings.hpp>
#include <cardamombay/platform/reliable_commit.hpp>
#include <cardamombay/platform/table_store.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

namespace cardamombay::leases {

class LeaseKeeper;

/// \brief charts/lease.toml with its code; made once and shared by all keepers of a process.
using LeaseProgramPtr = chart::ProgramPtr<LeaseKeeper>;

/// \brief One entry VM's side of a planner lease.
/// \code
/// LeaseKeeper lease(clock, store, Random(seed), LeaseSettings{}, self, incarnation, domain,
///                   program);
/// lease.setCandidateRank(candidateRank(domain, self, aliveEntries));
/// lease.start();
/// if (lease.isHeldFor(margin))
///     sendOrder(lease.epoch());
/// \endcode
class LeaseKeeper
{
public:
    LeaseKeeper(Clock &clock, platform::TableStore &store, Random random, LeaseSettings settings,
                EntryId self, Incarnation incarnation, FabricDomain domain,
                LeaseProgramPtr program);
    LeaseKeeper(const LeaseKeeper &) = delete;
    LeaseKeeper &operator=(const LeaseKeeper &) = delete;
    ~LeaseKeeper();

    /// \brief Joins \p chart, read from charts/lease.toml, with the code.
    [[nodiscard]] static Result<LeaseProgramPtr> bind(const chart::Chart &chart);

    /// \name Control
    /// \{

    /// \brief Begins to contend; does nothing if it has begun.
    void start();

    /// \brief Sets the place among the candidates; none ends contending.
    /// \details A holder that loses its place releases the lease, so that the work moves to the
    /// candidates of the present membership.
    void setCandidateRank(std::optional<std::uint32_t> rank);

    /// \brief Gives the lease back and stops contending; the next holder need not wait it out.
    void release();

    /// \brief The store was restored from a backup: what was known of the row says nothing any
    /// more. \details A lease held here ends, and nobody takes the lease until one that was gained
    /// before the restore has lapsed: its row may be missing, and its holder may not know of the
    /// restore. \param timeline the store's history from now on; epochs of a later one are higher.
    void storeRestored(StoreTimeline timeline);

    /// \brief Sets the timeline at a start before which nobody can have held the lease.
    void setTimeline(StoreTimeline timeline) { timeline_ = timeline; }

    /// \brief Called after each change of isHeld(), from a timer or an answer of the store.
    void onChange(std::function<void()> action) { changed_ = std::move(action); }
    /// \}

    /// \name State, checked on the clock at each call
    /// \{

    /// \brief True while no other process can hold the lease.
    [[nodiscard]] bool isHeld() const { return isHeldFor(Duration::zero()); }

    /// \brief True if the lease still has at least \p rest to run.
    [[nodiscard]] bool isHeldFor(Duration rest) const;

    /// \brief Until when the lease runs if it is not renewed; in the past if it is not held.
    [[nodiscard]] TimePoint heldUntil() const { return heldUntil_; }

    /// \brief Until when orders of the holder before may still arrive.
    [[nodiscard]] TimePoint quietUntil() const { return quietUntil_; }

    /// \brief Fencing number of the present or last tenure; none before the first.
    [[nodiscard]] Epoch epoch() const { return epoch_; }

    /// \brief Commit that began the present or last tenure.
    [[nodiscard]] RowVersion epochVersion() const { return epochVersion_; }

    /// \brief Condition that makes a transaction fail once another process has the lease.
    [[nodiscard]] platform::Condition fence() const { return {epochKey(domain_), epochVersion_}; }

    /// \brief True once a release has been settled and nothing is under way.
    [[nodiscard]] bool isReleased() const { return !isWanted() && machine_.isIn("resting"); }

    [[nodiscard]] std::string_view state() const { return machine_.state(); }
    [[nodiscard]] const FabricDomain &domain() const { return domain_; }
    [[nodiscard]] const LeaseSettings &settings() const { return settings_; }
    /// \}

private:
    /// What was seen last of the row.
    struct Sighting
    {
        LeaseRow row_;
        RowVersion version_;
        TimePoint since_{}; ///< When this version was first seen.
    };

    void handle(std::string_view event);
    void adjust();
    [[nodiscard]] bool isWanted() const { return isStarted_ && rank_.has_value(); }

    /// \name Actions and guards of the chart
    /// \{
    void look();
    void lookLater();
    [[nodiscard]] bool mayTake() const;
    void acquire();
    void takeUp();
    void renew();
    void extend();
    void renewSoon();
    void giveBack();
    void giveBackSoon();
    void drop();
    /// \}

    void see(const std::vector<platform::Row> &rows);
    [[nodiscard]] Duration waitLeft() const;
    [[nodiscard]] TimePoint restoreEnd() const;
    void write(LeaseRow row);
    void finish(const Result<platform::CommitReceipt> &result);
    void arm(Duration delay, std::string_view event);
    void disarm();
    void armLapse();
    void announce();
    [[nodiscard]] Duration jittered(Duration delay);
    [[nodiscard]] Duration backOff();

    Clock &clock_;
    platform::TableStore &store_;
    Random random_;
    LeaseSettings settings_;
    EntryId self_;
    Incarnation incarnation_;
    FabricDomain domain_;
    platform::WriterTokens tokens_;
    platform::ReliableCommit commits_;
    chart::Machine<LeaseKeeper> machine_;
    std::function<void()> changed_;

    bool isStarted_ = false;
    bool isTenured_ = false; ///< The row names this process, as far as it knows.
    bool wasHeld_ = false;
    std::optional<std::uint32_t> rank_;
    std::optional<Sighting> sighting_;
    LeaseRow written_; ///< Content of the last write.
    TimePoint sentAt_{};
    Epoch epoch_;
    RowVersion epochVersion_;
    RowVersion leaseVersion_;
    TimePoint heldUntil_{};
    TimePoint quietUntil_{};
    StoreTimeline timeline_;
    std::optional<TimePoint> restoredAt_;
    Duration delay_{};
    TimerId timer_ = TimerId::None;
    TimerId lapse_ = TimerId::None;
    std::shared_ptr<bool> isAlive_ = std::make_shared<bool>(true);
};

} // namespace cardamombay::leases
