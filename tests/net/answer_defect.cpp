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
    return defectOf(head, false);
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

Test(answer_defect, each_defect_has_a_name_and_a_text)
{
    for (const auto defect : answerDefects) {
        cr_expect_not(nameOf(defect).empty());
        cr_expect_not(textOf(defect).empty());
    }
}
