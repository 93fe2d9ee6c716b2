/// \file
/// \brief Interface through which the group manager reads the observed state of endpoint VMs.
/// \details Decouples the group manager from the endpoint watcher.
#pragma once

#include <cardamombay/core/ids.hpp>
#include <cardamombay/core/time.hpp>
#include <cardamombay/endpoint/endpoint_state.hpp>

#include <optional>

namespace cardamombay::groups {

/// \brief Last observed state of an endpoint VM.
struct VmObservation
{
    std::optional<endpoint::EndpointState> state_; ///< Last report; none before the first.
    TimePoint heardAt_{};                          ///< Time of the report on the local clock.
    bool isFresh_ = false;   ///< The report is recent enough to act on; false for an outdated one.
    bool isLeaving_ = false; ///< The VM is about to be taken away.
    bool isStraggler_ = false; ///< Much slower than comparable VMs.
};

/// \brief Source of observations, implemented by the endpoint watcher.
class VmView
{
public:
    VmView() = default;
    VmView(const VmView &) = delete;
    VmView &operator=(const VmView &) = delete;
    virtual ~VmView() = default;

    /// \brief Last observation of \p vm, or a default one if there is none.
    [[nodiscard]] virtual VmObservation observe(const VmId &vm) const = 0;
};

} // namespace cardamombay::groups
