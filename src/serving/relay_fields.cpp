#include "serving/relay_fields.hpp"

#include <boost/beast/core/string.hpp>

#include <charconv>
#include <string>

namespace cardamombay::serving::impl {

namespace {

constexpr auto priorRunsField = "Relay-Prior-Runs";
constexpr auto runsField = "Relay-Runs";
constexpr auto pathsLostField = "Relay-Paths-Lost";

void setNumber(std::vector<net::HttpField> &fields, const char *name, std::size_t number)
{
    std::erase_if(fields, [name](const net::HttpField &field) {
        return boost::beast::iequals(field.name_, name);
    });
    fields.push_back({name, std::to_string(number)});
}

std::size_t takeNumber(std::vector<net::HttpField> &fields, const char *name, std::size_t otherwise)
{
    auto result = otherwise;
    std::erase_if(fields, [&](const net::HttpField &field) {
        if (!boost::beast::iequals(field.name_, name))
            return false;
        const auto &text = field.value_;
        std::from_chars(text.data(), text.data() + text.size(), result);
        return true;
    });
    return result;
}

} // namespace

void setPriorRuns(std::vector<net::HttpField> &fields, std::size_t runs)
{
    setNumber(fields, priorRunsField, runs);
}

std::size_t takePriorRuns(std::vector<net::HttpField> &fields)
{
    return takeNumber(fields, priorRunsField, 0);
}

void setRuns(std::vector<net::HttpField> &fields, std::size_t runs)
{
    setNumber(fields, runsField, runs);
}

std::size_t takeRuns(std::vector<net::HttpField> &fields)
{
    return takeNumber(fields, runsField, 1);
}

void markPathsLost(net::HttpResponse &response)
{
    response.fields_.push_back({pathsLostField, "1"});
}

bool hasLostPaths(const net::HttpResponse &response)
{
    return !response.field(pathsLostField).empty();
}

} // namespace cardamombay::serving::impl
