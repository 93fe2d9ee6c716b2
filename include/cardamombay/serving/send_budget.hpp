/// \file
/// \brief Limits the bandwidth that an entry VM uses on behalf of others, so that its own callers
/// are not delayed.
#pragma once

#include <cardamombay/core/time.hpp>

#include <algorithm>
#include <cstddef>

namespace cardamombay::serving {

/// \brief Token bucket for bytes with a capacity of one second.
class SendBudget
{
public:
    explicit SendBudget(double bytesPerSecond)
        : bytesPerSecond_(bytesPerSecond)
    {
    }

    /// \brief Consumes \p bytes.
    /// \returns false if fewer are available; nothing is consumed then, and the data is requested
    /// again later.
    [[nodiscard]] bool take(std::size_t bytes, TimePoint now)
    {
        left_ = std::min(bytesPerSecond_, left_ + toSeconds(now - takenAt_) * bytesPerSecond_);
        takenAt_ = now;
        if (left_ < static_cast<double>(bytes))
            return false;
        left_ -= static_cast<double>(bytes);
        return true;
    }

private:
    double bytesPerSecond_;
    double left_ = 0;
    TimePoint takenAt_{};
};

} // namespace cardamombay::serving
