/// \file
/// \brief A node's platform clients against the stand-in, in one event loop.
#pragma once

#include "support/platform_standin.hpp"

#include <cardamombay/net/asio_http_client.hpp>
#include <cardamombay/platform/http_object_store.hpp>
#include <cardamombay/platform/http_table_store.hpp>
#include <cardamombay/platform/http_vm_directory.hpp>

#include <boost/asio/io_context.hpp>

#include <optional>
#include <stdexcept>

namespace cardamombay::support {

/// \brief Runs the loop until a call has answered.
template<typename T, typename Start>
Result<T> await(boost::asio::io_context &context, Start start)
{
    std::optional<Result<T>> answer;
    start([&](Result<T> result) { answer = std::move(result); });
    if (answer)
        throw std::logic_error("answered inline");
    const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (!answer && std::chrono::steady_clock::now() < limit)
        context.run_one_for(std::chrono::milliseconds(100));
    return answer.value();
}

struct PlatformFixture
{
    explicit PlatformFixture(PlatformSettings settings = {},
                             Duration timeout = std::chrono::seconds(2))
        : standin_(context_, std::move(settings))
        , client_(context_)
        , endpoint_{standin_.address(), timeout}
        , tables_(client_, endpoint_)
        , objects_(client_, endpoint_)
        , directory_(client_, endpoint_)
    {
    }

    Result<platform::CommitReceipt> commit(platform::Transaction transaction)
    {
        return await<platform::CommitReceipt>(
            context_, [&](auto done) { tables_.commit(std::move(transaction), std::move(done)); });
    }

    Result<std::vector<platform::Row>> read(std::vector<platform::RowKey> keys)
    {
        return await<std::vector<platform::Row>>(
            context_, [&](auto done) { tables_.read(std::move(keys), std::move(done)); });
    }

    Result<platform::ScanPage> scan(platform::Scan scan)
    {
        return await<platform::ScanPage>(
            context_, [&](auto done) { tables_.scan(std::move(scan), std::move(done)); });
    }

    Result<Done> put(std::string name, std::string content)
    {
        return await<Done>(context_, [&](auto done) {
            objects_.put(std::move(name), std::move(content), std::move(done));
        });
    }

    Result<std::string> fetch(std::string name)
    {
        return await<std::string>(
            context_, [&](auto done) { objects_.fetch(std::move(name), std::move(done)); });
    }

    Result<platform::VmList> list()
    {
        return await<platform::VmList>(context_,
                                       [&](auto done) { directory_.list(std::move(done)); });
    }

    boost::asio::io_context context_;
    PlatformStandin standin_;
    net::AsioHttpClient client_;
    platform::HttpEndpoint endpoint_;
    platform::HttpTableStore tables_;
    platform::HttpObjectStore objects_;
    platform::HttpVmDirectory directory_;
};

} // namespace cardamombay::support
