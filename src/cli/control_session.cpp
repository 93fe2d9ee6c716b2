#include "cli/control_session.hpp"

#include <cardamombay/cli/exit_code.hpp>
#include <cardamombay/net/http_status.hpp>

#include <boost/json.hpp>

#include <algorithm>
#include <random>

namespace cardamombay::cli {

namespace json = boost::json;

namespace {

constexpr Duration longestStoreCall = std::chrono::seconds(3);

std::uint64_t randomBits()
{
    std::random_device device;
    const std::uint64_t high = device();
    return (high << 32U) | device();
}

/// Detail and remedy of a problem body; empty where the body is something else.
struct Problem
{
    std::string detail_;
    std::string remedy_;
};

Problem problemOf(const net::HttpResponse &response)
{
    Problem problem;
    boost::system::error_code error;
    const json::value body = json::parse(response.body_, error);
    if (!error && body.is_object()) {
        const auto text = [&body](const char *key) {
            const json::value *value = body.as_object().if_contains(key);
            return value && value->is_string() ? json::value_to<std::string>(*value)
                                               : std::string();
        };
        problem = {text("detail"), text("remedy")};
    }
    if (problem.detail_.empty())
        problem.detail_ = "status " + std::to_string(response.status_);
    if (problem.remedy_.empty())
        problem.remedy_ = "check the command and the state of the entry VM";
    return problem;
}

Error errorOfStatus(const Address &entry, const net::HttpResponse &response)
{
    const Problem problem = problemOf(response);
    if (response.status_ == net::statusNotFound)
        return NotFound{problem.detail_};
    if (response.status_ == net::statusBadRequest)
        return InvalidInput{
            {"entry VM " + entry.text(), 0, 0}, "", problem.detail_, problem.remedy_};
    return PeerUnreachable{EntryId(entry.text()), problem.detail_};
}

} // namespace

StoreLink::StoreLink(EventLoop &loop, const Address &address)
    : random_(randomBits())
    , tables_(loop.client(), {address, longestStoreCall})
    , objects_(loop.client(), {address, longestStoreCall})
    , config_(loop.clock(), tables_, objects_, random_,
              {EntryId("cardamombayctl"), Incarnation(random_.bits())})
{
}

ControlSession::ControlSession(ControlOptions options, std::ostream &out, std::ostream &err)
    : options_(std::move(options))
    , out_(out)
    , err_(err)
{
}

std::string ControlSession::operand(std::size_t index) const
{
    const std::size_t place = commandWords_ + index;
    return place < options_.arguments_.size() ? options_.arguments_[place] : std::string();
}

std::vector<std::string> ControlSession::operands() const
{
    const auto first = std::min(commandWords_, options_.arguments_.size());
    return {options_.arguments_.begin() + static_cast<std::ptrdiff_t>(first),
            options_.arguments_.end()};
}

Result<StoreLink *> ControlSession::store()
{
    if (!options_.store_)
        return wrongUsage("store", "this command needs the platform's service",
                          "give --store IP:PORT or set CARDAMOMBAY_STORE");
    if (!store_)
        store_ = std::make_unique<StoreLink>(loop_, *options_.store_);
    return store_.get();
}

Result<std::string> ControlSession::ask(const std::string &method, const std::string &target)
{
    if (!options_.entry_)
        return wrongUsage("entry", "this command needs an entry VM",
                          "give --entry IP:PORT (its peer listener) or set CARDAMOMBAY_ENTRY");
    return ask(*options_.entry_, method, target);
}

Result<std::string> ControlSession::ask(const Address &entry, const std::string &method,
                                        const std::string &target)
{
    net::HttpRequest request;
    request.address_ = entry;
    request.method_ = method;
    request.target_ = target;
    request.timeout_ = std::min<Duration>(options_.timeout_, std::chrono::seconds(10));
    const net::HttpResult result = loop_.send(std::move(request));
    if (const auto *failure = std::get_if<net::HttpFailure>(&result))
        return Error(PeerUnreachable{EntryId(entry.text()), failure->detail_});
    const auto &response = std::get<net::HttpResponse>(result);
    if (response.status_ != net::statusOk)
        return errorOfStatus(entry, response);
    return response.body_;
}

int ControlSession::fail(const Error &error)
{
    err_ << "cardamombayctl: " << messageOf(error) << "\n  remedy: " << remedyOf(error) << '\n';
    if (std::holds_alternative<InvalidInput>(error))
        return exitWrongInput;
    return std::holds_alternative<ConfigConflict>(error) ? exitConflict : exitFailed;
}

} // namespace cardamombay::cli
