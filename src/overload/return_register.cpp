#include <cardamombay/overload/return_register.hpp>

#include <algorithm>

namespace cardamombay::overload {

bool isPlausible(const ReturnPromise &promise)
{
    return promise.work_ >= minPromisedWork && promise.work_ <= maxPromisedWork
           && promise.rank_ <= maxRank && promise.from_ < promise.until_
           && promise.until_ - promise.from_ <= returnLead + returnValidity;
}

ReturnPromise promiseOf(std::uint64_t request, const ModelName &model,
                        const RefusedRequest &refused, const ReturnTime &told, TimePoint now)
{
    const auto due = now + told.retryAfter_;
    return {request,
            model,
            std::min(refused.rank_, maxRank),
            refused.work_,
            due - returnLead,
            due + returnValidity};
}

bool ReturnRegister::add(const ReturnPromise &promise, TimePoint now)
{
    if (!isPlausible(promise) || promise.until_ < now)
        return false;
    const auto known = promises_.find(promise.request_);
    if (known != promises_.end())
        remove(known);
    else if (promises_.size() >= maxPromises)
        return false;
    promises_.emplace(promise.request_, promise);
    byEnd_.emplace(promise.until_, promise.request_);
    auto &total = totals_[promise.model_];
    ++total.count_;
    total.work_ += fromSeconds(promise.work_);
    return true;
}

bool ReturnRegister::claim(std::uint64_t request, TimePoint now)
{
    const auto found = promises_.find(request);
    if (found == promises_.end() || now < found->second.from_ || now > found->second.until_)
        return false;
    remove(found);
    return true;
}

std::size_t ReturnRegister::expire(TimePoint now)
{
    std::size_t count = 0;
    while (!byEnd_.empty() && byEnd_.begin()->first < now) {
        remove(promises_.find(byEnd_.begin()->second));
        ++count;
    }
    return count;
}

std::map<ModelName, double> ReturnRegister::promisedWork() const
{
    std::map<ModelName, double> result;
    for (const auto &[model, total] : totals_)
        result.emplace(model, toSeconds(total.work_));
    return result;
}

void ReturnRegister::remove(Promises::iterator place)
{
    const auto &promise = place->second;
    byEnd_.erase({promise.until_, promise.request_});
    const auto total = totals_.find(promise.model_);
    total->second.work_ -= fromSeconds(promise.work_);
    if (--total->second.count_ == 0)
        totals_.erase(total);
    promises_.erase(place);
}

} // namespace cardamombay::overload
