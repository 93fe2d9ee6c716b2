#include <cardamombay/serving/poison_pills.hpp>

#include <algorithm>
#include <utility>

namespace cardamombay::serving {

namespace {

/// Weight of an end at which the endpoint had not begun to answer the request: a poison pill ends
/// an endpoint as it begins to run.
constexpr std::size_t beginningWeight = 2;
/// Weight of an end in the middle of the answer. Long answers are there at many ends without fault;
/// a caller's request is sent to about four endpoints at most, so it never comes to a verdict by
/// these alone, while one that comes again and again does.
constexpr std::size_t answeringWeight = 1;
/// A verdict: three ends at the beginning, or six in the middle. Two are not enough: where a
/// seventh of the engines crash at once, requests that were moved once meet a second end by chance.
constexpr std::size_t verdictWeight = 6;

/// Evidence is kept as long as the first verdict that may come of it.
constexpr Duration evidenceLifetime = PoisonPills::firstQuarantine;

/// Doublings of the quarantine; ten minutes become a day.
constexpr std::size_t mostDoublings = 7;

/// A peer tells how long a quarantine lasts from when it was told; only more than that is a new
/// one. Otherwise two entry VMs would prolong it by a datagram's way again and again.
constexpr Duration retoldWithin = std::chrono::seconds(60);

/// Not worth taking over: entry VMs end a quarantine at slightly different times.
constexpr Duration leastLeft = std::chrono::seconds(5);
/// A peer that was cut off when a request was cleared still tells of its quarantine meanwhile.
constexpr Duration clearedFor = std::chrono::seconds(30);
/// Ends that are remembered as ignored; those of one trouble, since news of them come within
/// seconds.
constexpr std::size_t mostIgnored = 32;

/// A request that was served so lately at any entry VM is no poison pill. What is under way at
/// three endpoints at once, for two seconds each, is served more than once a second by the fleet.
constexpr Duration servedLately = std::chrono::seconds(10);
/// Requests served in that time that are remembered; some 40 bytes each.
constexpr std::size_t mostServed = 8192;

/// Crashes and clearings are told in seven digests, on up to three hops each.
constexpr Duration toldFor = std::chrono::milliseconds(700);
/// Requests of one end that are told; one batch. A message with all of six ends is 3 KB.
constexpr std::size_t mostRequests = 24;
/// Ends that one entry VM tells of at once; more are no work of one request. Bounds its messages
/// where a whole fabric domain fails.
constexpr std::size_t mostToldCrashes = 24;
/// Verdicts in one digest, 30 bytes each; all of a hundred are told within three seconds.
constexpr std::size_t mostVerdicts = 4;

/// Suspects that are remembered; a record takes some 200 bytes, so about 1 MB.
constexpr std::size_t mostRecords = 4096;

std::size_t weightOf(const std::map<EndpointIncarnation, bool> &crashes)
{
    std::size_t result = 0;
    for (const auto &[endpoint, hadEvents] : crashes)
        result += hadEvents ? answeringWeight : beginningWeight;
    return result;
}

/// Those that had no event first, since they are more likely the cause.
std::vector<RequestAtCrash> likeliest(std::vector<RequestAtCrash> requests)
{
    std::stable_partition(requests.begin(), requests.end(),
                          [](const RequestAtCrash &one) { return !one.hadEvents_; });
    if (requests.size() > mostRequests)
        requests.resize(mostRequests);
    return requests;
}

template<typename Values>
bool contains(const Values &values, const typename Values::value_type &value)
{
    return std::find(values.begin(), values.end(), value) != values.end();
}

} // namespace

bool PoisonNews::isEmpty() const
{
    return crashes_.empty() && verdicts_.empty() && cleared_.empty();
}

void mergeUpdates(PoisonNews &into, const PoisonNews &from)
{
    for (const auto &[endpoint, requests] : from.crashes_) {
        auto &known = into.crashes_[endpoint];
        for (const auto &request : requests) {
            if (!contains(known, request))
                known.push_back(request);
        }
    }
    for (const auto &verdict : from.verdicts_) {
        const bool isKnown
            = std::any_of(into.verdicts_.begin(), into.verdicts_.end(),
                          [&](const auto &one) { return one.request_ == verdict.request_; });
        if (!isKnown)
            into.verdicts_.push_back(verdict);
    }
    for (const auto &request : from.cleared_) {
        if (!contains(into.cleared_, request))
            into.cleared_.push_back(request);
    }
}

void PoisonPills::endpointCrashed(const EndpointCrash &crash, TimePoint now)
{
    const EndpointCrash told{crash.endpoint_, likeliest(crash.requests_)};
    ownCrashes_.push_back({told, now});
    if (ownCrashes_.size() > mostToldCrashes)
        ownCrashes_.erase(ownCrashes_.begin());
    for (const auto &request : told.requests_)
        note(told.endpoint_, request, now);
}

bool PoisonPills::wasServedLately(const RequestFingerprint &request, TimePoint now) const
{
    const auto found = servedAt_.find(request);
    return found != servedAt_.end() && now - found->second <= servedLately;
}

/// Tells the others that the request was served here, once in a while.
void PoisonPills::tellCleared(const RequestFingerprint &request, TimePoint now)
{
    const bool isTold = std::any_of(ownCleared_.begin(), ownCleared_.end(),
                                    [&](const auto &one) { return one.value_ == request; });
    if (!isTold)
        ownCleared_.push_back({request, now});
}

void PoisonPills::note(const EndpointIncarnation &endpoint, const RequestAtCrash &request,
                       TimePoint now)
{
    if (wasServedLately(request.fingerprint_, now)) {
        tellCleared(request.fingerprint_, now);
        return;
    }
    if (!records_.contains(request.fingerprint_))
        makeRoom();
    auto &record = records_[request.fingerprint_];
    if (contains(record.ignored_, endpoint))
        return;
    const auto [place, isNew] = record.crashes_.try_emplace(endpoint, request.hadEvents_);
    const bool isStronger = place->second && !request.hadEvents_;
    if (!isNew && !isStronger)
        return;
    place->second = request.hadEvents_;
    record.seenAt_ = now;
    if (weightOf(record.crashes_) >= verdictWeight && now >= record.until_) {
        const auto doublings = std::min(record.verdicts_, mostDoublings);
        quarantine(request.fingerprint_, record, firstQuarantine * (1 << doublings), now);
    }
}

void PoisonPills::quarantine(const RequestFingerprint &request, Record &record, Duration time,
                             TimePoint now)
{
    record.until_ = now + time;
    record.seenAt_ = now;
    ++record.verdicts_;
    if (quarantined_)
        quarantined_({request, time});
}

void PoisonPills::served(const RequestFingerprint &request, TimePoint now)
{
    if (servedAt_.size() >= mostServed)
        servedAt_.clear();
    servedAt_.insert_or_assign(request, now);
    if (clear(request, now, false))
        tellCleared(request, now);
}

/// Ends that it was told of count no more; those of later ends do. One that was already under way
/// when it was quarantined may still be served by the last endpoint that it reached.
bool PoisonPills::clear(const RequestFingerprint &request, TimePoint now, bool isLifted)
{
    const auto found = records_.find(request);
    const bool isKnown = found != records_.end()
                         && (!found->second.crashes_.empty() || now < found->second.until_);
    if (!isKnown)
        return false;
    auto &record = found->second;
    for (const auto &[endpoint, hadEvents] : record.crashes_)
        record.ignored_.push_back(endpoint);
    if (record.ignored_.size() > mostIgnored)
        record.ignored_.erase(record.ignored_.begin(), record.ignored_.end() - mostIgnored);
    record.crashes_.clear();
    record.until_ = {};
    record.verdicts_ = 0;
    record.clearedAt_ = now;
    if (isLifted)
        ownCleared_.push_back({request, now});
    return true;
}

void PoisonPills::take(const PoisonNews &news, TimePoint now)
{
    for (const auto &[endpoint, requests] : news.crashes_) {
        for (const auto &request : requests)
            note(endpoint, request, now);
    }
    for (const auto &verdict : news.verdicts_)
        takeVerdict(verdict, now);
    for (const auto &request : news.cleared_)
        (void)clear(request, now, false);
}

void PoisonPills::takeVerdict(const PoisonVerdict &verdict, TimePoint now)
{
    if (wasServedLately(verdict.request_, now)) {
        tellCleared(verdict.request_, now);
        return;
    }
    if (const auto known = quarantinedFor(verdict.request_, now)) {
        if (verdict.left_ <= *known + retoldWithin)
            return;
    } else if (verdict.left_ < leastLeft) {
        return;
    }
    if (!records_.contains(verdict.request_))
        makeRoom();
    auto &record = records_[verdict.request_];
    const bool isCleared = record.clearedAt_ != TimePoint{} && now - record.clearedAt_ < clearedFor;
    if (!isCleared)
        quarantine(verdict.request_, record, verdict.left_, now);
}

void PoisonPills::restore(const RequestFingerprint &request, TimePoint now)
{
    if (!quarantinedFor(request, now))
        quarantine(request, records_[request], firstQuarantine, now);
}

/// A flood of requests with contents of their own must not take the memory: the suspect that was
/// seen least lately goes, a verdict never.
void PoisonPills::makeRoom()
{
    if (records_.size() < mostRecords)
        return;
    const auto oldest
        = std::min_element(records_.begin(), records_.end(), [](auto &left, auto &right) {
              return std::pair(left.second.until_, left.second.seenAt_)
                     < std::pair(right.second.until_, right.second.seenAt_);
          });
    records_.erase(oldest);
}

/// A quarantine that is over leaves the request one end short of the next verdict, for as long as
/// it lasted at least.
void PoisonPills::expire(TimePoint now)
{
    std::erase_if(records_, [now](const auto &one) {
        const auto &record = one.second;
        const auto memory = std::max(evidenceLifetime, record.until_ - record.seenAt_);
        return now >= record.until_ && now - std::max(record.seenAt_, record.until_) > memory;
    });
    for (auto &[request, record] : records_) {
        const bool isOver = record.until_ != TimePoint{} && now >= record.until_;
        while (isOver && weightOf(record.crashes_) >= verdictWeight)
            record.crashes_.erase(record.crashes_.begin());
    }
    std::erase_if(servedAt_, [now](const auto &one) { return now - one.second > servedLately; });
    const auto isOld = [now](const auto &one) { return now - one.at_ > toldFor; };
    std::erase_if(ownCrashes_, isOld);
    std::erase_if(ownCleared_, isOld);
}

std::optional<Duration> PoisonPills::quarantinedFor(const RequestFingerprint &request,
                                                    TimePoint now) const
{
    const auto found = records_.find(request);
    if (found == records_.end() || now >= found->second.until_)
        return std::nullopt;
    return found->second.until_ - now;
}

bool PoisonPills::isSuspect(const RequestFingerprint &request) const
{
    const auto found = records_.find(request);
    return found != records_.end() && !found->second.crashes_.empty();
}

std::map<RequestFingerprint, std::vector<EndpointIncarnation>>
PoisonPills::quarantined(TimePoint now) const
{
    std::map<RequestFingerprint, std::vector<EndpointIncarnation>> result;
    for (const auto &[request, record] : records_) {
        if (now >= record.until_)
            continue;
        auto &endpoints = result[request];
        for (const auto &[endpoint, hadEvents] : record.crashes_)
            endpoints.push_back(endpoint);
    }
    return result;
}

PoisonNews PoisonPills::news(TimePoint now)
{
    PoisonNews result;
    for (const auto &crash : ownCrashes_) {
        if (now - crash.at_ <= toldFor)
            result.crashes_[crash.value_.endpoint_].insert(
                result.crashes_[crash.value_.endpoint_].end(), crash.value_.requests_.begin(),
                crash.value_.requests_.end());
    }
    for (const auto &cleared : ownCleared_) {
        if (now - cleared.at_ <= toldFor)
            result.cleared_.push_back(cleared.value_);
    }
    std::vector<PoisonVerdict> inForce;
    for (const auto &[request, record] : records_) {
        if (now < record.until_)
            inForce.push_back({request, record.until_ - now});
    }
    const auto next = std::find_if(inForce.begin(), inForce.end(), [this](const auto &one) {
        return !lastTold_ || one.request_ > *lastTold_;
    });
    std::rotate(inForce.begin(), next, inForce.end());
    if (inForce.size() > mostVerdicts)
        inForce.resize(mostVerdicts);
    if (!inForce.empty())
        lastTold_ = inForce.back().request_;
    result.verdicts_ = std::move(inForce);
    return result;
}

} // namespace cardamombay::serving
