#include "proof/links.hpp"

#include <boost/asio/post.hpp>

#include <future>
#include <tuple>

namespace cardamombay::test {

namespace {

bool matches(std::string_view wanted, std::string_view name)
{
    return wanted.empty() || wanted == name;
}

} // namespace

Links::Links()
    : guard_(context_.get_executor())
    , thread_([this] { context_.run(); })
{
}

Links::~Links()
{
    context_.stop();
    thread_.join();
}

void Links::run(const std::function<void()> &task)
{
    std::promise<void> done;
    boost::asio::post(context_, [&] {
        task();
        done.set_value();
    });
    done.get_future().wait();
}

void Links::forEach(std::string_view client, std::string_view server,
                    const std::function<void(support::FaultProxy &)> &task)
{
    run([&] {
        for (auto &[name, proxy] : proxies_) {
            if (matches(client, name.first) && matches(server, name.second))
                task(proxy);
        }
    });
}

Address Links::open(std::string_view client, std::string_view server, const Address &target)
{
    Address address;
    run([&] {
        const Name name{client, server};
        auto found = proxies_.find(name);
        if (found == proxies_.end()) {
            found = proxies_
                        .emplace(std::piecewise_construct, std::forward_as_tuple(name),
                                 std::forward_as_tuple(context_, target))
                        .first;
        }
        address = found->second.address();
    });
    return address;
}

void Links::setFaults(std::string_view client, std::string_view server,
                      const support::LinkFaults &faults)
{
    forEach(client, server, [&](support::FaultProxy &proxy) { proxy.setFaults(faults); });
}

void Links::partition(std::string_view client, std::string_view server)
{
    support::LinkFaults faults;
    faults.toServer_.isPartitioned_ = true;
    faults.toClient_.isPartitioned_ = true;
    setFaults(client, server, faults);
}

void Links::heal()
{
    setFaults("", "", {});
}

void Links::cut(std::string_view client, std::string_view server)
{
    forEach(client, server, [](support::FaultProxy &proxy) { proxy.cutConnections(); });
}

} // namespace cardamombay::test
