/// \file
/// \brief The VM list over HTTP, as docs/PLATFORM.md defines it.
#pragma once

#include <cardamombay/platform/http_endpoint.hpp>
#include <cardamombay/platform/vm_directory.hpp>

#include <cstdint>
#include <memory>

namespace cardamombay::net {
class HttpClient;
} // namespace cardamombay::net

namespace cardamombay::platform {

/// \brief VM list over HTTP. A list with a single bad line is refused whole, since a VM missing
/// from the list would look like a VM that is gone. It asks with the tag of the list it has, so
/// that a platform which knows tags does not send an unchanged list again.
class HttpVmDirectory final : public VmDirectory
{
public:
    HttpVmDirectory(net::HttpClient &client, HttpEndpoint endpoint);
    ~HttpVmDirectory() override;

    void list(Callback<VmList> done) override;

private:
    net::HttpClient &client_;
    HttpEndpoint endpoint_;
    std::uint64_t requests_ = 0;
    struct Known;
    std::shared_ptr<Known> known_; ///< The latest list; answers under way hold it too.
};

} // namespace cardamombay::platform
