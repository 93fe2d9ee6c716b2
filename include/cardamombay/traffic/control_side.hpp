/// \file
/// \brief What the daemon needs of its control side, beside the link for traffic.
#pragma once

#include <cardamombay/core/result.hpp>
#include <cardamombay/traffic/control_link.hpp>

#include <functional>

namespace cardamombay::traffic {

/// \brief The control side of a daemon; these functions are called on the control thread.
class ControlSide : public ControlLink
{
public:
    /// \brief Starts its work.
    /// \param ready called once, later, when a configuration is in force.
    /// \returns an error if the daemon cannot run, for instance if a listener cannot be bound.
    [[nodiscard]] virtual Result<Done> start(std::function<void()> ready) = 0;

    /// \brief Tells peers that this entry VM leaves.
    virtual void tellPeers() = 0;

    /// \brief Gives its leases back and calls \p done, later, when the store knows.
    virtual void returnLeases(std::function<void()> done) = 0;
};

} // namespace cardamombay::traffic
