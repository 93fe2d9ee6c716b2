#include <cardamombay/traffic/problem.hpp>

#include <boost/json.hpp>

namespace cardamombay::traffic {

namespace {

constexpr std::string_view typePrefix = "urn:cardamombay:problem:";

std::string bodyOf(const Problem &problem, const RequestId &request)
{
    boost::json::object body;
    body["type"] = std::string(typePrefix) + problem.type_;
    body["title"] = problem.title_;
    body["status"] = problem.status_;
    body["detail"] = problem.detail_;
    body["outcome"] = outcomes::nameOf(problem.outcome_);
    body["remedy"] = problem.remedy_;
    body["request_id"] = request.text();
    return boost::json::serialize(body);
}

/// Whole seconds, rounded up: a caller that comes earlier would be refused again.
std::string secondsOf(Duration duration)
{
    return std::to_string(std::chrono::ceil<std::chrono::seconds>(duration).count());
}

} // namespace

net::HttpResponse problemResponse(const Problem &problem, const RequestId &request)
{
    net::HttpResponse response;
    response.status_ = problem.status_;
    response.fields_ = {{"Content-Type", "application/problem+json"},
                        {requestIdField, request.text()},
                        {outcomeField, std::string(outcomes::nameOf(problem.outcome_))}};
    if (problem.retryAfter_ > Duration::zero())
        response.fields_.push_back({"Retry-After", secondsOf(problem.retryAfter_)});
    response.body_ = bodyOf(problem, request);
    return response;
}

std::string problemEvent(const Problem &problem, const RequestId &request)
{
    return "event: error\ndata: " + bodyOf(problem, request) + "\n\n";
}

} // namespace cardamombay::traffic
