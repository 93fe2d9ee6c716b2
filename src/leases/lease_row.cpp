#include <cardamombay/leases/lease_row.hpp>

#include <boost/json.hpp>

#include <stdexcept>

namespace cardamombay::leases {

namespace json = boost::json;

namespace {

/// One day, far above any configured lease; much larger values would overflow Duration.
constexpr std::int64_t maxLeaseDurationMilliseconds = 86'400'000;

Duration parseLeaseDuration(std::int64_t milliseconds)
{
    if (milliseconds < 0 || milliseconds > maxLeaseDurationMilliseconds)
        throw std::out_of_range("duration_ms is out of range");
    return std::chrono::milliseconds(milliseconds);
}

} // namespace

platform::RowKey leaseKey(const FabricDomain &domain)
{
    return {"leases", domain.text()};
}

platform::RowKey epochKey(const FabricDomain &domain)
{
    return {"epochs", domain.text()};
}

std::string encode(const LeaseRow &row)
{
    return json::serialize(json::object{{"holder", row.holder_.text()},
                                        {"incarnation", row.incarnation_.value()},
                                        {"epoch", row.epoch_.value()},
                                        {"duration_ms", toMilliseconds(row.duration_)},
                                        {"renewal", row.renewal_}});
}

Result<LeaseRow> decodeLeaseRow(const std::string &text)
{
    try {
        const json::value value = json::parse(text);
        const json::object &object = value.as_object();
        LeaseRow row;
        row.holder_ = EntryId(json::value_to<std::string>(object.at("holder")));
        row.incarnation_ = Incarnation(object.at("incarnation").to_number<std::uint64_t>());
        row.epoch_ = Epoch(object.at("epoch").to_number<std::uint64_t>());
        row.duration_ = parseLeaseDuration(object.at("duration_ms").to_number<std::int64_t>());
        row.renewal_ = object.at("renewal").to_number<std::uint64_t>();
        return row;
    } catch (const std::exception &failure) {
        return Error(MalformedMessage{"lease row", failure.what()});
    }
}

} // namespace cardamombay::leases
