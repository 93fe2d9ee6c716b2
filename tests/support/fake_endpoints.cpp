#include "support/fake_endpoints.hpp"

#include <stdexcept>
#include <utility>

namespace cardamombay::support {

using endpoint::EndpointOrder;
using endpoint::EndpointState;

/// One probe or order on its way, and its answer.
struct FakeEndpoints::Exchange
{
    EntryId from_;
    std::weak_ptr<bool> sender_; ///< Expires with the sender; its callback is then left alone.
    VmId vm_;
    Address address_;
    std::optional<EndpointOrder> order_; ///< None for a probe.
    bool isCutOff_ = false;
    bool losesAnswer_ = false;
    Callback<EndpointState> done_;
    TimerId timeout_ = TimerId::None;

    void finish(Result<EndpointState> result)
    {
        auto done = std::exchange(done_, nullptr);
        if (done && !sender_.expired())
            done(std::move(result));
    }
};

void FakeEndpoints::addVm(VmId vm, Address address, bool checksFencing)
{
    Vm entry{
        std::move(address), EngineMember(vm, Incarnation{1}, checksFencing), {}, false, false, {}};
    const Address at = entry.address_;
    if (const auto old = vms_.find(vm); old != vms_.end())
        byAddress_.erase(old->second.address_);
    byAddress_[at] = &vms_.insert_or_assign(std::move(vm), std::move(entry)).first->second;
}

FakeEndpoints::Vm &FakeEndpoints::vmOf(const VmId &vm)
{
    const auto found = vms_.find(vm);
    if (found == vms_.end())
        throw std::out_of_range("no VM " + vm.text());
    return found->second;
}

const FakeEndpoints::Vm &FakeEndpoints::vmOf(const VmId &vm) const
{
    return const_cast<FakeEndpoints *>(this)->vmOf(vm);
}

FakeEndpoints::Vm *FakeEndpoints::vmAt(const Address &address)
{
    const auto found = byAddress_.find(address);
    return found == byAddress_.end() ? nullptr : found->second;
}

void FakeEndpoints::kill(const VmId &vm)
{
    vmOf(vm).isDead_ = true;
    vmOf(vm).isPaused_ = false;
    vmOf(vm).waiting_.clear();
}

void FakeEndpoints::restart(const VmId &vm)
{
    kill(vm);
    vmOf(vm).isDead_ = false;
    vmOf(vm).member_.restart();
}

void FakeEndpoints::pause(const VmId &vm)
{
    vmOf(vm).isPaused_ = true;
}

void FakeEndpoints::resume(const VmId &vm)
{
    Vm &entry = vmOf(vm);
    entry.isPaused_ = false;
    for (auto &action : std::exchange(entry.waiting_, {}))
        action();
}

const EndpointState &FakeEndpoints::state(const VmId &vm) const
{
    return vmOf(vm).member_.state();
}

std::vector<ReceivedOrder> FakeEndpoints::ordersTo(const VmId &vm) const
{
    std::vector<ReceivedOrder> found;
    for (const auto &received : orders_) {
        if (received.order_.vm_ == vm)
            found.push_back(received);
    }
    return found;
}

void FakeEndpoints::start(const std::shared_ptr<Exchange> &exchange)
{
    exchange->timeout_ = clock_.schedule(timeout_, [this, exchange] {
        exchange->finish(Error(TimedOut{exchange->order_ ? "order" : "probe", timeout_}));
    });
    if (exchange->isCutOff_)
        return;
    const Vm *vm = vmAt(exchange->address_);
    const Duration extra = vm ? vm->faults_.extraLatency_ : Duration::zero();
    clock_.schedule(latency_ / 2 + extra, [this, exchange] { arrive(exchange); });
}

void FakeEndpoints::arrive(const std::shared_ptr<Exchange> &exchange)
{
    Vm *vm = vmAt(exchange->address_);
    if (!vm || vm->isDead_) {
        clock_.cancel(exchange->timeout_);
        exchange->finish(Error(EndpointUnreachable{exchange->vm_, "connection refused"}));
        return;
    }
    runOrQueue(*vm, [this, vm, exchange] { serve(*vm, exchange); });
}

void FakeEndpoints::runOrQueue(Vm &vm, std::function<void()> action)
{
    if (vm.isPaused_)
        vm.waiting_.push_back(std::move(action));
    else
        action();
}

void FakeEndpoints::serve(Vm &vm, const std::shared_ptr<Exchange> &exchange)
{
    if (exchange->order_) {
        takeOrder(vm, exchange);
        return;
    }
    ++probes_;
    answer(vm, exchange, vm.member_.state());
}

void FakeEndpoints::takeOrder(Vm &vm, const std::shared_ptr<Exchange> &exchange)
{
    const EndpointOrder &order = *exchange->order_;
    if (vm.faults_.loseNextOrders_ > 0) {
        --vm.faults_.loseNextOrders_;
        return;
    }
    const bool isRepeat = vm.member_.hasSeen(order.id_);
    const OrderAnswer taken = vm.member_.take(order);
    orders_.push_back({clock_.now(), exchange->from_, order, taken.refusal_, isRepeat});
    const bool startsLoading
        = taken.isTaken() && !isRepeat && order.kind_ == endpoint::OrderKind::Assign;
    if (startsLoading)
        startLoading(vm, order);
    if (vm.faults_.loseNextAnswers_ > 0) {
        --vm.faults_.loseNextAnswers_;
        return;
    }
    if (taken.isTaken())
        answer(vm, exchange, taken.state_);
    else
        answer(vm, exchange, Error(EndpointRefused{exchange->vm_, 409, taken.refusal_}));
}

void FakeEndpoints::startLoading(Vm &vm, const EndpointOrder &order)
{
    const Duration time = loadTimeOf_ ? loadTimeOf_(order) : loadTime_;
    const Incarnation incarnation = vm.member_.state().incarnation_;
    auto finish = [&vm, assignment = order.assignment_, incarnation] {
        if (vm.isDead_ || vm.member_.state().incarnation_ != incarnation)
            return;
        if (vm.faults_.failsLoading_)
            vm.member_.failLoading(assignment);
        else
            vm.member_.finishLoading(assignment);
    };
    clock_.schedule(time, [this, &vm, finish] { runOrQueue(vm, finish); });
}

void FakeEndpoints::answer(const Vm &vm, const std::shared_ptr<Exchange> &exchange,
                           Result<EndpointState> result)
{
    if (exchange->losesAnswer_)
        return;
    auto deliver = [this, exchange, result = std::move(result)] {
        clock_.cancel(exchange->timeout_);
        exchange->finish(result);
    };
    clock_.schedule(latency_ - latency_ / 2 + vm.faults_.extraLatency_, std::move(deliver));
}

void FakeEndpointOrders::probe(VmId vm, Address address, Callback<EndpointState> done)
{
    auto exchange = std::make_shared<FakeEndpoints::Exchange>();
    exchange->from_ = self_;
    exchange->sender_ = isAlive_;
    exchange->isCutOff_ = isCutOff_ || cutOffFrom_.contains(vm);
    exchange->losesAnswer_ = losesAnswers_;
    exchange->vm_ = std::move(vm);
    exchange->address_ = std::move(address);
    exchange->done_ = std::move(done);
    endpoints_.start(exchange);
}

void FakeEndpointOrders::send(Address address, EndpointOrder order, Callback<EndpointState> done)
{
    auto exchange = std::make_shared<FakeEndpoints::Exchange>();
    exchange->from_ = self_;
    exchange->sender_ = isAlive_;
    exchange->isCutOff_ = isCutOff_ || cutOffFrom_.contains(order.vm_);
    exchange->losesAnswer_ = losesAnswers_;
    exchange->vm_ = order.vm_;
    exchange->address_ = std::move(address);
    exchange->order_ = std::move(order);
    exchange->done_ = std::move(done);
    endpoints_.start(exchange);
}

} // namespace cardamombay::support
