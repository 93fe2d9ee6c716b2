/// \file
/// \brief Remembers which refused callers may come back, and when.
/// \details Kept by the owner of a request's fingerprint. A right can be used once, from shortly
/// before its time until some time after it. State lives in the process only: a lost owner's
/// promises are void.
#pragma once

#include <cardamombay/overload/admission_figures.hpp>
#include <cardamombay/overload/return_schedule.hpp>

#include <cstddef>
#include <set>
#include <unordered_map>
#include <utility>

namespace cardamombay::overload {

/// A right begins this long before the time told, as the caller's timer and network may be faster
/// than the message to the owner.
inline constexpr Duration returnLead = std::chrono::milliseconds(50);
/// A right ends this long after the time told. It covers a new connection and one lost packet that
/// is sent again after a second.
inline constexpr Duration returnValidity = std::chrono::milliseconds(1500);
/// Rights that one entry VM keeps at most. At 4 times the capacity of the largest known fleet, 7
/// entry VMs would own a few thousand each; the limit bounds the memory that forged ones can use to
/// a few megabytes.
inline constexpr std::size_t maxPromises = 16384;

/// Work of a promise in seconds: more than any request has, and less. The upper bound limits the
/// effect of a single implausible promise on the return times of all callers; the lower one keeps
/// sums in whole nanoseconds above 0.
inline constexpr double maxPromisedWork = 60;
inline constexpr double minPromisedWork = 1e-6;

/// \brief Right of a refused caller to be admitted when it comes back.
struct ReturnPromise
{
    std::uint64_t request_ = 0; ///< Fingerprint, the same for each attempt of the caller.
    ModelName model_;
    Rank rank_ = 0;
    double work_ = 0; ///< Seconds of a full group's time.
    TimePoint from_{};
    TimePoint until_{};

    friend bool operator==(const ReturnPromise &, const ReturnPromise &) = default;
};

/// \brief Right of a caller that was told to come back.
/// \param request fingerprint of the request.
/// \param refused what was refused.
/// \param told answer to the caller; it must be promised.
/// \param now when the caller is told.
[[nodiscard]] ReturnPromise promiseOf(std::uint64_t request, const ModelName &model,
                                      const RefusedRequest &refused, const ReturnTime &told,
                                      TimePoint now);

/// \brief True if the figures of \p promise are in the range of those that promiseOf() gives.
[[nodiscard]] bool isPlausible(const ReturnPromise &promise);

/// \brief Rights that have not been used. Not thread-safe.
class ReturnRegister
{
public:
    /// \brief Adds a right; a second one for the same request replaces the first.
    /// \returns false if it was not added, as the register is full, the right has lapsed or it is
    /// not plausible; an earlier right of the request then stays.
    bool add(const ReturnPromise &promise, TimePoint now);

    /// \brief Uses up the right of \p request.
    /// \returns false if there is none at this time; an early claim leaves it in place.
    [[nodiscard]] bool claim(std::uint64_t request, TimePoint now);

    /// \brief Drops rights whose time is over.
    /// \returns how many.
    std::size_t expire(TimePoint now);

    /// \brief Work of the unused rights by model, in seconds; carried by digests.
    [[nodiscard]] std::map<ModelName, double> promisedWork() const;

    [[nodiscard]] std::size_t size() const { return promises_.size(); }

private:
    /// The sum is exact in whole nanoseconds, so that it is zero once all rights are used.
    struct Total
    {
        std::size_t count_ = 0;
        Duration work_{};
    };
    using Promises = std::unordered_map<std::uint64_t, ReturnPromise>;

    void remove(Promises::iterator place);

    Promises promises_;
    std::set<std::pair<TimePoint, std::uint64_t>> byEnd_; ///< End and request of each right.
    std::map<ModelName, Total> totals_;
};

} // namespace cardamombay::overload
