/// \file
/// \brief A caller's stream over one or more attempts: each token once, none missing.
/// \details Decides which events are passed on and how a stream goes on after its attempt failed.
/// It guards that a stream is whole only with its end marker.
#pragma once

#include <cardamombay/core/ids.hpp>
#include <cardamombay/endpoint/endpoint_state.hpp>

#include <cstdint>

namespace cardamombay::outcomes {

/// \brief What to do with an event of a stream.
enum class Acceptance {
    Deliver,
    Duplicate, ///< Was passed on already; drop it.
    Gap,       ///< Events before it are missing; the attempt is broken.
    Foreign    ///< Not of the present attempt, or behind the end; drop it.
};

/// \brief How a stream goes on after its attempt failed.
enum class Continuation {
    Resume,  ///< On the candidate, behind the last token that was passed on.
    Restart, ///< From the beginning; the caller has received nothing.
    Fail     ///< Not possible; tell the caller.
};

/// \brief What of a request decides whether its stream may go on elsewhere.
struct StreamTraits
{
    bool isIdempotent_ = true;
    endpoint::ModelSpec model_; ///< The model the stream began with.
    bool hasSeed_ = false;      ///< The sampling seed is fixed, by the caller or by the entry VM.
};

/// \brief Position of one caller's stream.
/// \code
/// StreamContinuity stream({.isIdempotent_ = true, .model_ = model, .hasSeed_ = true});
/// stream.begin(first);
/// stream.accept(first, 0);                                 // Deliver
/// stream.continuation(model, false);                       // Resume
/// stream.begin(second);                                    // asks for resume_from 1
/// stream.accept(second, 1);                                // Deliver
/// stream.end(second);                                      // true: the stream is whole
/// \endcode
class StreamContinuity
{
public:
    explicit StreamContinuity(StreamTraits traits);

    /// \brief Makes \p attempt the present one; events of earlier ones are foreign from now on.
    /// \details Its first event is expected at nextIndex().
    void begin(const AttemptId &attempt);

    /// \brief Judges the event number \p index of \p attempt.
    [[nodiscard]] Acceptance accept(const AttemptId &attempt, std::uint64_t index);

    /// \brief Takes the end marker of \p attempt.
    /// \returns true if the stream is now whole; false if the marker is foreign.
    [[nodiscard]] bool end(const AttemptId &attempt);

    /// \brief Number of tokens passed on; what a resumed attempt asks for as resume_from.
    [[nodiscard]] std::uint64_t nextIndex() const { return nextIndex_; }

    /// \brief True once the end marker was taken.
    [[nodiscard]] bool isWhole() const { return isWhole_; }

    /// \brief How the stream can go on at a group that serves \p candidate.
    /// \param candidate the model there.
    /// \param hasRunNothing the failed attempt's outcome was not-run.
    [[nodiscard]] Continuation continuation(const endpoint::ModelSpec &candidate,
                                            bool hasRunNothing) const;

private:
    StreamTraits traits_;
    AttemptId attempt_;
    std::uint64_t nextIndex_ = 0;
    bool isWhole_ = false;
    bool isBroken_ = false; ///< The present attempt has a gap.
};

} // namespace cardamombay::outcomes
