/// \file
/// \brief Orders to engines and their answers.
#pragma once

#include <cardamombay/core/result.hpp>
#include <cardamombay/serving/answer_notices.hpp>
#include <cardamombay/serving/endpoint.hpp>

#include <functional>
#include <utility>
#include <variant>

namespace cardamombay::serving {

/// \brief Load the model and become a member of the group. Replaces an earlier membership.
struct JoinOrder
{
    GroupName group_;
    std::uint64_t epoch_ = 0;
    ModelName model_;
    std::vector<VmId> members_; ///< In rank order, the head first.
};

/// \brief To the head: start serving.
struct OpenOrder
{
    GroupName group_;
    std::uint64_t epoch_ = 0;
};

/// \brief To the head: accept no more requests.
struct CloseOrder
{
    GroupName group_;
    std::uint64_t epoch_ = 0;
    bool abortsRequests_ = false; ///< If false, running requests are completed.
};

/// \brief Leave the group immediately.
struct LeaveOrder
{
    GroupName group_;
    std::uint64_t epoch_ = 0;
};

/// \brief Load the model onto the host in the background, without interrupting other work.
struct StageOrder
{
    ModelName model_;
};

using Order = std::variant<JoinOrder, OpenOrder, CloseOrder, LeaveOrder, StageOrder>;

/// \brief Short name for logs and metrics.
[[nodiscard]] std::string_view nameOf(const Order &order);

/// \brief Outcome of an order to an engine.
enum class OrderAnswer {
    Begun,    ///< The order is being executed.
    Done,     ///< The engine already is in the requested state.
    Misfit,   ///< The order is not valid in the engine's current state.
    Outdated, ///< The engine has seen a higher fencing token or epoch.
    Refused,  ///< Rejected for any other reason; the order will not be executed.
    Withheld, ///< Not sent, since the engine is in a cooldown.
};

/// \brief Short name for logs and metrics.
[[nodiscard]] std::string_view nameOf(OrderAnswer answer);

/// \brief Sends orders to engines and queries their state. Callbacks never run within the call.
class ReplicaOrders
{
public:
    ReplicaOrders() = default;
    ReplicaOrders(const ReplicaOrders &) = delete;
    ReplicaOrders &operator=(const ReplicaOrders &) = delete;
    virtual ~ReplicaOrders() = default;

    /// \brief Sends \p order once.
    /// \param fence fencing token of the lease under which the order is given.
    /// \param done receives TimedOut if the engine may still execute the order, EndpointUnreachable
    /// if the order never reached it.
    virtual void send(const Endpoint &engine, const Order &order, std::uint64_t fence,
                      Callback<OrderAnswer> done)
        = 0;

    /// \brief Queries the current state of \p engine; fields missing from the answer are taken from
    /// \p engine.
    /// \param done receives EndpointUnreachable if no connection was made, TimedOut if a connection
    /// was made but no answer came, EndpointRefused if another engine answers at the address.
    virtual void state(const Endpoint &engine, Callback<Endpoint> done) = 0;

    /// \brief Sets the handler for the notices that engines attach to their answers.
    void onNotices(std::function<void(const EndpointIncarnation &, const AnswerNotices &)> action)
    {
        noticed_ = std::move(action);
    }

protected:
    void reportNotices(const EndpointIncarnation &engine, const AnswerNotices &notices) const
    {
        if (noticed_)
            noticed_(engine, notices);
    }

private:
    std::function<void(const EndpointIncarnation &, const AnswerNotices &)> noticed_;
};

} // namespace cardamombay::serving
