/// \file
/// \brief Beast body that grows as it is received.
#pragma once

#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/message.hpp>

#include <cstdint>
#include <string>

namespace cardamombay::net::impl {

/// \brief As string_body, but takes no memory for bytes that are only announced.
struct ReceivedBody
{
    using value_type = std::string; // NOLINT(readability-identifier-naming): Beast's name.

    class reader // NOLINT(readability-identifier-naming): Beast's name.
    {
    public:
        template<bool isRequest, class Fields>
        reader(boost::beast::http::header<isRequest, Fields> & /*header*/, value_type &body)
            : body_(body)
        {
        }

        void init(const boost::optional<std::uint64_t> & /*length*/,
                  boost::system::error_code &error)
        {
            error = {};
        }

        template<class Buffers>
        std::size_t put(const Buffers &buffers, boost::system::error_code &error)
        {
            error = {};
            std::size_t size = 0;
            for (const auto buffer : boost::beast::buffers_range_ref(buffers)) {
                body_.append(static_cast<const char *>(buffer.data()), buffer.size());
                size += buffer.size();
            }
            return size;
        }

        void finish(boost::system::error_code &error) { error = {}; }

    private:
        value_type &body_;
    };
};

} // namespace cardamombay::net::impl
