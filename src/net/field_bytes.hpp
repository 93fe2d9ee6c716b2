/// \file
/// \brief Size of the fields of an HTTP message.
#pragma once

#include <cstddef>

namespace cardamombay::net::impl {

/// \param message a head of Beast, with trailers once these have been read.
/// \returns the bytes of all names and values.
template<typename Message>
std::size_t fieldBytes(const Message &message)
{
    std::size_t size = 0;
    for (const auto &field : message)
        size += field.name_string().size() + field.value().size();
    return size;
}

} // namespace cardamombay::net::impl
