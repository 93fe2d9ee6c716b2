/// \file
/// \brief The table service over HTTP, as docs/PLATFORM.md defines it.
#pragma once

#include <cardamombay/platform/http_endpoint.hpp>
#include <cardamombay/platform/table_store.hpp>

namespace cardamombay::net {
class HttpClient;
} // namespace cardamombay::net

namespace cardamombay::platform {

/// \brief Table service over HTTP. Sends each call once and never repeats it.
/// \details A commit that may have reached the service and has no answer that can be read and
/// that echoes its request id gives StoreAnswerLost; the effect is then unknown.
/// \code
/// platform::HttpTableStore store(client, {.address_ = settings.store_});
/// store.read({{"config", "current"}}, [](Result<std::vector<Row>> rows) { take(rows); });
/// \endcode
class HttpTableStore final : public TableStore
{
public:
    HttpTableStore(net::HttpClient &client, HttpEndpoint endpoint);

    void commit(Transaction transaction, Callback<CommitReceipt> done) override;
    void read(std::vector<RowKey> keys, Callback<std::vector<Row>> done) override;
    void scan(Scan scan, Callback<ScanPage> done) override;

private:
    [[nodiscard]] std::string nextRequestId();

    net::HttpClient &client_;
    HttpEndpoint endpoint_;
    std::uint64_t requests_ = 0;
};

} // namespace cardamombay::platform
