/// \file
/// \brief How a model engine takes orders; shared by the fake and the stand-in program.
#pragma once

#include <cardamombay/endpoint/endpoint_state.hpp>

#include <map>
#include <string>

namespace cardamombay::support {

/// \brief Answer to an order: the state after it, or why nothing was carried out.
struct OrderAnswer
{
    std::string refusal_; ///< "stale-fencing", "busy" or "wrong-generation"; empty if taken.
    endpoint::EndpointState state_;

    [[nodiscard]] bool isTaken() const { return refusal_.empty(); }
};

/// \brief State of one engine under the orders of docs/ENDPOINTS.md; free of I/O and time.
/// \details Loading is not timed here: the owner calls finishLoading() or failLoading().
class EngineMember
{
public:
    EngineMember(VmId vm, Incarnation incarnation, bool checksFencing);

    /// \brief Carries out \p order or refuses it; an order id seen before gets its first answer.
    OrderAnswer take(const endpoint::EndpointOrder &order);

    /// \brief True if \p order was answered before, so that it starts nothing.
    [[nodiscard]] bool hasSeen(const OrderId &order) const { return answers_.contains(order); }

    /// \brief The weights of \p assignment are in memory; no effect if it was given up meanwhile.
    void finishLoading(const endpoint::Assignment &assignment);

    /// \brief The weights of \p assignment could not be loaded.
    void failLoading(const endpoint::Assignment &assignment);

    /// \brief Loses everything and comes back idle under the next incarnation.
    void restart();

    void setChecksFencing(bool checksFencing) { checksFencing_ = checksFencing; }
    void setLoad(endpoint::LoadReport load) { state_.load_ = load; }

    [[nodiscard]] const endpoint::EndpointState &state() const { return state_; }

private:
    std::string carryOut(const endpoint::EndpointOrder &order);
    std::string assign(const endpoint::EndpointOrder &order);
    [[nodiscard]] bool isLoading(const endpoint::Assignment &assignment) const;

    endpoint::EndpointState state_;
    bool checksFencing_;
    std::map<OrderId, OrderAnswer> answers_;
};

} // namespace cardamombay::support
