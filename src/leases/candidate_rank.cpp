#include <cardamombay/leases/candidate_rank.hpp>

#include <cardamombay/core/hash.hpp>

#include <algorithm>
#include <utility>

namespace cardamombay::leases {

std::optional<std::uint32_t> candidateRank(const FabricDomain &domain, const EntryId &self,
                                           std::span<const EntryId> alive, std::uint32_t count)
{
    const auto rank = static_cast<std::uint32_t>(rendezvousRank(domain.text(), self, alive));
    if (rank >= count)
        return std::nullopt;
    return rank;
}

std::vector<EntryId> candidates(const FabricDomain &domain, std::vector<EntryId> alive,
                                std::uint32_t count)
{
    auto result = rendezvousOrder(domain.text(), std::move(alive));
    result.resize(std::min<std::size_t>(result.size(), count));
    return result;
}

} // namespace cardamombay::leases
