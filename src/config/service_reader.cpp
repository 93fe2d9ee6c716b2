#include "config/draft.hpp"

#include <algorithm>
#include <array>

namespace cardamombay::config::impl {

namespace {

using std::chrono::hours;
using std::chrono::milliseconds;

constexpr Range<Duration> timeoutRange{milliseconds(1), hours(1)};

/// Paths that the daemon answers itself; a service must not stand before them.
constexpr std::array<std::string_view, 7> ownPaths{
    "/v1/completions", "/v1/chat", "/healthz", "/readyz", "/metrics", "/rpc", "/admin"};

constexpr std::array<std::string_view, 2> modelPaths{"/v1/completions", "/v1/chat/completions"};

const std::vector<std::string> methods{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"};

bool isPath(const std::string &path)
{
    return path.starts_with('/') && path.find_first_of(" ?#") == std::string::npos;
}

void readModel(TableReader &reader, endpoint::ModelSpec &model)
{
    reader.require("model", "give model = { name = \"...\", version = \"...\" }");
    const auto *table = reader.table("model");
    if (!table)
        return;
    auto child = reader.child(*table, "model");
    std::string name;
    std::string version;
    child.require("name", "name the model as the weight store knows it");
    child.require("version", "name the version of the model");
    child.read("name", name);
    child.read("version", version);
    child.read("adapters", model.adapters_);
    child.finish();
    model.name_ = ModelName(name);
    model.version_ = ModelVersion(version);
}

void readModelService(TableReader &reader, Service &service)
{
    readModel(reader, service.model_);
    reader.read("vms_per_replica", service.vmsPerReplica_, {1, 1024});
    reader.read("checks_fencing", service.checksFencing_);
    reader.read("load_time", service.loadTime_, {milliseconds(1), hours(24)});
    reader.refuse("path_prefix", "a model service has no paths of its own",
                  "remove it: callers name the service in the field 'model'");
}

void readPathPrefix(TableReader &reader, std::string &prefix)
{
    reader.require("path_prefix", "give the paths to pass through, such as \"/biblioteca\"");
    reader.read("path_prefix", prefix);
    if (prefix.empty())
        return;
    if (!isPath(prefix) || prefix.size() < 2)
        reader.report("path_prefix", "\"" + prefix + "\" is no path below the root",
                      "give a path such as \"/biblioteca\"");
    for (const auto own : ownPaths) {
        if (own.starts_with(prefix) || prefix.starts_with(own))
            reader.report("path_prefix",
                          "\"" + prefix + "\" clashes with \"" + std::string(own)
                              + "\", which the entry VMs answer themselves",
                          "choose another path");
    }
}

void readPlainService(TableReader &reader, Service &service)
{
    readPathPrefix(reader, service.pathPrefix_);
    for (const char *key : {"model", "vms_per_replica", "checks_fencing", "load_time"})
        reader.refuse(key, "a plain service has no model engines", "remove the key");
}

void checkRoutePath(TableReader &reader, const Service &service, const std::string &path)
{
    if (path.empty())
        return;
    if (!isPath(path)) {
        reader.report("path", "\"" + path + "\" is no path", "start it with '/', without a query");
        return;
    }
    if (service.kind_ == ServiceKind::Plain) {
        if (!path.starts_with(service.pathPrefix_))
            reader.report("path", "\"" + path + "\" is outside path_prefix, so it never applies",
                          "start it with \"" + service.pathPrefix_ + "\"");
        return;
    }
    if (std::find(modelPaths.begin(), modelPaths.end(), path) == modelPaths.end())
        reader.report("path", "\"" + path + "\" is no path of a model service",
                      "give \"/v1/completions\" or \"/v1/chat/completions\"");
}

RouteRule readRoute(TableReader &reader, const Service &service)
{
    RouteRule rule;
    reader.require("path", "give the path prefix the rule is for");
    reader.require("idempotent", "say whether such requests may be repeated: true or false");
    reader.readChoice("method", rule.method_, methods);
    reader.read("path", rule.path_);
    reader.read("idempotent", rule.isIdempotent_);
    checkRoutePath(reader, service, rule.path_);
    reader.finish();
    return rule;
}

void readRoutes(TableReader &reader, Service &service)
{
    for (const auto *table : reader.tables("routes")) {
        auto child = reader.child(*table, "routes");
        const RouteRule rule = readRoute(child, service);
        const bool isTwice = std::any_of(
            service.routes_.begin(), service.routes_.end(), [&rule](const RouteRule &other) {
                return other.method_ == rule.method_ && other.path_ == rule.path_;
            });
        if (isTwice)
            child.report("path", "there is a rule for this method and path already",
                         "keep one of the two rules");
        service.routes_.push_back(rule);
    }
}

} // namespace

ServiceDraft readService(TableReader &reader, const std::string &name)
{
    ServiceDraft draft;
    Service &service = draft.service_;
    service.name_ = ServiceName(name);
    std::string kind = "model";
    reader.require("kind", "give kind = \"model\" or kind = \"plain\"");
    reader.readChoice("kind", kind, {"model", "plain"});
    service.kind_ = kind == "plain" ? ServiceKind::Plain : ServiceKind::Model;
    if (service.kind_ == ServiceKind::Model)
        readModelService(reader, service);
    else
        readPlainService(reader, service);
    reader.read("replicas", draft.replicas_, {0, mostReplicas});
    reader.read("requests_per_replica", service.requestsPerReplica_, {1, 100'000});
    reader.read("priority", service.priority_, {0, 1'000'000});
    reader.read("idempotent", service.isIdempotent_);
    reader.read("request_timeout", service.requestTimeout_, timeoutRange);
    reader.read("queue_timeout", service.queueTimeout_, timeoutRange);
    if (service.queueTimeout_ > service.requestTimeout_)
        reader.report("queue_timeout", "it is longer than request_timeout",
                      "make queue_timeout the shorter one");
    readRoutes(reader, service);
    reader.finish();
    return draft;
}

} // namespace cardamombay::config::impl
