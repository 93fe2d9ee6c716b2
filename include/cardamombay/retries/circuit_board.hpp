/// \file
/// \brief The circuits of all groups.
#pragma once

#include <cardamombay/core/ids.hpp>
#include <cardamombay/retries/circuit.hpp>

#include <span>
#include <unordered_map>
#include <vector>

namespace cardamombay::retries {

/// \brief Circuits by group; a group without failures has no entry. Single-threaded.
class CircuitBoard
{
public:
    explicit CircuitBoard(CircuitPolicy policy = {});

    /// \brief Groups that must not be tried at \p now, for RouteRequest::excluded_.
    /// \returns a view that holds until the next call.
    [[nodiscard]] std::span<const GroupId> blocked(TimePoint now);

    void started(const GroupId &group, TimePoint now);
    void succeeded(const GroupId &group, TimePoint now);
    void failed(const GroupId &group, TimePoint now);
    void abandoned(const GroupId &group);

    /// \brief Where the circuit of \p group stands at \p now.
    [[nodiscard]] CircuitStatus status(const GroupId &group, TimePoint now) const;

    /// \brief When the first open circuit allows a trial; the maximum if none is open.
    [[nodiscard]] TimePoint nextTrial() const;

private:
    CircuitPolicy policy_;
    std::unordered_map<GroupId, Circuit> circuits_;
    std::vector<GroupId> blocked_;
};

} // namespace cardamombay::retries
