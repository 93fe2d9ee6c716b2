/// \file
/// \brief Endpoint VMs that take no new work because they leave.
/// \details Decides which VMs get no new work: a veto begins with the first report that a VM leaves
/// and ends only when an operator lifts it or the VM was replaced. It guards the promise on leaving
/// VMs and never ends work in flight.
#pragma once

#include <cardamombay/core/ids.hpp>
#include <cardamombay/core/time.hpp>
#include <cardamombay/membership/digest.hpp>

#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <vector>

namespace cardamombay::watching {

/// \brief Leaving vetoes and how they spread.
/// \details The first entry VM that learns of a leaving VM vetoes it; digests spread the veto. A
/// veto carries a count of its changes: odd is leaving, even is lifted, and the highest count wins,
/// so that a late digest cannot bring back what was lifted. A veto ends by lift() only: an operator
/// undrains the VM, or the VM was replaced (it restarted and a later VM list says it is live). A VM
/// list that merely stops saying that the VM leaves does not end it, for lists lag; but if nobody
/// knew the incarnation when the veto began, a restart cannot be told and the list decides.
class VetoTable
{
public:
    /// \brief Vetoes \p vm.
    /// \param vm the leaving VM.
    /// \param incarnation its incarnation as observed; none if unknown.
    /// \param when the instant at which this was learnt or, from a list, was taken.
    /// \returns true if it was not vetoed before.
    bool mark(const VmId &vm, Incarnation incarnation, TimePoint when);
    /// \brief Ends the veto of \p vm; returns true if there was one.
    bool lift(const VmId &vm, TimePoint now);
    /// \brief Takes what a peer says; ages are counted from \p now.
    /// \returns true if a veto began or ended.
    bool merge(std::span<const membership::LeavingEntry> entries, TimePoint now);

    [[nodiscard]] bool isLeaving(const VmId &vm) const;
    /// \brief Notes the incarnation of \p vm if it was not known when the veto began.
    void noteIncarnation(const VmId &vm, Incarnation incarnation);
    /// \brief True if \p vm, live in a list of \p listTakenAt, was replaced since its veto.
    [[nodiscard]] bool isReplaced(const VmId &vm, Incarnation incarnation,
                                  TimePoint listTakenAt) const;
    /// \brief True if \p vm leaves and its incarnation was not known when the veto began.
    [[nodiscard]] bool isOfUnknownIncarnation(const VmId &vm) const;
    /// \brief Since when \p vm leaves; the zero instant if it does not.
    [[nodiscard]] TimePoint leavingSince(const VmId &vm) const;
    [[nodiscard]] std::vector<VmId> leaving() const;

    /// \brief Adds to \p digest what its receiver should hear.
    void appendTo(membership::Digest &digest, TimePoint now, Duration repeat);
    /// \brief Forgets entries older than \p limit about VMs outside \p listed.
    void forget(const std::set<VmId> &listed, TimePoint limit);

private:
    struct Told
    {
        std::uint32_t times_ = 0;
        TimePoint at_{};
    };
    struct Veto
    {
        std::uint64_t count_ = 0;
        Incarnation incarnation_; ///< At the time of the veto.
        bool isLate_ = false;     ///< The incarnation was learnt here after the veto began.
        TimePoint since_{};
        std::map<EntryId, Told> told_;
    };

    std::map<VmId, Veto> vetoes_;
};

} // namespace cardamombay::watching
