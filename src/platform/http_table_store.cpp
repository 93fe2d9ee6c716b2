#include <cardamombay/platform/http_table_store.hpp>

#include "platform/platform_call.hpp"
#include "platform/platform_codec.hpp"

#include <cardamombay/net/http_client.hpp>
#include <cardamombay/net/http_status.hpp>

#include <utility>

namespace cardamombay::platform {

using impl::Call;
using impl::CallKind;
using net::HttpResponse;
using net::HttpResult;

namespace {

Result<CommitReceipt> readCommit(const Call &call, const HttpResult &result)
{
    if (auto error = impl::commonError(call, result))
        return *std::move(error);
    const auto &response = std::get<HttpResponse>(result);
    if (response.status_ == net::statusConflict) {
        if (auto conflict = impl::decodeConflict(response.body_))
            return Error(*std::move(conflict));
        return impl::unreadable(call, "the conflict cannot be read");
    }
    const auto receipt = impl::decodeReceipt(response.body_);
    if (response.status_ == net::statusOk && receipt)
        return *receipt;
    return impl::unreadable(call, "the answer cannot be read");
}

template<typename T>
Result<T> readAnswer(const Call &call, const HttpResult &result,
                     std::optional<T> (*decode)(std::string_view))
{
    if (auto error = impl::commonError(call, result))
        return *std::move(error);
    const auto &response = std::get<HttpResponse>(result);
    if (response.status_ == net::statusOk) {
        if (auto value = decode(response.body_))
            return *std::move(value);
    }
    return impl::unreadable(call, "the answer cannot be read");
}

} // namespace

HttpTableStore::HttpTableStore(net::HttpClient &client, HttpEndpoint endpoint)
    : client_(client)
    , endpoint_(std::move(endpoint))
{
}

std::string HttpTableStore::nextRequestId()
{
    return "table-" + std::to_string(++requests_);
}

void HttpTableStore::commit(Transaction transaction, Callback<CommitReceipt> done)
{
    const Call call{"commit", nextRequestId(), CallKind::Write};
    client_.send(
        impl::makeRequest(endpoint_, call, "POST", "/v1/transact", impl::encode(transaction)),
        [call, done = std::move(done)](const HttpResult &result) {
            done(readCommit(call, result));
        });
}

void HttpTableStore::read(std::vector<RowKey> keys, Callback<std::vector<Row>> done)
{
    const Call call{"read", nextRequestId(), CallKind::Read};
    client_.send(impl::makeRequest(endpoint_, call, "POST", "/v1/read", impl::encode(keys)),
                 [call, done = std::move(done)](const HttpResult &result) {
                     done(readAnswer(call, result, &impl::decodeRows));
                 });
}

void HttpTableStore::scan(Scan scan, Callback<ScanPage> done)
{
    const Call call{"scan", nextRequestId(), CallKind::Read};
    client_.send(impl::makeRequest(endpoint_, call, "POST", "/v1/scan", impl::encode(scan)),
                 [call, done = std::move(done)](const HttpResult &result) {
                     done(readAnswer(call, result, &impl::decodePage));
                 });
}

} // namespace cardamombay::platform
