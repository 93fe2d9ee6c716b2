#include <cardamombay/metrics/registry.hpp>

#include <criterion/criterion.h>

using namespace cardamombay;

Test(metrics, same_name_and_labels_give_the_same_counter)
{
    metrics::Registry registry;
    registry.counter("requests_total", "Requests.", {{"outcome", "ran"}}).increment();
    registry.counter("requests_total", "Requests.", {{"outcome", "ran"}}).increment(2);
    registry.counter("requests_total", "Requests.", {{"outcome", "unknown"}}).increment();

    const auto text = registry.text();

    cr_assert_neq(text.find("requests_total{outcome=\"ran\"} 3"), std::string::npos);
    cr_assert_neq(text.find("requests_total{outcome=\"unknown\"} 1"), std::string::npos);
}
