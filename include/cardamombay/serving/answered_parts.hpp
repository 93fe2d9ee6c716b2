/// \file
/// \brief Remembers the parts of prompts on which endpoints have written answers.
#pragma once

#include <cardamombay/core/time.hpp>
#include <cardamombay/serving/request_fingerprint.hpp>

#include <cstddef>
#include <span>
#include <unordered_map>

namespace cardamombay::serving {

/// \brief Parts that were answered here lately, in bounded memory. Not thread-safe.
class AnsweredParts
{
public:
    /// \brief Time for which an answer on a part is remembered.
    static constexpr Duration lifetime = std::chrono::minutes(10);

    /// \brief Records that an endpoint has written an answer on a prompt with \p parts.
    void add(std::span<const RequestFingerprint> parts, TimePoint now);
    /// \brief True if \p part was answered within its lifetime.
    [[nodiscard]] bool contains(const RequestFingerprint &part, TimePoint now) const;
    /// \brief Share of the answers on prompts with parts that had \p part, from 0 to 1.
    [[nodiscard]] double shareOf(const RequestFingerprint &part) const;

private:
    struct Answers
    {
        TimePoint lastAt_{};
        std::size_t count_ = 0;
    };
    struct Generation
    {
        std::unordered_map<RequestFingerprint, Answers> parts_;
        std::size_t answers_ = 0; ///< With any parts.
    };

    /// Parts move to the older generation when the recent one is full; those that are not answered
    /// again until the next time are forgotten.
    Generation recent_;
    Generation older_;
};

} // namespace cardamombay::serving
