// Partitions of Node: entry VMs that have lost their paths to endpoints.
#include <cardamombay/serving/node.hpp>

#include <algorithm>
#include <utility>

namespace cardamombay::serving {

namespace {

/// An entry VM is named as partitioned in every digest of its own, and in every other sum at least.
constexpr Duration partitionReportLifetime = std::chrono::milliseconds(1500);
/// Partitioned entry VMs in a sum; successive sums cycle through all.
constexpr std::size_t partitionedPageSize = 32;

} // namespace

/// Other entry VMs can only tell what they hear once they know what is inquired.
void Node::reportLostPaths()
{
    const bool isInquiring = !parts_.gateway_.paths().unconfirmed().empty();
    if (std::exchange(isLossReported_, isInquiring) || !isInquiring)
        return;
    const auto now = parts_.clock_.now();
    if (now - reportedAt_ >= minReportInterval)
        report(now);
}

void Node::notePartitioned(const LoadDigest &digest, TimePoint now)
{
    const auto before = partitionedAt_.size();
    for (const auto &entry : digest.partitioned_)
        partitionedAt_[entry] = now;
    // An entry VM speaks for itself once its paths are restored.
    if (digest.partitioned_.empty())
        partitionedAt_.erase(digest.from_);
    if (partitionedAt_.size() != before)
        partitionsChanged();
}

void Node::partitionsChanged()
{
    markPeersChanged();
    std::set<EntryId> partitioned;
    for (const auto &[entry, at] : partitionedAt_)
        partitioned.insert(entry);
    parts_.gateway_.carriers().setPartitioned(std::move(partitioned));
}

void Node::expirePartitions(TimePoint now)
{
    const auto expired = std::erase_if(partitionedAt_, [now](const auto &one) {
        return now - one.second > partitionReportLifetime;
    });
    const bool isPartitioned = parts_.gateway_.paths().isPartitionedFromAny();
    if (std::exchange(wasPartitioned_, isPartitioned) != isPartitioned || expired > 0)
        partitionsChanged();
}

/// Keeps some of the partitioned entry VMs, so that sums stay small.
void Node::pagePartitioned(LoadDigest &sum) const
{
    auto &entries = sum.partitioned_;
    if (entries.size() <= partitionedPageSize)
        return;
    const auto first = sumsSent_ * partitionedPageSize % entries.size();
    std::rotate(entries.begin(), entries.begin() + static_cast<std::ptrdiff_t>(first),
                entries.end());
    entries.resize(partitionedPageSize);
}

/// An entry VM without paths to the engines cannot give them orders. If all are partitioned, the
/// duty stays where it is.
void Node::dropPartitioned(std::vector<EntryId> &entries) const
{
    const auto isPartitioned = [this](const EntryId &entry) {
        return entry == settings_.entry_ ? wasPartitioned_ : partitionedAt_.contains(entry);
    };
    if (!std::all_of(entries.begin(), entries.end(), isPartitioned))
        std::erase_if(entries, isPartitioned);
}

} // namespace cardamombay::serving
