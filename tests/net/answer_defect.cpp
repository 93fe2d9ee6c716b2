// The rules that all HTTP clients share, without a parser before them.
#include <cardamombay/net/answer_defect.hpp>
#include <cardamombay/net/http_client.hpp>

#include <string>

#include <criterion/criterion.h>

using namespace cardamombay::net;

namespace {

std::optional<AnswerDefect> defectOfField(const std::string &name, const std::string &value)
{
    HttpResponse head;
    head.status_ = 200;
    head.fields_ = {{"Server", "x"}, {name, value}};
    return defectOf(head, {});
}

bool isAccepted(std::string_view accepted, const std::string &coding)
{
    HttpResponse head;
    head.status_ = 200;
    head.fields_ = {{"content-encoding", coding}};
    return !defectOf(head, {.acceptedCodings_ = accepted});
}

bool isOneOf(char c, std::string_view characters)
{
    return characters.find(c) != std::string_view::npos;
}

} // namespace

Test(answer_defect, name_of_a_field_has_only_characters_of_a_token)
{
    const std::string_view token = "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyz"
                                   "ABCDEFGHIJKLMNOPQRSTUVWXYZ";
    for (int byte = 0; byte < 256; ++byte) {
        const auto c = static_cast<char>(byte);
        const auto defect = defectOfField(std::string("X") + c + "Y", "1");
        cr_expect_eq(!defect, isOneOf(c, token), "byte %d", byte);
    }
    cr_expect(defectOfField("", "1") == AnswerDefect::Field);
}

Test(answer_defect, value_of_a_field_has_no_control_character_but_tabs)
{
    for (int byte = 0; byte < 256; ++byte) {
        const auto c = static_cast<char>(byte);
        const bool isAllowed = c == '\t' || (byte >= ' ' && byte != 0x7f);
        cr_expect_eq(!defectOfField("X", std::string("1") + c), isAllowed, "byte %d", byte);
    }
}

Test(answer_defect, content_codings_are_those_that_the_request_accepts)
{
    for (const auto *accepted : {"gzip", "br, GZIP", "gzip;q=0.5", "*", "br;q=0, *;q=0.1"})
        cr_expect(isAccepted(accepted, "gzip"), "%s", accepted);
    for (const auto *accepted : {"", "identity", "br", "gzip;q=0", "gzip; q=0.000, *", "*;q=0",
                                 "gzipped", "x-gzip", ",;,"})
        cr_expect_not(isAccepted(accepted, "gzip"), "%s", accepted);
    cr_expect(isAccepted("gzip, br", "gzip, br"));
    cr_expect_not(isAccepted("gzip", "gzip, br"));
    cr_expect(isAccepted("", "identity"));
    cr_expect(isAccepted("", ""));
}

Test(answer_defect, transfer_coding_is_chunked_once)
{
    cr_expect_not(defectOfField("Transfer-Encoding", "chunked"));
    cr_expect_not(defectOfField("transfer-encoding", " Chunked "));
    for (const auto *value : {"", ",", "gzip", "gzip, chunked", "chunked, gzip", "chunked, chunked",
                              "identity", "xchunked"})
        cr_expect(defectOfField("Transfer-Encoding", value) == AnswerDefect::TransferCoding, "%s",
                  value);
}

Test(answer_defect, each_defect_has_a_name_and_a_text)
{
    for (const auto defect : answerDefects) {
        cr_expect_not(nameOf(defect).empty());
        cr_expect_not(textOf(defect).empty());
    }
}
