/// \file
/// \brief Which bytes of an attempt's event stream go on to the caller.
/// \details Decides event by event; nothing is copied: the result points into the data it was
/// given. Does no input or output. Guards that only whole events of the present attempt, each
/// token once and in order, reach the caller.
#pragma once

#include <cardamombay/core/ids.hpp>
#include <cardamombay/outcomes/attempt.hpp>
#include <cardamombay/outcomes/stream_continuity.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cardamombay::traffic {

/// \brief What to do with data that came.
struct RelayStep
{
    std::size_t consumed_ = 0;            ///< Bytes that are done with.
    std::vector<std::string_view> parts_; ///< Bytes for the caller, in order.
    std::uint32_t tokens_ = 0;            ///< Events among them.
    bool isWhole_ = false;                ///< The end marker came.
    bool isBroken_ = false;               ///< The attempt cannot go on.
};

/// \brief A caller's stream over its attempts.
class StreamRelay
{
public:
    /// \param request named in every event in place of the attempt, so that the caller sees one id.
    /// \param traits decide whether the stream may go on elsewhere.
    StreamRelay(RequestId request, outcomes::StreamTraits traits);

    /// \brief The next data belong to \p attempt.
    void begin(const AttemptId &attempt) { continuity_.begin(attempt); }

    /// \brief Judges \p data, the unconsumed bytes of \p attempt.
    [[nodiscard]] RelayStep take(std::string_view data, outcomes::Attempt &attempt);

    [[nodiscard]] const outcomes::StreamContinuity &continuity() const { return continuity_; }

private:
    void takeEvent(std::string_view event, outcomes::Attempt &attempt, RelayStep &step);
    void deliver(std::string_view event, const AttemptId &attempt, RelayStep &step) const;

    RequestId request_;
    outcomes::StreamContinuity continuity_;
};

} // namespace cardamombay::traffic
