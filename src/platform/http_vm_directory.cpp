#include <cardamombay/platform/http_vm_directory.hpp>

#include "platform/platform_call.hpp"
#include "platform/platform_codec.hpp"
#include <cardamombay/net/http_status.hpp>

#include <cardamombay/net/http_client.hpp>

#include <utility>

namespace cardamombay::platform {

using impl::Call;
using net::HttpResponse;
using net::HttpResult;

namespace {

Error malformed(std::string detail)
{
    return MalformedMessage{"VM list", std::move(detail)};
}

} // namespace

/// The latest list with the tag the platform gave it.
struct HttpVmDirectory::Known
{
    std::string tag_;
    std::vector<VmRecord> vms_;

    Result<VmList> read(const Call &call, const HttpResult &result)
    {
        if (auto error = impl::commonError(call, result))
            return *std::move(error);
        const auto &response = std::get<HttpResponse>(result);
        auto answer = impl::decodeVmList(response.body_);
        if (response.status_ != net::statusOk || !answer)
            return malformed("status " + std::to_string(response.status_));
        if (!answer->isUnchanged_) {
            tag_ = answer->tag_;
            vms_ = tag_.empty() ? std::vector<VmRecord>() : answer->list_.vms_;
            return std::move(answer->list_);
        }
        // Another call may have brought a newer list meanwhile.
        if (tag_.empty() || answer->tag_ != tag_)
            return malformed("unchanged since a list that is not at hand");
        answer->list_.vms_ = vms_;
        return std::move(answer->list_);
    }
};

HttpVmDirectory::HttpVmDirectory(net::HttpClient &client, HttpEndpoint endpoint)
    : client_(client)
    , endpoint_(std::move(endpoint))
    , known_(std::make_shared<Known>())
{
}

HttpVmDirectory::~HttpVmDirectory() = default;

void HttpVmDirectory::list(Callback<VmList> done)
{
    const Call call{"list", "vms-" + std::to_string(++requests_)};
    const std::string target = known_->tag_.empty() ? "/v1/vms" : "/v1/vms?unless=" + known_->tag_;
    client_.send(impl::makeRequest(endpoint_, call, "GET", target),
                 [call, known = known_, done = std::move(done)](const HttpResult &result) {
                     done(known->read(call, result));
                 });
}

} // namespace cardamombay::platform
