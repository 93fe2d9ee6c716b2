/// \file
/// \brief Orders to engines and what they answer.
#pragma once

#include <cardamombay/core/result.hpp>
#include <cardamombay/serving/answer_notices.hpp>
#include <cardamombay/serving/endpoint.hpp>

#include <functional>
#include <utility>
#include <variant>

namespace cardamombay::serving {

/// \brief Load the model and take a place in the group. Replaces an earlier membership.
struct JoinOrder
{
    GroupName group_;
    std::uint64_t epoch_ = 0;
    ModelName model_;
    std::vector<VmId> members_; ///< The head first.
};

/// \brief To the head: serve.
struct OpenOrder
{
    GroupName group_;
    std::uint64_t epoch_ = 0;
};

/// \brief To the head: stop serving.
struct CloseOrder
{
    GroupName group_;
    std::uint64_t epoch_ = 0;
    bool cutsWork_ = false; ///< Else it finishes what it has.
};

/// \brief Leave the group at once.
struct LeaveOrder
{
    GroupName group_;
    std::uint64_t epoch_ = 0;
};

/// \brief Load the model onto the host beside all other work.
struct StageOrder
{
    ModelName model_;
};

using Order = std::variant<JoinOrder, OpenOrder, CloseOrder, LeaveOrder, StageOrder>;

/// \brief Short name for logs and metrics.
[[nodiscard]] std::string_view nameOf(const Order &order);

/// \brief How an engine took an order.
enum class OrderAnswer {
    Begun,    ///< It is being carried out.
    Done,     ///< The state already holds.
    Misfit,   ///< It does not fit the engine's state.
    Outdated, ///< A higher fencing number or epoch has been seen.
    Refused,  ///< Anything else; it will not be carried out.
    Withheld, ///< Nothing was sent: the engine wants nothing for now.
};

/// \brief Short name for logs and metrics.
[[nodiscard]] std::string_view nameOf(OrderAnswer answer);

/// \brief Sends orders and asks engines for their state. Answers come by callback, never inline.
class ReplicaOrders
{
public:
    ReplicaOrders() = default;
    ReplicaOrders(const ReplicaOrders &) = delete;
    ReplicaOrders &operator=(const ReplicaOrders &) = delete;
    virtual ~ReplicaOrders() = default;

    /// \brief Sends \p order once.
    /// \param fence fencing number of the lease under which it is given.
    /// \param done gets TimedOut if the engine may still carry the order out, EndpointUnreachable
    /// if it never got it.
    virtual void send(const Endpoint &engine, const Order &order, std::uint64_t fence,
                      Callback<OrderAnswer> done)
        = 0;

    /// \brief Asks \p engine for its present state; \p engine gives what the answer leaves out.
    /// \param done gets EndpointUnreachable if there was no connection, TimedOut if there was one
    /// and no answer came, EndpointRefused if another engine is at the address.
    virtual void state(const Endpoint &engine, Callback<Endpoint> done) = 0;

    /// \brief Called with what answers say of the engines that gave them.
    void onNotices(std::function<void(const EndpointIncarnation &, const AnswerNotices &)> action)
    {
        noticed_ = std::move(action);
    }

protected:
    void tellNotices(const EndpointIncarnation &engine, const AnswerNotices &notices) const
    {
        if (noticed_)
            noticed_(engine, notices);
    }

private:
    std::function<void(const EndpointIncarnation &, const AnswerNotices &)> noticed_;
};

} // namespace cardamombay::serving
