#include "support/platform_standin.hpp"

#include "support/http_listener.hpp"
#include "support/platform_protocol.hpp"

#include <cardamombay/net/asio_clock.hpp>

#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <map>
#include <optional>
#include <utility>

namespace cardamombay::support {

using namespace platform;
using net::HttpRequest;
using net::HttpResponse;

namespace {

constexpr std::size_t bodyLimit = std::size_t{8} << 20U;
constexpr std::size_t requestLimit = std::size_t{1} << 20U;
constexpr std::string_view objectPrefix = "/v1/objects/";
constexpr std::string_view listTarget = "/v1/vms";

enum Status : std::uint32_t {
    Ok = 200,
    BadRequest = 400,
    Missing = 404,
    Conflict = 409,
    TooLarge = 413,
    Throttled = 429,
    Unavailable = 503,
};

HttpResponse throttled()
{
    return {Throttled, {{"Retry-After", "1"}}, "{}"};
}

/// Allows a number of calls a second, with a burst of one second.
class RateLimit
{
public:
    explicit RateLimit(std::uint32_t perSecond)
        : perSecond_(perSecond)
        , tokens_(perSecond)
    {
    }

    bool take(TimePoint now)
    {
        if (perSecond_ == 0)
            return true;
        const std::chrono::duration<double> passed = now - last_;
        last_ = now;
        tokens_ = std::min<double>(perSecond_, tokens_ + passed.count() * perSecond_);
        if (tokens_ < 1)
            return false;
        tokens_ -= 1;
        return true;
    }

private:
    double perSecond_;
    double tokens_;
    TimePoint last_{};
};

struct ListedVms
{
    TimePoint when_;
    std::vector<VmRecord> vms_;
};

} // namespace

struct PlatformStandin::Impl : std::enable_shared_from_this<PlatformStandin::Impl>
{
    using Rows = std::map<RowKey, Row>;

    Impl(boost::asio::io_context &context, PlatformSettings settings)
        : settings_(std::move(settings))
        , clock_(context)
        , content_(clock_)
        , writeLimit_(settings_.writesPerSecond_)
        , readLimit_(settings_.readsPerSecond_)
        , lists_{{TimePoint{}, {}}}
    {
    }

    void listen(boost::asio::io_context &context)
    {
        const auto handler = [weak = weak_from_this()](HttpRequest request, Respond respond) {
            if (const auto self = weak.lock())
                self->handle(std::move(request), std::move(respond));
        };
        listener_.emplace(context, settings_.address_, handler, bodyLimit);
    }

    void handle(HttpRequest request, Respond respond)
    {
        if (request.target_.starts_with("/test/")) {
            respond(control(request));
            return;
        }
        if (faults_.isSilent_) {
            held_.push_back(std::move(respond));
            return;
        }
        const Duration delay = faults_.delay_;
        if (delay == Duration::zero()) {
            serve(request, respond);
            return;
        }
        clock_.schedule(delay / 2, [this, request = std::move(request),
                                    respond = std::move(respond), delay] {
            serve(request, [this, respond, delay](std::optional<HttpResponse> response) {
                clock_.schedule(delay - delay / 2,
                                [respond, response = std::move(response)] { respond(response); });
            });
        });
    }

    /// Carries a request of the platform's protocol out, or fails as the faults say.
    void serve(const HttpRequest &request, const Respond &respond)
    {
        if (faults_.losesRequests_) {
            respond(std::nullopt);
            return;
        }
        if (faults_.isDown_) {
            respond(HttpResponse{Unavailable, {}, "{}"});
            return;
        }
        if (faults_.throttles_) {
            ++counters_.throttled_;
            respond(throttled());
            return;
        }
        if (request.target_ == "/v1/weights") {
            transferWeights(request, respond);
            return;
        }
        auto response = answer(request);
        if (request.target_ == "/v1/transact" && losesAnswer()) {
            respond(std::nullopt);
            return;
        }
        if (faults_.garblesAnswers_)
            response.body_ = "{\"version\":";
        respond(std::move(response));
    }

    bool losesAnswer()
    {
        if (faults_.loseNextAnswers_ == 0)
            return faults_.losesAnswers_;
        --faults_.loseNextAnswers_;
        return true;
    }

    HttpResponse answer(const HttpRequest &request)
    {
        try {
            if (request.target_.starts_with(objectPrefix))
                return object(request);
            if (request.body_.size() > requestLimit)
                return {TooLarge, {}, "{}"};
            if (request.target_ == "/v1/transact" && request.method_ == "POST")
                return transact(request);
            if (request.target_ == "/v1/read" && request.method_ == "POST")
                return read(request);
            if (request.target_ == "/v1/scan" && request.method_ == "POST")
                return scan(request);
            if (request.target_.starts_with(listTarget) && request.method_ == "GET")
                return listVms(request.target_);
            return {Missing, {}, "{}"};
        } catch (const std::exception &) {
            return {BadRequest, {}, "{}"};
        }
    }

    HttpResponse transact(const HttpRequest &request)
    {
        const auto transaction = decodeTransaction(request.body_);
        if (!writeLimit_.take(clock_.now()))
            return countThrottled();
        const auto result = content_.apply(transaction);
        if (isOk(result)) {
            ++counters_.commits_;
            return {Ok, {}, encodeReceipt(valueOf(result))};
        }
        ++counters_.conflicts_;
        return {Conflict, {}, encodeConflict(std::get<StoreConflict>(errorOf(result)))};
    }

    HttpResponse read(const HttpRequest &request)
    {
        const auto keys = decodeKeys(request.body_);
        if (!readLimit_.take(clock_.now()))
            return countThrottled();
        ++counters_.reads_;
        std::vector<Row> found;
        for (const auto &key : keys) {
            const auto row = readableRows().find(key);
            if (row != readableRows().end())
                found.push_back(row->second);
        }
        return {Ok, {}, encodeRows(found)};
    }

    HttpResponse scan(const HttpRequest &request)
    {
        const auto wanted = decodeScan(request.body_);
        if (!readLimit_.take(clock_.now()))
            return countThrottled();
        ++counters_.scans_;
        ScanPage page;
        page.storeVersion_ = frozen_ ? frozenVersion_ : content_.version();
        const auto &rows = readableRows();
        const std::string start = std::max(wanted.prefix_, wanted.after_);
        for (auto row = rows.lower_bound({wanted.table_, start}); row != rows.end(); ++row) {
            const auto &[key, content] = *row;
            if (key.table_ != wanted.table_ || !key.key_.starts_with(wanted.prefix_))
                break;
            if (key.key_ == wanted.after_ || content.version_ <= wanted.changedAfter_)
                continue;
            if (page.rows_.size() == wanted.limit_) {
                page.isLast_ = false;
                break;
            }
            page.rows_.push_back(content);
        }
        return {Ok, {}, encodePage(page)};
    }

    HttpResponse object(const HttpRequest &request)
    {
        const std::string name = request.target_.substr(objectPrefix.size());
        if (request.method_ == "PUT") {
            if (!writeLimit_.take(clock_.now()))
                return countThrottled();
            content_.objects()[name] = request.body_;
            return {Ok, {}, "{}"};
        }
        if (!readLimit_.take(clock_.now()))
            return countThrottled();
        const auto found = content_.objects().find(name);
        if (found == content_.objects().end())
            return {Missing, {}, "{}"};
        return {Ok, {{"Content-Type", "application/octet-stream"}}, found->second};
    }

    void transferWeights(const HttpRequest &request, const Respond &respond)
    {
        try {
            (void)decodeWeightRequest(request.body_);
        } catch (const std::exception &) {
            respond(HttpResponse{BadRequest, {}, "{}"});
            return;
        }
        if (transfers_ >= settings_.weightTransfers_) {
            respond(countThrottled());
            return;
        }
        ++transfers_;
        clock_.schedule(settings_.weightTransferTime_, [this, respond] {
            --transfers_;
            respond(HttpResponse{Ok, {}, "{}"});
        });
    }

    HttpResponse listVms(std::string_view target)
    {
        constexpr std::string_view unless = "?unless=";
        const auto query = target.substr(listTarget.size());
        const auto known = query.starts_with(unless) ? query.substr(unless.size()) : "";
        ++counters_.listings_;
        const TimePoint newest = clock_.now() - settings_.vmListLag_;
        const auto isVisible = [&](const ListedVms &list) { return list.when_ <= newest; };
        // Only the newest list that shows is needed; older ones can go.
        while (lists_.size() > 1 && isVisible(lists_[1]))
            lists_.erase(lists_.begin());
        return {Ok, {}, encodeVms(lists_.front().vms_, settings_.vmListLag_, known)};
    }

    HttpResponse control(const HttpRequest &request)
    {
        try {
            if (request.target_ == "/test/counters")
                return {Ok, {}, encodeCounters(counters_, content_.rows().size())};
            if (request.target_ == "/test/faults")
                setFaults(decodeFaults(request.body_, faults_));
            else if (request.target_ == "/test/vms")
                setVms(decodeVms(request.body_));
            else if (request.target_ == "/test/vms/status")
                setVmStatus(decodeVmStatus(request.body_));
            else
                return {Missing, {}, "{}"};
            return {Ok, {}, "{}"};
        } catch (const std::exception &failure) {
            return {BadRequest, {}, std::string("{\"problem\":\"") + failure.what() + "\"}"};
        }
    }

    void setFaults(const PlatformFaults &faults)
    {
        if (faults.freezesReads_ && !frozen_) {
            frozen_ = content_.rows();
            frozenVersion_ = content_.version();
        }
        if (!faults.freezesReads_)
            frozen_.reset();
        faults_ = faults;
        if (!faults_.isSilent_) {
            for (const auto &respond : std::exchange(held_, {}))
                respond(std::nullopt);
        }
    }

    void setVms(std::vector<VmRecord> vms)
    {
        // The first list is there from the start.
        if (lists_.size() == 1 && lists_.front().vms_.empty())
            lists_.front().vms_ = std::move(vms);
        else
            lists_.push_back({clock_.now(), std::move(vms)});
    }

    void setVmStatus(const VmRecord &change)
    {
        auto vms = lists_.back().vms_;
        const auto found = std::find_if(vms.begin(), vms.end(),
                                        [&](const VmRecord &vm) { return vm.id_ == change.id_; });
        if (found == vms.end())
            throw std::invalid_argument("no such VM");
        found->status_ = change.status_;
        setVms(std::move(vms));
    }

    HttpResponse countThrottled()
    {
        ++counters_.throttled_;
        return throttled();
    }

    [[nodiscard]] const Rows &readableRows() const { return frozen_ ? *frozen_ : content_.rows(); }

    PlatformSettings settings_;
    net::AsioClock clock_;
    FakePlatform content_;
    RateLimit writeLimit_;
    RateLimit readLimit_;
    PlatformFaults faults_;
    PlatformCounters counters_;
    std::uint32_t transfers_ = 0;
    std::optional<Rows> frozen_;
    RowVersion frozenVersion_;
    std::vector<ListedVms> lists_;
    std::vector<Respond> held_;
    std::optional<HttpListener> listener_;
};

PlatformStandin::PlatformStandin(boost::asio::io_context &context, PlatformSettings settings)
    : impl_(std::make_shared<Impl>(context, std::move(settings)))
{
    impl_->listen(context);
}

PlatformStandin::~PlatformStandin() = default;

Address PlatformStandin::address() const
{
    return impl_->listener_->address();
}

const FakePlatform &PlatformStandin::content() const
{
    return impl_->content_;
}

PlatformCounters PlatformStandin::counters() const
{
    return impl_->counters_;
}

void PlatformStandin::setFaults(const PlatformFaults &faults)
{
    impl_->setFaults(faults);
}

void PlatformStandin::setVms(std::vector<VmRecord> vms)
{
    impl_->setVms(std::move(vms));
}

bool PlatformStandin::setVms(std::string_view text)
{
    try {
        impl_->setVms(decodeVms(text));
        return true;
    } catch (const std::exception &) {
        return false;
    }
}

} // namespace cardamombay::support
