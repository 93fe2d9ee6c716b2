// Guards the encoding of the messages about returns: what was written is read again, and invalid
// figures are not read.
#include <cardamombay/serving/return_messages.hpp>

#include <string>

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::serving;
using std::chrono::microseconds;

namespace {

const ReturnPromised promised{0xffffffffffffffffU,  ModelName("writer"),  3, 0.0625,
                              microseconds(450000), microseconds(2000000)};

std::string replaced(std::string text, const std::string &part, const std::string &by)
{
    const auto at = text.find(part);
    cr_assert_neq(at, std::string::npos);
    return text.replace(at, part.size(), by);
}

} // namespace

// Guards against fingerprints of 64 bits that lose digits as JSON numbers.
Test(return_messages, are_read_again)
{
    cr_assert(decodeReturnPromised(encode(promised)) == promised);
    const ReturnClaimed claimed{EntryId("entry-1"), 12, 0x8000000000000001U};
    cr_assert(decodeReturnClaimed(encode(claimed)) == claimed);
    for (const bool isGranted : {false, true}) {
        const ReturnAnswer answer{12, isGranted};
        cr_assert(decodeReturnAnswer(encode(answer)) == answer);
    }
}

// Guards against work that changes each time that it is read and written again; found by the
// fuzzer.
Test(return_messages, work_is_read_in_whole_microseconds)
{
    auto message = promised;
    for (const double work : {0.1, 1.0 / 3, 59.9999994, 1e-6}) {
        message.work_ = work;
        const auto read = decodeReturnPromised(encode(message));
        cr_assert(read.has_value());
        cr_assert_float_eq(read->work_, work, 5.1e-7);
        cr_assert(decodeReturnPromised(encode(*read)) == read);
    }
    for (const double work : {1e-9, 60.1, 18446744073.7}) {
        message.work_ = work;
        cr_assert_not(decodeReturnPromised(encode(message)).has_value());
    }
}

// Guards against names of fields other than those of docs/design/overload.md, which entry VMs of
// another build would not read.
Test(return_messages, have_the_documented_fields)
{
    cr_assert_eq(encode(promised),
                 std::string(R"({"jsonrpc":"2.0","method":"return-promised","params":)"
                             R"({"request":"ffffffffffffffff","model":"writer","rank":3,)"
                             R"("due_us":450000,"until_us":2000000,"work":6.25E-2}})"));
    cr_assert_eq(encode(ReturnClaimed{EntryId("e-2"), 5, 1}),
                 std::string(R"({"jsonrpc":"2.0","method":"return-claimed","params":)"
                             R"({"from":"e-2","id":5,"request":"0000000000000001"}})"));
    cr_assert_eq(encode(ReturnAnswer{5, true}),
                 std::string(R"({"jsonrpc":"2.0","method":"return-answer","params":)"
                             R"({"id":5,"granted":true}})"));
}

// Guards against forged or damaged promises that are taken for valid ones.
Test(return_messages, invalid_figures_are_not_read)
{
    const auto text = encode(promised);
    for (const auto &[part, by] : {std::pair("6.25E-2", "-1"),
                                   {"6.25E-2", "1e999"},
                                   {"6.25E-2", "\"x\""},
                                   {"6.25E-2", "0"},
                                   {"\"rank\":3", "\"rank\":10"},
                                   {"\"rank\":3", "\"rank\":-1"},
                                   {"\"rank\":3", "\"rank\":1.5"},
                                   {"450000", "-1"},
                                   {"450000", "2000000"},
                                   {"2000000", "600000001"},
                                   {"2000000", "null"},
                                   {"ffffffffffffffff", "f"},
                                   {"ffffffffffffffff", "gggggggggggggggg"},
                                   {"\"writer\"", "\"\""},
                                   {"\"writer\"", "7"}}) {
        const auto changed = replaced(text, part, by);
        cr_assert_not(decodeReturnPromised(changed).has_value(), "%s", changed.c_str());
        cr_assert(isReturnMessage(changed));
    }
    cr_assert_not(decodeReturnPromised(replaced(text, "writer", std::string(257, 'w'))));
    const auto claimed = encode(ReturnClaimed{EntryId("e-2"), 5, 1});
    cr_assert_not(decodeReturnClaimed(replaced(claimed, "\"e-2\"", "\"\"")).has_value());
    cr_assert_not(decodeReturnClaimed(replaced(claimed, ":5", ":-5")).has_value());
    const auto answer = encode(ReturnAnswer{5, true});
    cr_assert_not(decodeReturnAnswer(replaced(answer, "true", "1")).has_value());
    cr_assert_not(decodeReturnAnswer(replaced(answer, ":5", ":\"5\"")).has_value());
}

// Guards against taking messages that other readers of the datagram are meant for.
Test(return_messages, other_messages_are_not_taken)
{
    cr_assert_not(isReturnMessage(R"({"jsonrpc":"2.0","method":"reservation-returned"})"));
    cr_assert_not(isReturnMessage(""));
    cr_assert_not(decodeReturnClaimed(encode(promised)).has_value());
    cr_assert_not(decodeReturnAnswer(encode(promised)).has_value());
}
