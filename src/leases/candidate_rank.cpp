#include <cardamombay/leases/candidate_rank.hpp>

#include <cardamombay/core/hash.hpp>

namespace cardamombay::leases {

std::optional<std::uint32_t> candidateRank(const FabricDomain &domain, const EntryId &self,
                                           std::span<const EntryId> alive, std::uint32_t count)
{
    const auto rank = static_cast<std::uint32_t>(rendezvousRank(domain.text(), self, alive));
    if (rank >= count)
        return std::nullopt;
    return rank;
}

} // namespace cardamombay::leases
