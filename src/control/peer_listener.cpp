#include "peer_listener.hpp"

#include <cardamombay/admin/admin_ack.hpp>
#include <cardamombay/admin/admin_config.hpp>
#include <cardamombay/admin/admin_event.hpp>
#include <cardamombay/net/http_status.hpp>
#include <cardamombay/rpc/json_rpc_peer_transport.hpp>
#include <cardamombay/traffic/problem.hpp>

#include <optional>
#include <utility>

namespace cardamombay::control::impl {

namespace {

net::HttpResponse respond(std::string body, const char *type = "application/json")
{
    net::HttpResponse response;
    response.status_ = net::statusOk;
    response.fields_ = {{"Content-Type", type}};
    response.body_ = std::move(body);
    return response;
}

net::HttpResponse notFound(std::string_view path)
{
    traffic::Problem problem;
    problem.status_ = net::statusNotFound;
    problem.type_ = "not-found";
    problem.title_ = "No such resource";
    problem.detail_ = "nothing is known under " + std::string(path);
    problem.remedy_ = "check the name with 'cardamombayctl vms' or 'cardamombayctl groups'";
    return traffic::problemResponse(problem, RequestId{});
}

/// The rest of \p path after \p prefix; none if \p path does not start with it.
std::optional<std::string_view> suffixAfter(std::string_view path, std::string_view prefix)
{
    if (!path.starts_with(prefix))
        return std::nullopt;
    return path.substr(prefix.size());
}

} // namespace

void PeerListener::handle(net::ServerRequest request, std::shared_ptr<net::ServerExchange> exchange)
{
    exchange->respond(answer(request));
}

net::HttpResponse PeerListener::refusal(net::ServerFault fault, std::string_view detail)
{
    traffic::Problem problem;
    problem.status_ = net::statusOf(fault);
    problem.type_ = "bad-request";
    problem.title_ = "The input is no acceptable request";
    problem.detail_ = std::string(detail);
    problem.remedy_ = "see docs/design/peer_protocol.md";
    return traffic::problemResponse(problem, RequestId{});
}

net::HttpResponse PeerListener::answer(const net::ServerRequest &request)
{
    const bool isPost = request.method_ == "POST";
    if (isPost && request.target_ == rpc::rpcTarget)
        return respond(parts_.dispatcher_.handle(request.body_));
    return isPost ? handlePost(request.target_) : handleGet(request.target_);
}

net::HttpResponse PeerListener::handleGet(std::string_view path)
{
    const ControlNode &node = parts_.node_;
    if (path == "/healthz")
        return respond("ok\n", "text/plain");
    if (path == "/metrics")
        return respond(parts_.registry_.text(), "text/plain; version=0.0.4");
    if (path == "/admin/status")
        return respond(admin::encode(statusOf(node, parts_.lifecycleState_())));
    if (path == "/admin/groups")
        return respond(admin::encode(groupsOf(node)));
    if (path == "/admin/vms")
        return respond(admin::encode(vmsOf(node)));
    if (path == "/admin/config")
        return respond(admin::encode(admin::configOf(node.configuration())));
    if (path == "/admin/events")
        return respond(events({}));
    if (const auto group = suffixAfter(path, "/admin/explain/group/"))
        return respond(events(*group));
    if (const auto request = suffixAfter(path, "/admin/explain/request/"))
        return respond(requestEvents(*request));
    return notFound(path);
}

net::HttpResponse PeerListener::handlePost(std::string_view path)
{
    ControlNode &node = parts_.node_;
    if (path == "/admin/drain/entry") {
        parts_.requestStop_();
        return respond(admin::encode(admin::AdminAck{"the entry VM begins its shutdown"}));
    }
    if (const auto name = suffixAfter(path, "/admin/drain/vm/")) {
        const VmId vm(*name);
        if (!node.vms().contains(vm))
            return notFound(path);
        node.drainVm(vm);
        return respond(admin::encode(admin::AdminAck{"VM " + vm.text() + " takes no new work"}));
    }
    if (const auto name = suffixAfter(path, "/admin/undrain/vm/")) {
        const VmId vm(*name);
        if (!node.vms().contains(vm))
            return notFound(path);
        node.undrainVm(vm);
        return respond(admin::encode(admin::AdminAck{"VM " + vm.text() + " may take work again"}));
    }
    return notFound(path);
}

std::string PeerListener::requestEvents(std::string_view request) const
{
    return admin::encode(
        admin::eventsOf(parts_.requestDecisions_.forSubject(request), parts_.node_.now()));
}

std::string PeerListener::events(std::string_view subject) const
{
    return admin::encode(
        admin::eventsOf(parts_.decisions_.forSubject(subject), parts_.node_.now()));
}

} // namespace cardamombay::control::impl
