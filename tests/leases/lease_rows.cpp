#include <cardamombay/leases/candidate_rank.hpp>
#include <cardamombay/leases/lease_row.hpp>

#include <map>
#include <vector>

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::leases;

Test(lease_row, survives_encoding)
{
    const LeaseRow row{EntryId("entry-1"), Incarnation(7), Epoch(3), std::chrono::seconds(12), 41};

    const auto decoded = decodeLeaseRow(encode(row));

    cr_assert(isOk(decoded));
    cr_assert(valueOf(decoded) == row);
}

Test(lease_row, text_that_is_no_row_is_an_error)
{
    for (const auto *text : {"", "[]", "{}", "{\"holder\":1}", "nonsense"})
        cr_assert(isError<MalformedMessage>(decodeLeaseRow(text)), "%s", text);
}

Test(candidate_rank, exactly_the_wanted_number_contends_and_their_ranks_differ)
{
    std::vector<EntryId> entries;
    for (int number = 0; number < 20; ++number)
        entries.emplace_back("entry-" + std::to_string(number));

    std::map<std::uint32_t, int> ranks;
    for (const EntryId &entry : entries) {
        if (const auto rank = candidateRank(FabricDomain("f"), entry, entries, 3))
            ++ranks[*rank];
    }

    cr_assert(ranks == (std::map<std::uint32_t, int>{{0, 1}, {1, 1}, {2, 1}}));
}

Test(candidate_rank, loss_of_the_first_candidate_promotes_the_second)
{
    const std::vector<EntryId> all{EntryId("a"), EntryId("b"), EntryId("c")};
    std::vector<EntryId> rest;
    EntryId second;
    for (const EntryId &entry : all) {
        const auto rank = candidateRank(FabricDomain("f"), entry, all);
        if (rank != 0U)
            rest.push_back(entry);
        if (rank == 1U)
            second = entry;
    }

    cr_assert(candidateRank(FabricDomain("f"), second, rest) == 0U);
}

Test(candidate_rank, candidates_are_those_who_rank_among_the_first)
{
    std::vector<EntryId> entries;
    for (int number = 0; number < 20; ++number)
        entries.emplace_back("entry-" + std::to_string(number));
    const auto contending = candidates(FabricDomain("f"), entries, 3);
    cr_assert_eq(contending.size(), 3);
    for (std::uint32_t rank = 0; rank < 3; ++rank)
        cr_assert(candidateRank(FabricDomain("f"), contending[rank], entries, 3) == rank);
}
