#include <cardamombay/leases/candidate_rank.hpp>

#include <cardamombay/core/hash.hpp>

#include <utility>

namespace cardamombay::leases {

std::optional<std::uint32_t> candidateRank(const FabricDomain &domain, const EntryId &self,
                                           std::span<const EntryId> alive, std::uint32_t count)
{
    const auto weightOf = [&](const EntryId &entry) {
        return std::pair(rendezvousWeight(domain.text(), entry.text()), entry.text());
    };
    const auto own = weightOf(self);
    std::uint32_t rank = 0;
    for (const EntryId &entry : alive) {
        if (entry != self && weightOf(entry) > own)
            ++rank;
    }
    if (rank >= count)
        return std::nullopt;
    return rank;
}

} // namespace cardamombay::leases
