/// \file
/// \brief How much an entry VM may send for others without holding up its callers.
#pragma once

#include <cardamombay/core/time.hpp>

#include <algorithm>
#include <cstddef>

namespace cardamombay::serving {

/// \brief Bytes that may be sent now; a token bucket that holds one second's worth.
class SendBudget
{
public:
    explicit SendBudget(double bytesPerSecond)
        : bytesPerSecond_(bytesPerSecond)
    {
    }

    /// \brief Takes \p bytes.
    /// \returns false if they are not left; what was not sent is asked for again.
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
