#include <cardamombay/rpc/json_rpc_peer_transport.hpp>

#include <cardamombay/rpc/digest_codec.hpp>

#include "rpc/digest_json.hpp"

#include <exception>
#include <stdexcept>
#include <utility>
#include <variant>

namespace cardamombay::rpc {

namespace {

constexpr std::uint32_t okStatus = 200;

std::string envelope(std::uint64_t call, const std::string &method, const std::string &parameter)
{
    return R"({"id":)" + std::to_string(call) + R"(,"jsonrpc":"2.0","method":)"
           + impl::write(Json::Value(method)) + R"(,"params":[)" + parameter + "]}";
}

/// The result of a JSON-RPC response; throws if it is an error or no response to \p call.
Json::Value resultFrom(const std::string &body, std::uint64_t call)
{
    const Json::Value response = impl::parse(body);
    if (!response.isObject() || response["jsonrpc"] != Json::Value("2.0"))
        throw std::runtime_error("no JSON-RPC 2.0 response");
    if (response.isMember("error"))
        throw std::runtime_error("the peer refused: " + impl::write(response["error"]));
    if (!response["id"].isUInt64() || response["id"].asUInt64() != call)
        throw std::runtime_error("the response belongs to another call");
    if (!response.isMember("result"))
        throw std::runtime_error("a response without a result");
    return response["result"];
}

Error errorFrom(const Address &address, const net::HttpFailure &failure, Duration timeout)
{
    if (failure.isTimeout_)
        return TimedOut{"call to " + address.text(), timeout};
    return PeerUnreachable{EntryId(address.text()), failure.detail_};
}

Result<Json::Value> readResponse(const Address &address, const net::HttpResult &result,
                                 std::uint64_t call, Duration timeout)
{
    if (const auto *failure = std::get_if<net::HttpFailure>(&result))
        return errorFrom(address, *failure, timeout);
    const auto &response = std::get<net::HttpResponse>(result);
    if (response.status_ != okStatus)
        return Error(
            MalformedMessage{address.text(), "status " + std::to_string(response.status_)});
    try {
        return resultFrom(response.body_, call);
    } catch (const std::exception &problem) {
        return Error(MalformedMessage{address.text(), problem.what()});
    }
}

Result<membership::Digest> digestOf(const Address &address, const Json::Value &value)
{
    try {
        return impl::digestFrom(value);
    } catch (const std::exception &problem) {
        return Error(MalformedMessage{address.text(), problem.what()});
    }
}

net::HttpRequest post(const Address &address, std::string body, Duration timeout)
{
    net::HttpRequest request;
    request.address_ = address;
    request.method_ = "POST";
    request.target_ = rpcTarget;
    request.fields_.push_back(net::HttpField{"Content-Type", "application/json"});
    request.body_ = std::move(body);
    request.timeout_ = timeout;
    return request;
}

} // namespace

JsonRpcPeerTransport::JsonRpcPeerTransport(net::HttpClient &http, Duration timeout)
    : http_(http)
    , timeout_(timeout)
{
}

void JsonRpcPeerTransport::exchange(Address address, membership::Digest digest,
                                    Callback<membership::Digest> done)
{
    const std::uint64_t call = nextCall_++;
    const Duration timeout = timeout_;
    auto request = post(address, envelope(call, "exchange", encodeDigest(digest)), timeout);
    http_.send(std::move(request), [address = std::move(address), call, timeout,
                                    done = std::move(done)](const net::HttpResult &result) {
        const auto value = readResponse(address, result, call, timeout);
        if (isOk(value))
            done(digestOf(address, valueOf(value)));
        else
            done(errorOf(value));
    });
}

void JsonRpcPeerTransport::call(Address address, const std::string &method,
                                const std::string &parameter, Callback<std::string> done)
{
    const std::uint64_t call = nextCall_++;
    const Duration timeout = timeout_;
    auto request = post(address, envelope(call, method, parameter), timeout);
    http_.send(std::move(request), [address = std::move(address), call, timeout,
                                    done = std::move(done)](const net::HttpResult &result) {
        const auto value = readResponse(address, result, call, timeout);
        if (isOk(value))
            done(impl::write(valueOf(value)));
        else
            done(errorOf(value));
    });
}

} // namespace cardamombay::rpc
