#include <cardamombay/rpc/json_rpc_dispatcher.hpp>

#include "rpc/digest_json.hpp"

#include <exception>
#include <map>
#include <utility>

#include <jsonrpccpp/common/errors.h>
#include <jsonrpccpp/common/exception.h>
#include <jsonrpccpp/common/procedure.h>
#include <jsonrpccpp/server/abstractserverconnector.h>
#include <jsonrpccpp/server/iprocedureinvokationhandler.h>
#include <jsonrpccpp/server/requesthandlerfactory.h>

namespace cardamombay::rpc {

namespace {

constexpr const char *exchangeMethod = "exchange";
constexpr int peerErrorCode = -32000; // First of the codes left to implementations.

/// Connector of the library that carries no bytes itself: the request comes as text, and the
/// response is kept for the caller. The library answers on the calling thread.
class TextConnector final : public jsonrpc::AbstractServerConnector
{
public:
    bool StartListening() override { return true; }
    bool StopListening() override { return true; }
    bool SendResponse(const std::string &response, void *target) override
    {
        *static_cast<std::string *>(target) = response;
        return true;
    }

    std::string handle(const std::string &request)
    {
        std::string response;
        OnRequest(request, &response);
        return response;
    }
};

std::string errorResponse(int code, const std::string &message)
{
    Json::Value response(Json::objectValue);
    response["jsonrpc"] = "2.0";
    response["id"] = Json::Value(Json::nullValue);
    response["error"]["code"] = code;
    response["error"]["message"] = message;
    return impl::write(response);
}

} // namespace

class JsonRpcDispatcher::Impl final : public jsonrpc::IProcedureInvokationHandler
{
public:
    Impl()
        : handler_(jsonrpc::RequestHandlerFactory::createProtocolHandler(jsonrpc::JSONRPC_SERVER_V2,
                                                                         *this))
    {
        connector_.SetHandler(handler_.get());
    }

    void declare(const std::string &name)
    {
        handler_->AddProcedure(jsonrpc::Procedure(name, jsonrpc::PARAMS_BY_POSITION,
                                                  jsonrpc::JSON_OBJECT, "parameter",
                                                  jsonrpc::JSON_OBJECT, nullptr));
    }

    void HandleMethodCall(jsonrpc::Procedure &procedure, const Json::Value &input,
                          Json::Value &output) override
    {
        const std::string &name = procedure.GetProcedureName();
        if (name == exchangeMethod && exchange_) {
            output = exchange(input[0]);
            return;
        }
        const auto method = methods_.find(name);
        if (method == methods_.end())
            throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_RPC_METHOD_NOT_FOUND);
        const Result<std::string> result = method->second(impl::write(input));
        if (!isOk(result))
            throw jsonrpc::JsonRpcException(peerErrorCode, messageOf(errorOf(result)),
                                            Json::Value(remedyOf(errorOf(result))));
        output = impl::parse(valueOf(result));
    }

    void HandleNotificationCall(jsonrpc::Procedure & /*procedure*/,
                                const Json::Value & /*input*/) override
    {
    }

    ExchangeHandler exchange_;
    std::map<std::string, Method> methods_;
    TextConnector connector_;

private:
    Json::Value exchange(const Json::Value &parameter)
    {
        membership::Digest digest;
        try {
            digest = impl::digestFrom(parameter);
        } catch (const std::exception &problem) {
            throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_RPC_INVALID_PARAMS,
                                            problem.what());
        }
        return impl::toJson(exchange_(digest));
    }

    std::unique_ptr<jsonrpc::IProtocolHandler> handler_;
};

JsonRpcDispatcher::JsonRpcDispatcher()
    : impl_(std::make_unique<Impl>())
{
    impl_->declare(exchangeMethod);
}

JsonRpcDispatcher::~JsonRpcDispatcher() = default;

void JsonRpcDispatcher::setExchangeHandler(ExchangeHandler handler)
{
    impl_->exchange_ = std::move(handler);
}

void JsonRpcDispatcher::registerMethod(const std::string &name, Method method)
{
    impl_->methods_[name] = std::move(method);
    impl_->declare(name);
}

std::string JsonRpcDispatcher::handle(const std::string &request)
{
    try {
        return impl_->connector_.handle(request);
    } catch (const std::exception &problem) {
        return errorResponse(jsonrpc::Errors::ERROR_RPC_INTERNAL_ERROR, problem.what());
    }
}

} // namespace cardamombay::rpc
