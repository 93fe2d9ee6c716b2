#include <cardamombay/leases/lease_row.hpp>

#include <boost/json.hpp>

namespace cardamombay::leases {

namespace json = boost::json;

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
        row.duration_
            = std::chrono::milliseconds(object.at("duration_ms").to_number<std::int64_t>());
        row.renewal_ = object.at("renewal").to_number<std::uint64_t>();
        return row;
    } catch (const std::exception &failure) {
        return Error(MalformedMessage{"lease row", failure.what()});
    }
}

} // namespace cardamombay::leases
