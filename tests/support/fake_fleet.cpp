#include "support/fake_fleet.hpp"

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>
#include <iostream>
#include <utility>

namespace cardamombay::support {

using membership::MemberEntry;
using membership::Membership;
using membership::MemberStatus;

membership::MemberProgramPtr memberProgram(const std::string &folder)
{
    const auto chart = chart::ChartFolder(folder).load("member");
    if (!isOk(chart)) {
        std::cerr << errorOf(chart) << std::endl;
        std::abort();
    }
    const auto program = membership::makeMemberProgram(valueOf(chart));
    if (!isOk(program)) {
        std::cerr << errorOf(program) << std::endl;
        std::abort();
    }
    return valueOf(program);
}

Fleet::Fleet(FleetShape shape, std::uint64_t seed, membership::MembershipSettings settings)
    : network_(clock_, seed)
    , shape_(std::move(shape))
    , seed_(seed)
    , settings_(settings)
    , program_(memberProgram(shape_.charts_))
{
    nodes_.resize(shape_.nodes_);
    for (std::size_t i = 0; i < shape_.nodes_; ++i)
        add(i, Incarnation(1));
}

EntryId Fleet::id(std::size_t index)
{
    std::array<char, 16> text{};
    std::snprintf(text.data(), text.size(), "e%03zu", index);
    return EntryId(text.data());
}

MemberEntry Fleet::entry(std::size_t index, Incarnation incarnation) const
{
    MemberEntry entry;
    entry.id_ = id(index);
    const std::string ip
        = "10.0." + std::to_string(index / 250) + "." + std::to_string(1 + index % 250);
    entry.address_ = Address{ip, 7100};
    const std::size_t zone = index % shape_.zones_;
    entry.zone_ = AvailabilityZone("zone-" + std::to_string(zone));
    entry.region_ = RegionName("region-" + std::to_string(zone % shape_.regions_));
    entry.incarnation_ = incarnation;
    return entry;
}

void Fleet::add(std::size_t index, Incarnation incarnation)
{
    const MemberEntry self = entry(index, incarnation);
    nodes_[index].reset();
    network_.addNode(self.id_, self.address_);
    const std::uint64_t nodeSeed = seed_ * 1000003 + index + incarnation.value() * 7919;
    nodes_[index]
        = std::make_unique<Membership>(network_.clock(self.id_), network_.transport(self.id_),
                                       Random(nodeSeed), settings_, self, program_);
    Membership *node = nodes_[index].get();
    network_.setHandler(self.id_,
                        [node](const membership::Digest &digest) { return node->handle(digest); });
    const std::array seeds{entry(0, Incarnation(1)).address_, entry(1, Incarnation(1)).address_};
    node->start(seeds);
}

void Fleet::restart(std::size_t index, Incarnation incarnation)
{
    add(index, incarnation);
}

void Fleet::kill(std::size_t index, bool isSilent)
{
    network_.kill(id(index), isSilent);
}

MemberStatus Fleet::status(std::size_t viewer, std::size_t whom) const
{
    if (viewer == whom)
        return nodes_[viewer]->self().status_;
    const MemberEntry *member = nodes_[viewer]->member(id(whom));
    return member == nullptr ? MemberStatus::Left : member->status_;
}

bool Fleet::allSee(MemberStatus expected, const std::vector<std::size_t> &viewers,
                   const std::vector<std::size_t> &whom) const
{
    return std::all_of(viewers.begin(), viewers.end(), [&](std::size_t viewer) {
        return std::all_of(whom.begin(), whom.end(),
                           [&](std::size_t other) { return status(viewer, other) == expected; });
    });
}

std::vector<std::size_t> Fleet::all() const
{
    std::vector<std::size_t> indexes(nodes_.size());
    for (std::size_t i = 0; i < indexes.size(); ++i)
        indexes[i] = i;
    return indexes;
}

} // namespace cardamombay::support
