#include <cardamombay/load/load_run.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <utility>

namespace cardamombay::load {

namespace asio = boost::asio;

class LoadRun::Impl : public std::enable_shared_from_this<LoadRun::Impl>
{
public:
    Impl(asio::io_context &context, Workload workload, std::vector<Address> entries)
        : timer_(context)
        , caller_(context)
        , workload_(std::move(workload))
        , arrivals_(workload_)
        , entries_(std::move(entries))
    {
        report_.workload_ = workload_.name_;
        report_.seed_ = workload_.seed_;
        report_.duration_ = workload_.duration_;
        for (const auto &request : workload_.requests_)
            report_.classes_.emplace_back().name_ = request.name_;
        for (const auto &team : workload_.teams_)
            report_.teams_.emplace_back().name_ = team.name_;
    }

    void start(std::function<void(const LoadReport &)> done)
    {
        done_ = std::move(done);
        // Arrivals follow the clock of the timer; a suspended run is worthless either way.
        startedAt_ = std::chrono::steady_clock::now();
        waitForNext();
    }

private:
    void waitForNext()
    {
        auto arrival = arrivals_.next();
        if (!arrival) {
            isAllSent_ = true;
            finishIfDone();
            return;
        }
        timer_.expires_at(startedAt_ + arrival->at_);
        timer_.async_wait([self = shared_from_this(),
                           next = std::make_shared<Arrival>(std::move(*arrival))](auto error) {
            if (error)
                return;
            self->offer(std::move(*next));
            self->waitForNext();
        });
    }

    void offer(Arrival arrival)
    {
        ++report_.classes_[arrival.class_].offered_;
        ++report_.teams_[arrival.team_].offered_;
        ++secondOf(arrival).offered_;
        if (inFlight_ >= workload_.maxInFlight_) {
            ++report_.skipped_;
            return;
        }
        ++inFlight_;
        Call call = std::exchange(arrival.call_, {});
        call.address_ = entries_[nextEntry_++ % entries_.size()];
        caller_.send(std::move(call),
                     [self = shared_from_this(), arrival](const CallResult &result) {
                         self->take(arrival, result);
                     });
    }

    void take(const Arrival &arrival, const CallResult &result)
    {
        --inFlight_;
        const auto intended = startedAt_ + arrival.at_;
        report_.latestSend_ = std::max<Duration>(report_.latestSend_, result.startedAt_ - intended);
        const auto outcome = classify(result, workload_.requests_[arrival.class_].isStream_);
        const auto index = static_cast<std::size_t>(outcome);
        ++report_.classes_[arrival.class_].outcomes_[index];
        ++report_.teams_[arrival.team_].outcomes_[index];
        ++secondOf(arrival).outcomes_[index];
        if (outcome == CallOutcome::Complete)
            measure(arrival, result, intended);
        finishIfDone();
    }

    void measure(const Arrival &arrival, const CallResult &result, TimePoint intended)
    {
        auto &figures = report_.classes_[arrival.class_];
        const Duration firstByte = result.firstByteAt_ - intended;
        figures.firstByte_.record(firstByte);
        figures.total_.record(result.endedAt_ - intended);
        const bool isStream = workload_.requests_[arrival.class_].isStream_;
        for (std::size_t i = 1; isStream && i < result.readAt_.size(); ++i)
            figures.gap_.record(result.readAt_[i] - result.readAt_[i - 1]);
        report_.teams_[arrival.team_].tokens_ += arrival.tokens_;
        auto &longest = secondOf(arrival).longestFirstByte_;
        longest = std::max(longest, firstByte);
    }

    SecondFigures &secondOf(const Arrival &arrival)
    {
        const auto second
            = static_cast<std::size_t>(arrival.at_ / Duration(std::chrono::seconds(1)));
        if (report_.seconds_.size() <= second)
            report_.seconds_.resize(second + 1);
        return report_.seconds_[second];
    }

    void finishIfDone()
    {
        if (isAllSent_ && inFlight_ == 0 && done_)
            std::exchange(done_, nullptr)(report_);
    }

    asio::steady_timer timer_;
    HttpCaller caller_;
    Workload workload_;
    Arrivals arrivals_;
    std::vector<Address> entries_;
    std::size_t nextEntry_ = 0;
    TimePoint startedAt_{};
    std::uint32_t inFlight_ = 0;
    bool isAllSent_ = false;
    LoadReport report_;
    std::function<void(const LoadReport &)> done_;
};

LoadRun::LoadRun(asio::io_context &context, Workload workload, std::vector<Address> entries)
    : impl_(std::make_shared<Impl>(context, std::move(workload), std::move(entries)))
{
}

LoadRun::~LoadRun() = default;

void LoadRun::start(std::function<void(const LoadReport &)> done)
{
    impl_->start(std::move(done));
}

bool isLoopback(const Address &address)
{
    return address.ip_.starts_with("127.");
}

} // namespace cardamombay::load
