// Decoding of the list of a prompt's parts, whatever a caller sends, and its way to the endpoint.
#include <platform/dialect.hpp>

#include <criterion/criterion.h>

#include <algorithm>

using namespace cardamombay;
using namespace cardamombay::adapter;
using namespace cardamombay::serving;

namespace {

using Fields = std::vector<net::HttpField>;

constexpr auto listField = "X-Prompt-Prefix";

RequestFingerprint part(std::uint64_t id)
{
    return RequestFingerprint(id, FingerprintKind::PromptPart);
}

RequestHead headWith(const std::string &list)
{
    return PlatformDialect().parseRequestHead(Fields{{listField, list}});
}

std::string listOf(std::size_t parts)
{
    std::string result;
    for (std::size_t i = 1; i <= parts; ++i)
        result += std::to_string(i) + ":10,";
    return result + "ff:5";
}

} // namespace

Test(prompt_parts, parts_but_the_last_are_shared)
{
    const auto head = headWith("5c1e07a2:800,91bd3f06:410,e4402b7d:250");
    cr_assert_eq(head.sharedParts_, std::vector({part(0x5c1e07a2), part(0x91bd3f06)}));
    cr_assert_not(head.arePartsIncomplete_);
}

Test(prompt_parts, list_that_is_absent_or_has_one_part_has_no_shared_ones)
{
    for (const std::string list : {"", "5c1e07a2:800", "5c1e07a2"}) {
        cr_assert(headWith(list).sharedParts_.empty());
        cr_assert_not(headWith(list).arePartsIncomplete_);
    }
    cr_assert(PlatformDialect().parseRequestHead(Fields{}).sharedParts_.empty());
}

Test(prompt_parts, notation_of_an_identifier_makes_no_difference)
{
    cr_assert_eq(headWith("005C1E07A2:800, 91bd3f06:1,1:1").sharedParts_.front(), part(0x5c1e07a2));
    const auto lower = headWith("abcdef0123456789abcdef:1,1:1").sharedParts_;
    const auto upper = headWith("0ABCDEF0123456789ABCDEF:2,1:1").sharedParts_;
    cr_assert_eq(lower.size(), 1);
    cr_assert_eq(lower, upper);
    cr_assert_neq(lower, headWith("abcdef0123456789abcdee:1,1:1").sharedParts_);
}

Test(prompt_parts, repeated_part_is_listed_once)
{
    cr_assert_eq(headWith("a:1,b:2,a:3,c:4").sharedParts_, std::vector({part(0xa), part(0xb)}));
}

Test(prompt_parts, list_in_several_fields_is_one_list)
{
    const auto head = PlatformDialect().parseRequestHead(
        Fields{{listField, "a:1,b:2"}, {"Host", "h"}, {"x-prompt-prefix", "c:3,d:4"}});
    cr_assert_eq(head.sharedParts_, std::vector({part(0xa), part(0xb), part(0xc)}));
}

Test(prompt_parts, malformed_list_counts_as_absent_and_is_reported)
{
    for (const std::string list :
         {",", "a:1,,b:2", "a:1,xyz:2,b:3", ":1,b:2", "a:1,-5:2,c:3", "a;1,b:2", "0x5:1,a:1"}) {
        const auto head = headWith(list);
        cr_assert(head.sharedParts_.empty(), "%s", list.c_str());
        cr_assert(head.arePartsIncomplete_, "%s", list.c_str());
    }
}

Test(prompt_parts, long_list_is_read_up_to_the_bound)
{
    const auto whole = headWith(listOf(RequestHead::maxSharedParts));
    cr_assert_eq(whole.sharedParts_.size(), RequestHead::maxSharedParts);
    cr_assert_not(whole.arePartsIncomplete_);
    const auto tooLong = headWith(listOf(5000));
    cr_assert_eq(tooLong.sharedParts_, whole.sharedParts_);
    cr_assert(tooLong.arePartsIncomplete_);
}

Test(prompt_parts, list_reaches_the_endpoint_unchanged)
{
    for (const auto &list :
         {std::string("5c1e07a2:800, 91BD3F06:410"), std::string("?,:,"), listOf(5000)}) {
        const auto fields = PlatformDialect().attemptFields(Fields{{listField, list}}, {});
        const auto sent = std::count_if(fields.begin(), fields.end(), [&](const auto &field) {
            return field.name_ == listField && field.value_ == list;
        });
        cr_assert_eq(sent, 1);
    }
}
