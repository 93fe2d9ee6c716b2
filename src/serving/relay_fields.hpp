/// \file
/// \brief Header fields of requests that one entry VM relays to another one.
#pragma once

#include <cardamombay/net/http_client.hpp>

#include <cstddef>
#include <vector>

namespace cardamombay::serving::impl {

/// \brief Sets how often the request may have run before, in place of what a caller sent.
void setPriorRuns(std::vector<net::HttpField> &fields, std::size_t runs);

/// \brief Removes that number from the header.
/// \returns 0 if it is missing or unreadable.
[[nodiscard]] std::size_t takePriorRuns(std::vector<net::HttpField> &fields);

/// \brief Sets in a carrier's answer how often the request may have run there.
void setRuns(std::vector<net::HttpField> &fields, std::size_t runs);

/// \brief Removes that number from the header.
/// \returns 1 if it is missing or unreadable.
[[nodiscard]] std::size_t takeRuns(std::vector<net::HttpField> &fields);

/// \brief Marks a refusal of an entry VM that reaches no endpoint itself.
void markPathsLost(net::HttpResponse &response);
[[nodiscard]] bool hasLostPaths(const net::HttpResponse &response);

} // namespace cardamombay::serving::impl
