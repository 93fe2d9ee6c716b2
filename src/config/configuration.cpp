#include <cardamombay/config/configuration.hpp>

#include <algorithm>

namespace cardamombay::config {

namespace {

template<typename Item, typename Name>
const Item *findNamed(const std::vector<Item> &items, Name Item::*member, const Name &name)
{
    const auto found = std::find_if(items.begin(), items.end(),
                                    [&](const Item &item) { return item.*member == name; });
    return found == items.end() ? nullptr : &*found;
}

} // namespace

const Service *Configuration::service(const ServiceName &name) const
{
    return findNamed(services_, &Service::name_, name);
}

const Team *Configuration::team(const TeamName &name) const
{
    return findNamed(teams_, &Team::name_, name);
}

const Site *Configuration::site(const AvailabilityZone &zone) const
{
    return findNamed(sites_, &Site::zone_, zone);
}

} // namespace cardamombay::config
