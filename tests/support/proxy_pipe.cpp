#include "support/proxy_pipe.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <utility>

namespace cardamombay::support {

namespace asio = boost::asio;
using boost::system::error_code;
using SteadyClock = std::chrono::steady_clock;

namespace {

constexpr std::size_t mostQueuedBytes = std::size_t{4} << 20U;
constexpr std::uint64_t slicesPerSecond = 50;

} // namespace

ProxyPipe::ProxyPipe(Socket &source, Socket &sink, const DirectionFaults &faults,
                     std::uint64_t &counter)
    : source_(source)
    , sink_(sink)
    , faults_(faults)
    , counter_(counter)
    , wake_(source.get_executor())
    , room_(source.get_executor())
{
}

asio::awaitable<void> ProxyPipe::read()
{
    for (;;) {
        error_code failure;
        const auto count = co_await source_.async_read_some(
            asio::buffer(buffer_), asio::redirect_error(asio::use_awaitable, failure));
        if (failure || isStopped_)
            break;
        const std::string_view bytes(buffer_.data(), count);
        if (faults_.drops_)
            hasDropped_ = true;
        else if (filter_)
            filter_(bytes);
        else
            push(std::string(bytes));
        while (queuedBytes_ > mostQueuedBytes && !isStopped_)
            co_await waitUntil(room_, SteadyClock::time_point::max());
    }
    queue_.push_back({SteadyClock::now() + faults_.delay_, {}});
    wake_.cancel();
}

asio::awaitable<bool> ProxyPipe::write()
{
    for (;;) {
        while (!isStopped_ && (queue_.empty() || faults_.isPartitioned_))
            co_await waitUntil(wake_, SteadyClock::time_point::max());
        if (isStopped_)
            co_return false;
        if (const auto due = std::max(queue_.front().due_, nextSend_); due > SteadyClock::now()) {
            co_await waitUntil(wake_, due);
            continue;
        }
        if (queue_.front().bytes_.empty()) {
            error_code ignored;
            sink_.shutdown(Socket::shutdown_send, ignored);
            co_return false;
        }
        const std::string slice = takeSlice();
        error_code failure;
        co_await asio::async_write(sink_, asio::buffer(slice),
                                   asio::redirect_error(asio::use_awaitable, failure));
        counter_ += slice.size();
        sentSinceFaults_ += slice.size();
        if (failure || hasReachedCut())
            co_return true;
    }
}

void ProxyPipe::push(std::string bytes)
{
    if (bytes.empty())
        return;
    queuedBytes_ += bytes.size();
    queue_.push_back({SteadyClock::now() + faults_.delay_, std::move(bytes)});
    wake_.cancel();
}

std::string ProxyPipe::takeSlice()
{
    std::string &front = queue_.front().bytes_;
    std::uint64_t size = front.size();
    if (faults_.bytesPerSecond_ > 0) {
        size
            = std::min(size, std::max<std::uint64_t>(1, faults_.bytesPerSecond_ / slicesPerSecond));
        const std::chrono::duration<double> spent(static_cast<double>(size)
                                                  / static_cast<double>(faults_.bytesPerSecond_));
        nextSend_ = SteadyClock::now() + std::chrono::duration_cast<Duration>(spent);
    }
    if (faults_.cutAfter_)
        size = std::min(size, *faults_.cutAfter_ - std::min(*faults_.cutAfter_, sentSinceFaults_));
    std::string slice = front.substr(0, size);
    front.erase(0, size);
    queuedBytes_ -= size;
    room_.cancel();
    if (front.empty())
        queue_.pop_front();
    return slice;
}

bool ProxyPipe::hasReachedCut() const
{
    return faults_.cutAfter_ && sentSinceFaults_ >= *faults_.cutAfter_;
}

void ProxyPipe::faultsChanged()
{
    sentSinceFaults_ = 0;
    nextSend_ = {};
    // What follows a gap makes no sense to the receiver.
    if (hasDropped_ && !faults_.drops_) {
        error_code ignored;
        source_.close(ignored);
    }
    wake_.cancel();
}

void ProxyPipe::stop()
{
    isStopped_ = true;
    wake_.cancel();
    room_.cancel();
}

asio::awaitable<void> ProxyPipe::waitUntil(Timer &timer, Timer::time_point time)
{
    error_code ignored;
    timer.expires_at(time);
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

} // namespace cardamombay::support
