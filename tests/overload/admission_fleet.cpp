#include "overload/admission_fleet.hpp"

#include <algorithm>
#include <cmath>

namespace cardamombay::fixture {

using namespace overload;

namespace {

const ModelName model("m");
constexpr Duration forgetTime = std::chrono::milliseconds(500); ///< For peers without a link.
constexpr std::size_t teamsEvery = 5;

} // namespace

AdmissionFleet::AdmissionFleet(std::size_t entries, std::vector<Crowd> crowds, std::uint64_t seed)
    : listedEntries_(entries)
    , random_(seed)
    , crowds_(std::move(crowds))
    , tallies_(crowds_.size())
    , vms_(entries)
    , groupsPerZone_(entries < 50 ? 4 : entries / 6)
    , groups_(clock_, random_, groupsPerZone_, events())
{
    for (std::size_t i = 0; i < entries; ++i) {
        vms_[i].zone_ = i % zones;
        restart(i);
    }
    for (std::size_t i = 0; i < crowds_.size(); ++i)
        scheduleArrival(i);
    tick();
}

void AdmissionFleet::startWindow()
{
    windowStart_ = clock_.now();
    secondsInGoal_ = 0;
    tallies_.assign(crowds_.size(), {});
}

void AdmissionFleet::restart(std::size_t entry)
{
    auto &vm = vms_[entry];
    vm.controller_ = std::make_unique<AdmissionController>(policy_, clock_.now());
    vm.meter_ = {};
    vm.told_ = {};
    vm.heard_ = {};
    vm.inProgress_ = 0;
    vm.maxInProgress_ = 0;
    vm.inFlight_ = 0;
    ++vm.starts_;
    vm.toldInFlight_ = 0;
    update(vm);
}

double AdmissionFleet::capacityUsed() const
{
    const double slots = double(zones * groupsPerZone_ * slotsPerGroup);
    return secondsInGoal_ / (slots * toSeconds(clock_.now() - windowStart_));
}

Tally AdmissionFleet::total() const
{
    Tally sum;
    for (const auto &tally : tallies_) {
        sum.inGoal_ += tally.inGoal_;
        sum.refused_ += tally.refused_;
        sum.late_ += tally.late_;
    }
    return sum;
}

AdmissionLevel AdmissionFleet::level(std::size_t entry) const
{
    return vms_[entry].controller_->level(model, clock_.now());
}

void AdmissionFleet::scheduleArrival(std::size_t crowd)
{
    const double slots = double(zones * groupsPerZone_ * slotsPerGroup);
    // At least 0.1 per second, so that a crowd whose load is 0 now can be given one later.
    const double perSecond = std::max(0.1, crowds_[crowd].load_ * slots / meanServiceSeconds);
    const double wait = -std::log(1 - random_.unit()) / perSecond;
    clock_.schedule(fromSeconds(wait), [this, crowd] {
        if (crowds_[crowd].load_ > 0)
            arrive(crowd, random_.below(vms_.size()));
        scheduleArrival(crowd);
    });
}

void AdmissionFleet::arrive(std::size_t crowd, std::size_t index)
{
    auto &vm = vms_[index];
    if (vm.isSuspended_)
        return; // Callers of a suspended VM time out and count nowhere.
    const auto &[rank, team, load] = crowds_[crowd];
    const AdmissionRequest request{model, rank, TeamName(team), random_.bits()};
    const SlotRequest arrived{rank, crowd, index, vm.starts_, clock_.now()};
    if (!vm.isPrevious_)
        vm.meter_.count(request, meanWork);
    if (!vm.isPrevious_ && !vm.controller_->admits(request, vm.inProgress_, clock_.now()))
        return count(arrived, &Tally::refused_);
    vm.maxInProgress_ = std::max(vm.maxInProgress_, ++vm.inProgress_);
    const bool isRefused = !groups_.send(arrived);
    vm.controller_->recordSend(model, isRefused, clock_.now());
}

SlotEvents AdmissionFleet::events()
{
    // Requests from before a restart run on, but the entry VM no longer counts them.
    const auto addTo = [this](std::size_t Vm::*counter, const SlotRequest &request, std::size_t n) {
        auto &vm = vms_[request.entry_];
        if (vm.starts_ == request.start_)
            vm.*counter += n;
    };
    constexpr auto less = static_cast<std::size_t>(-1);
    const auto started = [this, addTo](const SlotRequest &request) {
        addTo(&Vm::inFlight_, request, 1);
        count(request, &Tally::inGoal_);
    };
    const auto finished = [this, addTo](const SlotRequest &request, double seconds) {
        addTo(&Vm::inFlight_, request, less);
        addTo(&Vm::inProgress_, request, less);
        secondsInGoal_ += seconds;
    };
    const auto late = [this, addTo](const SlotRequest &request) {
        addTo(&Vm::inProgress_, request, less);
        count(request, &Tally::late_);
    };
    return {started, finished, late};
}

void AdmissionFleet::tick()
{
    std::array<Heard, zones> sums;
    for (std::size_t i = 0; i < vms_.size(); ++i) {
        if (!vms_[i].isSuspended_)
            hear(vms_[i]); // What was told one and two ticks ago, so before it tells anew.
    }
    for (std::size_t i = 0; i < vms_.size(); ++i) {
        auto &vm = vms_[i];
        if (vm.isSuspended_)
            continue;
        tell(vm, i);
        update(vm);
        sums[vm.zone_].demand_ += vm.told_;
        sums[vm.zone_].inFlight_ += vm.toldInFlight_;
    }
    sums_.push_front(std::move(sums));
    sums_.resize(std::min<std::size_t>(sums_.size(), 2));
    ++ticks_;
    clock_.schedule(digestPeriod, [this] { tick(); });
}

void AdmissionFleet::tell(Vm &vm, std::size_t index)
{
    vm.meter_.advance(digestPeriod);
    vm.toldInFlight_ = double(vm.inFlight_);
    const auto divided = vm.controller_->level(model, clock_.now()).dividedRank_;
    std::map<ModelName, Rank> dividedRanks;
    if (divided)
        dividedRanks.emplace(model, *divided);
    auto demand = vm.meter_.demand(dividedRanks, maxNamedTeams)[model];
    // Receivers keep the teams of a digest until the next one that has them.
    if (divided && (ticks_ + index) % teamsEvery != 0)
        demand.teams_ = vm.told_.teams_;
    vm.told_ = std::move(demand);
}

void AdmissionFleet::hear(Vm &vm)
{
    for (std::size_t zone = 0; zone < zones; ++zone) {
        const bool isOwn = zone == vm.zone_;
        const std::size_t ticks = isOwn ? 1 : 2;
        auto &heard = vm.heard_[zone];
        const bool isHeard = sums_.size() >= ticks && random_.unit() >= digestLoss_
                             && groups_.reaches(vm.zone_, zone)
                             && (isOwn || !noReporter_.contains(zone));
        if (isHeard) {
            heard = sums_[ticks - 1][zone];
            heard.at_ = clock_.now();
            if (isOwn) {
                heard.demand_ -= vm.told_;
                heard.inFlight_ -= std::min(heard.inFlight_, vm.toldInFlight_);
            }
        } else if (!groups_.reaches(vm.zone_, zone) && heard.at_
                   && clock_.now() - *heard.at_ > forgetTime) {
            heard = {};
        }
    }
}

void AdmissionFleet::update(Vm &vm)
{
    ModelFigures figures;
    figures.own_ = vm.told_;
    figures.fleet_ = vm.told_;
    figures.entries_ = listedEntries_;
    figures.receivedAt_ = clock_.now();
    double inFlight = double(vm.inFlight_);
    for (std::size_t zone = 0; zone < zones; ++zone) {
        const auto &heard = vm.heard_[zone];
        if (groups_.reaches(vm.zone_, zone)) {
            figures.slots_ += groups_.slots(zone);
            figures.receivedAt_
                = heard.at_ ? std::min(figures.receivedAt_, heard.at_) : std::nullopt;
        }
        figures.fleet_ += heard.demand_;
        inFlight += heard.inFlight_;
    }
    const double slots = double(figures.slots_);
    figures.capacity_ = {slots / slotsPerGroup, slots > 0 ? inFlight / slots : 1};
    vm.controller_->update(model, figures, clock_.now());
}

void AdmissionFleet::count(const SlotRequest &request, std::size_t Tally::*outcome)
{
    if (request.arrivedAt_ >= windowStart_)
        ++(tallies_[request.crowd_].*outcome);
}

} // namespace cardamombay::fixture
