/// \file
/// \brief The object store over HTTP, as docs/PLATFORM.md defines it.
#pragma once

#include <cardamombay/platform/http_endpoint.hpp>
#include <cardamombay/platform/object_store.hpp>

#include <cstdint>

namespace cardamombay::net {
class HttpClient;
} // namespace cardamombay::net

namespace cardamombay::platform {

/// \brief Object store over HTTP. A put without an answer may be sent again by the caller, since
/// objects never change.
class HttpObjectStore final : public ObjectStore
{
public:
    HttpObjectStore(net::HttpClient &client, HttpEndpoint endpoint);

    void put(std::string name, std::string content, Callback<Done> done) override;
    void fetch(std::string name, Callback<std::string> done) override;

private:
    [[nodiscard]] std::string nextRequestId();

    net::HttpClient &client_;
    HttpEndpoint endpoint_;
    std::uint64_t requests_ = 0;
};

} // namespace cardamombay::platform
