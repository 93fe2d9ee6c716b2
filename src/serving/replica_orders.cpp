#include <cardamombay/serving/replica_orders.hpp>

namespace cardamombay::serving {

std::string_view nameOf(const Order &order)
{
    constexpr std::string_view names[] = {"join", "open", "close", "leave", "stage"};
    return names[order.index()];
}

std::string_view nameOf(OrderAnswer answer)
{
    switch (answer) {
    case OrderAnswer::Begun:
        return "begun";
    case OrderAnswer::Done:
        return "done";
    case OrderAnswer::Misfit:
        return "misfit";
    case OrderAnswer::Outdated:
        return "outdated";
    case OrderAnswer::Withheld:
        return "withheld";
    case OrderAnswer::Refused:
        break;
    }
    return "refused";
}

} // namespace cardamombay::serving
