/// \file
/// \brief Endpoint VMs that get no new work because they are leaving.
/// \details A veto begins with the first report that a VM is leaving, and ends when an operator
/// lifts it or the VM has been replaced. Requests in flight are not affected.
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

/// \brief Vetoes of new work for leaving VMs, and their dissemination.
/// \details The first entry VM that learns of a leaving VM vetoes it, and digests disseminate the
/// veto. Each veto has a change counter: odd means leaving, even means lifted. The highest counter
/// wins, so a late digest cannot restore a lifted veto. A veto ends only by lift(), when an
/// operator undrains the VM or the VM was replaced, that is, it restarted and a later VM list shows
/// it as live. A VM list that no longer shows the VM as leaving does not suffice, because lists may
/// be outdated. If the incarnation was unknown when the veto began, a restart cannot be detected
/// and the list is trusted.
class VetoTable
{
public:
    /// \brief Vetoes \p vm.
    /// \param vm the leaving VM.
    /// \param incarnation its observed incarnation; none if unknown.
    /// \param when start time of the veto.
    /// \returns true if it was not vetoed before.
    bool mark(const VmId &vm, Incarnation incarnation, TimePoint when);
    /// \brief Lifts the veto of \p vm.
    /// \returns true if there was one.
    bool lift(const VmId &vm, TimePoint now);
    /// \brief Merges the vetoes of a peer; ages are relative to \p now.
    /// \returns true if a veto began or ended.
    bool merge(std::span<const membership::LeavingEntry> entries, TimePoint now);

    [[nodiscard]] bool isLeaving(const VmId &vm) const;
    /// \brief Records the incarnation of \p vm if it was unknown when the veto began.
    void recordIncarnation(const VmId &vm, Incarnation incarnation);
    /// \brief True if \p vm has been replaced since its veto.
    /// \param vm a VM shown as live in the VM list.
    /// \param incarnation its observed incarnation.
    /// \param listTakenAt time of the VM list.
    [[nodiscard]] bool isReplaced(const VmId &vm, Incarnation incarnation,
                                  TimePoint listTakenAt) const;
    /// \brief True if \p vm is leaving and its incarnation was unknown when the veto began.
    [[nodiscard]] bool beganWithUnknownIncarnation(const VmId &vm) const;
    /// \brief Start time of the veto of \p vm; the zero instant if there is none.
    [[nodiscard]] TimePoint leavingSince(const VmId &vm) const;
    [[nodiscard]] std::vector<VmId> leaving() const;

    /// \brief Adds the vetoes to \p digest that are due for its receiver.
    /// \details Each veto is included in the first digests to a receiver and then once per
    /// \p repeat.
    void appendTo(membership::Digest &digest, TimePoint now, Duration repeat);
    /// \brief Removes entries from before \p limit of VMs that are not in \p listed.
    void forget(const std::set<VmId> &listed, TimePoint limit);

private:
    struct Announcement
    {
        std::uint32_t sentCount_ = 0;
        TimePoint lastSentAt_{};
    };
    struct Veto
    {
        std::uint64_t count_ = 0;
        Incarnation incarnation_; ///< At the start of the veto, or the first one observed after it.
        bool isIncarnationFromLater_ = false; ///< incarnation_ was observed after the start.
        TimePoint since_{};
        std::map<EntryId, Announcement> announcements_;
    };

    std::map<VmId, Veto> vetoes_;
};

} // namespace cardamombay::watching
