/// \file
/// \brief Delivers a stream to its caller over one or more attempts, each token exactly once.
/// \details Decides which events are passed on and how a stream continues after an attempt failed.
/// A stream is complete only once its end marker was received.
#pragma once

#include <cardamombay/core/ids.hpp>
#include <cardamombay/endpoint/endpoint_state.hpp>

#include <cstdint>

namespace cardamombay::outcomes {

/// \brief How to handle a stream event.
enum class Acceptance {
    Deliver,
    Duplicate, ///< Already passed on; drop it.
    Gap,       ///< Earlier events are missing; the attempt has failed.
    Foreign    ///< From another attempt, or after the end; drop it.
};

/// \brief How a stream continues after its attempt failed.
enum class Continuation {
    Resume,  ///< On the candidate, after the last token that was passed on.
    Restart, ///< From the beginning; the caller has received no token.
    Fail     ///< Cannot continue; report an error to the caller.
};

/// \brief Properties of a request that determine whether its stream can continue elsewhere.
struct StreamTraits
{
    bool isIdempotent_ = true;
    endpoint::ModelSpec model_; ///< The model that the stream started on.
    bool hasSeed_ = false;      ///< The sampling seed is fixed, by the caller or by the entry VM.
};

/// \brief Position of one caller's stream.
/// \code
/// StreamContinuity stream({.isIdempotent_ = true, .model_ = model, .hasSeed_ = true});
/// stream.begin(first);
/// stream.accept(first, 0);                                 // Deliver
/// stream.continuation(model, false);                       // Resume
/// stream.begin(second);                                    // requested with resume_from 1
/// stream.accept(second, 1);                                // Deliver
/// stream.end(second);                                      // true: the stream is complete
/// \endcode
class StreamContinuity
{
public:
    explicit StreamContinuity(StreamTraits traits);

    /// \brief Makes \p attempt the current one; events of earlier attempts are foreign from now on.
    /// \details Its first event must have the index nextIndex().
    void begin(const AttemptId &attempt);

    /// \brief Decides how to handle the event with number \p index of \p attempt.
    [[nodiscard]] Acceptance accept(const AttemptId &attempt, std::uint64_t index);

    /// \brief Handles the end marker of \p attempt.
    /// \returns true if the stream is now complete; false if the marker is not accepted.
    [[nodiscard]] bool end(const AttemptId &attempt);

    /// \brief Number of tokens passed on; sent as resume_from by a resumed attempt.
    [[nodiscard]] std::uint64_t nextIndex() const { return nextIndex_; }

    /// \brief Returns true once the end marker was accepted.
    [[nodiscard]] bool isWhole() const { return isWhole_; }

    /// \brief Decides how the stream can continue on a group that serves \p candidate.
    /// \param candidate the model that the group serves.
    /// \param wasNotRun true if the outcome of the failed attempt was not-run.
    [[nodiscard]] Continuation continuation(const endpoint::ModelSpec &candidate,
                                            bool wasNotRun) const;

private:
    StreamTraits traits_;
    AttemptId attempt_;
    std::uint64_t nextIndex_ = 0;
    bool isWhole_ = false;
    bool isBroken_ = false; ///< The current attempt has a gap.
};

} // namespace cardamombay::outcomes
