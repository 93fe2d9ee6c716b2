#include <cardamombay/platform/http_vm_directory.hpp>

#include "platform/platform_call.hpp"
#include "platform/platform_codec.hpp"

#include <cardamombay/net/http_client.hpp>
#include <cardamombay/net/http_status.hpp>

#include <utility>

namespace cardamombay::platform {

using impl::Call;
using net::HttpResponse;
using net::HttpResult;

namespace {

Result<VmList> readList(const Call &call, const HttpResult &result)
{
    if (auto error = impl::commonError(call, result))
        return *std::move(error);
    const auto &response = std::get<HttpResponse>(result);
    auto list = impl::decodeVmList(response.body_);
    if (response.status_ == net::statusOk && list)
        return *std::move(list);
    return Error(MalformedMessage{"VM list", "status " + std::to_string(response.status_)});
}

} // namespace

HttpVmDirectory::HttpVmDirectory(net::HttpClient &client, HttpEndpoint endpoint)
    : client_(client)
    , endpoint_(std::move(endpoint))
{
}

void HttpVmDirectory::list(Callback<VmList> done)
{
    const Call call{"list", "vms-" + std::to_string(++requests_)};
    client_.send(
        impl::makeRequest(endpoint_, call, "GET", "/v1/vms"),
        [call, done = std::move(done)](const HttpResult &result) { done(readList(call, result)); });
}

} // namespace cardamombay::platform
