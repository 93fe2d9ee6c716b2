/// \file
/// \brief Remembers which refused callers may come back, and when.
/// \details Kept by the owner of a request's fingerprint. A right can be used once, from shortly
/// before its time until some time after it. State lives in the process only: a lost owner's
/// promises are void.
#pragma once

#include <cardamombay/overload/admission_figures.hpp>

#include <cstddef>
#include <unordered_map>

namespace cardamombay::overload {

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

/// \brief Rights that have not been used. Not thread-safe.
class ReturnRegister
{
public:
    /// \brief Adds a right; a second one for the same request replaces the first.
    /// \returns false if it was not added, as the register is full or the right has lapsed.
    bool add(const ReturnPromise &promise, TimePoint now);

    /// \brief Uses up the right of \p request.
    /// \returns false if there is none at this time; an early claim leaves it in place.
    [[nodiscard]] bool claim(std::uint64_t request, TimePoint now);

    /// \brief Drops rights whose time is over.
    void expire(TimePoint now);

    /// \brief Work of the unused rights by model, in seconds; carried by digests.
    [[nodiscard]] std::map<ModelName, double> promisedWork() const;

    [[nodiscard]] std::size_t size() const { return promises_.size(); }

private:
    std::unordered_map<std::uint64_t, ReturnPromise> promises_;
};

} // namespace cardamombay::overload
