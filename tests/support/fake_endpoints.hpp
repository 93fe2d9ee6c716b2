/// \file
/// \brief Endpoint VMs in memory, with latency and faults, on a test's clock.
#pragma once

#include "support/engine_member.hpp"

#include <cardamombay/core/clock.hpp>
#include <cardamombay/endpoint/endpoint_orders.hpp>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace cardamombay::support {

/// \brief Faults of one VM that a test can switch; pause and death have calls of their own.
struct EndpointFaults
{
    Duration extraLatency_{};           ///< Added in each direction: a slow member.
    std::uint32_t loseNextAnswers_ = 0; ///< Orders take effect, the sender gets TimedOut.
    std::uint32_t loseNextOrders_ = 0;  ///< Orders do not arrive, the sender gets TimedOut.
    bool failsLoading_ = false;         ///< Loading ends in phase Failed.
};

/// \brief An order as it reached a VM, in order of arrival over all VMs.
struct ReceivedOrder
{
    TimePoint at_{};
    EntryId from_;
    endpoint::EndpointOrder order_;
    std::string refusal_; ///< Empty if it was taken.
    bool isRepeat_ = false;
};

/// \brief Endpoint VMs shared by the handles of several nodes.
/// \details A message travels latency_ / 2 each way. What was sent goes on travelling when its
/// sender is destroyed, and what reaches a paused VM is carried out when it wakes, however late.
/// \code
/// ManualClock clock;
/// FakeEndpoints endpoints(clock);
/// endpoints.addVm(VmId{"vm-1"}, Address{"10.0.0.1", 9000});
/// FakeEndpointOrders orders(endpoints, EntryId{"entry-1"});
/// \endcode
class FakeEndpoints
{
public:
    explicit FakeEndpoints(Clock &clock)
        : clock_(clock)
    {
    }

    Duration latency_ = std::chrono::milliseconds(1); ///< There and back.
    Duration timeout_ = std::chrono::seconds(1);      ///< After which senders get TimedOut.
    Duration loadTime_ = std::chrono::seconds(10);    ///< Unless loadTimeOf_ is set.
    std::function<Duration(const endpoint::EndpointOrder &)> loadTimeOf_;

    /// \name Setting up
    /// \{
    void addVm(VmId vm, Address address, bool checksFencing = true);
    [[nodiscard]] EndpointFaults &faults(const VmId &vm) { return vmOf(vm).faults_; }
    void setLoad(const VmId &vm, endpoint::LoadReport load) { vmOf(vm).member_.setLoad(load); }
    /// \}

    /// \name Failures
    /// \{
    void kill(const VmId &vm);    ///< Unreachable and its memory lost, until restart().
    void restart(const VmId &vm); ///< Comes back idle under the next incarnation.
    void pause(const VmId &vm);   ///< Takes messages, answers nothing, loads nothing.
    void resume(const VmId &vm);  ///< Carries out what arrived meanwhile.
    /// \}

    /// \name What happened
    /// \{
    [[nodiscard]] const endpoint::EndpointState &state(const VmId &vm) const;
    [[nodiscard]] const std::vector<ReceivedOrder> &orders() const { return orders_; }
    [[nodiscard]] std::vector<ReceivedOrder> ordersTo(const VmId &vm) const;
    [[nodiscard]] std::uint64_t probes() const { return probes_; }
    /// \}

private:
    friend class FakeEndpointOrders;

    struct Vm
    {
        Address address_;
        EngineMember member_;
        EndpointFaults faults_;
        bool isDead_ = false;
        bool isPaused_ = false;
        std::vector<std::function<void()>> waiting_; ///< Arrived while paused.
    };

    struct Exchange;

    [[nodiscard]] Vm &vmOf(const VmId &vm);
    [[nodiscard]] const Vm &vmOf(const VmId &vm) const;
    [[nodiscard]] Vm *vmAt(const Address &address);
    void start(const std::shared_ptr<Exchange> &exchange);
    void arrive(const std::shared_ptr<Exchange> &exchange);
    void runOrQueue(Vm &vm, std::function<void()> action);
    void serve(Vm &vm, const std::shared_ptr<Exchange> &exchange);
    void takeOrder(Vm &vm, const std::shared_ptr<Exchange> &exchange);
    void startLoading(Vm &vm, const endpoint::EndpointOrder &order);
    void answer(const Vm &vm, const std::shared_ptr<Exchange> &exchange,
                Result<endpoint::EndpointState> result);

    Clock &clock_;
    std::map<VmId, Vm> vms_;
    std::map<Address, Vm *> byAddress_;
    std::vector<ReceivedOrder> orders_;
    std::uint64_t probes_ = 0;
};

/// \brief One node's link to the endpoint VMs; can be cut off alone, whole or from some VMs.
class FakeEndpointOrders final : public endpoint::EndpointOrders
{
public:
    explicit FakeEndpointOrders(FakeEndpoints &endpoints, EntryId self = EntryId{"entry"})
        : endpoints_(endpoints)
        , self_(std::move(self))
    {
    }

    bool isCutOff_ = false;     ///< No message leaves; senders get TimedOut.
    std::set<VmId> cutOffFrom_; ///< The same for single VMs.
    bool losesAnswers_ = false; ///< One-way cut: messages arrive, answers do not.

    void probe(VmId vm, Address address, Callback<endpoint::EndpointState> done) override;
    void send(Address address, endpoint::EndpointOrder order,
              Callback<endpoint::EndpointState> done) override;

private:
    FakeEndpoints &endpoints_;
    EntryId self_;
    std::shared_ptr<bool> isAlive_ = std::make_shared<bool>(true); ///< Watched by exchanges.
};

} // namespace cardamombay::support
