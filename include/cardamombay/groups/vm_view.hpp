/// \file
/// \brief What the watching of endpoint VMs tells the group planner.
/// \details Seam between watching and planning. It only reports; an observation that lapsed is
/// reported as none.
#pragma once

#include <cardamombay/core/ids.hpp>
#include <cardamombay/core/time.hpp>
#include <cardamombay/endpoint/endpoint_state.hpp>

#include <optional>

namespace cardamombay::groups {

/// \brief Latest knowledge of one endpoint VM.
struct VmObservation
{
    std::optional<endpoint::EndpointState> state_; ///< Last report; none if never heard.
    TimePoint heardAt_{};      ///< When the report was made, on the local clock.
    bool isFresh_ = false;     ///< The report is recent enough to rely on.
    bool isLeaving_ = false;   ///< The platform is going to take the VM away.
    bool isStraggler_ = false; ///< Alive, but much slower than its like.
};

/// \brief Source of observations; the endpoint watcher implements it.
class VmView
{
public:
    VmView() = default;
    VmView(const VmView &) = delete;
    VmView &operator=(const VmView &) = delete;
    virtual ~VmView() = default;

    /// \brief Latest observation of \p vm; a default one if nothing is known.
    [[nodiscard]] virtual VmObservation observe(const VmId &vm) const = 0;
};

} // namespace cardamombay::groups
