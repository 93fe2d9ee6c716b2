#include <cardamombay/platform/http_object_store.hpp>

#include "platform/platform_call.hpp"

#include <cardamombay/net/http_client.hpp>
#include <cardamombay/net/http_status.hpp>

#include <cctype>
#include <utility>

namespace cardamombay::platform {

using impl::Call;
using impl::CallKind;
using net::HttpResponse;
using net::HttpResult;

namespace {

std::string targetOf(const std::string &name)
{
    constexpr std::string_view digits = "0123456789ABCDEF";
    std::string target = "/v1/objects/";
    for (const char c : name) {
        const auto byte = static_cast<unsigned char>(c);
        if (std::isalnum(byte) != 0 || c == '-' || c == '_' || c == '.') {
            target += c;
            continue;
        }
        target += '%';
        target += digits[byte >> 4U];
        target += digits[byte & 0xfU];
    }
    return target;
}

Result<Done> readPut(const Call &call, const HttpResult &result)
{
    if (auto error = impl::commonError(call, result))
        return *std::move(error);
    if (std::get<HttpResponse>(result).status_ == net::statusOk)
        return Done{};
    return Error(StoreUnavailable{call.operation_, "the service refused the object"});
}

Result<std::string> readFetch(const Call &call, const std::string &name, const HttpResult &result)
{
    if (auto error = impl::commonError(call, result))
        return *std::move(error);
    const auto &response = std::get<HttpResponse>(result);
    if (response.status_ == net::statusOk)
        return response.body_;
    if (response.status_ == net::statusNotFound)
        return Error(NotFound{"object " + name});
    return impl::unreadable(call, "the answer cannot be read");
}

} // namespace

HttpObjectStore::HttpObjectStore(net::HttpClient &client, HttpEndpoint endpoint)
    : client_(client)
    , endpoint_(std::move(endpoint))
{
}

std::string HttpObjectStore::nextRequestId()
{
    return "object-" + std::to_string(++requests_);
}

void HttpObjectStore::put(std::string name, std::string content, Callback<Done> done)
{
    const Call call{"put", nextRequestId(), CallKind::Write};
    client_.send(
        impl::makeRequest(endpoint_, call, "PUT", targetOf(name), std::move(content)),
        [call, done = std::move(done)](const HttpResult &result) { done(readPut(call, result)); });
}

void HttpObjectStore::fetch(std::string name, Callback<std::string> done)
{
    const Call call{"fetch", nextRequestId(), CallKind::Read};
    auto request = impl::makeRequest(endpoint_, call, "GET", targetOf(name));
    client_.send(std::move(request),
                 [call, name = std::move(name), done = std::move(done)](const HttpResult &result) {
                     done(readFetch(call, name, result));
                 });
}

} // namespace cardamombay::platform
