/// \file
/// \brief The platform's list of VMs; it lags behind the truth.
/// \details The seam to the platform. Each list tells its age; a VM that it shows as live may have
/// left meanwhile.
#pragma once

#include <cardamombay/core/address.hpp>
#include <cardamombay/core/ids.hpp>
#include <cardamombay/core/result.hpp>
#include <cardamombay/core/time.hpp>

#include <vector>

namespace cardamombay::platform {

/// \brief What the platform says of a VM.
enum class VmStatus { Live, Leaving };

/// \brief What runs on a VM.
enum class VmRole {
    Entry,  ///< cardamombayd; address_ is its peer listener.
    Engine, ///< A model engine that may become a member of a group.
    Plain   ///< An endpoint of the plain service service_.
};

/// \brief One line of the VM list.
struct VmRecord
{
    VmId id_;
    VmRole role_ = VmRole::Engine;
    VmStatus status_ = VmStatus::Live;
    Address address_;
    AvailabilityZone zone_;
    FabricDomain domain_; ///< Engines only.
    ServiceName service_; ///< Plain endpoints only.

    friend bool operator==(const VmRecord &, const VmRecord &) = default;
};

/// \brief The VM list with its age when the platform answered.
struct VmList
{
    std::vector<VmRecord> vms_;
    Duration age_{};
};

/// \brief Lister of VMs.
class VmDirectory
{
public:
    VmDirectory() = default;
    VmDirectory(const VmDirectory &) = delete;
    VmDirectory &operator=(const VmDirectory &) = delete;
    virtual ~VmDirectory() = default;

    /// \brief Asks for the present list.
    virtual void list(Callback<VmList> done) = 0;
};

} // namespace cardamombay::platform
