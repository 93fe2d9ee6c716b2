/// \file
/// \brief Bounds the memory that callers' connections use for what they receive.
/// \details Counts, for each connection: its own fixed cost, the body that it has received and that
/// is still needed, and what its socket may hold unread. Performs no I/O; connections refuse
/// requests and close themselves. Guards the promise that no caller ends the process by what it
/// sends.
#pragma once

#include <cardamombay/core/clock.hpp>
#include <cardamombay/metrics/registry.hpp>

#include <cstddef>
#include <string>
#include <unordered_set>

namespace cardamombay::net {

/// \brief Owner of a share, which may be told to give it back.
class InputHolder
{
public:
    InputHolder() = default;
    InputHolder(const InputHolder &) = delete;
    InputHolder &operator=(const InputHolder &) = delete;
    virtual ~InputHolder() = default;

    /// \brief Refuses the request that is being received, or closes a connection without one. The
    /// bytes are free by the next turn of the event loop.
    virtual void releaseInput() = 0;
};

/// \brief What the bytes of a share are for.
enum class InputUse {
    Idle,      ///< The connection waits for a request.
    Receiving, ///< A request that is not complete and cannot have run.
    Answering, ///< A complete request; never released.
    Closing,   ///< The last answer was given; further input is dropped.
};

/// \brief Bytes of one connection.
struct InputShare
{
    InputHolder *holder_ = nullptr;
    std::string callerIp_;
    InputUse use_ = InputUse::Idle;
    std::size_t bytes_ = 0;
    TimePoint changedAt_{};         ///< Last progress of the request, or the last change of use.
    std::size_t progressBytes_ = 0; ///< Bytes at that time.
};

/// \brief Memory for the input of all connections of a thread; use on that thread only.
class InputBudget
{
public:
    InputBudget() = default;
    InputBudget(const InputBudget &) = delete;
    InputBudget &operator=(const InputBudget &) = delete;
    virtual ~InputBudget() = default;

    /// \brief Adds a share without bytes, which stays at its address until remove().
    virtual void add(InputShare &share) = 0;
    /// \brief Removes a share and its bytes.
    virtual void remove(InputShare &share) = 0;

    /// \brief Changes use and size of a share; others may be released for it.
    /// \returns false if it does not fit: its size is unchanged, and its request is to be refused
    /// or its connection to be closed. A share that is Answering always fits; none is released for
    /// one that is Closing.
    [[nodiscard]] virtual bool update(InputShare &share, InputUse use, std::size_t bytes) = 0;

    /// \brief True if a share could have \p bytes once all that may be released are.
    [[nodiscard]] virtual bool canHold(const InputShare &share, std::size_t bytes) const = 0;
};

/// \brief Metrics of a budget.
struct InputMetrics
{
    explicit InputMetrics(metrics::Registry &registry);

    metrics::Gauge bytes_;       ///< Bytes of all shares.
    metrics::Gauge connections_; ///< Number of shares.
    metrics::Counter refused_;   ///< Requests refused since they did not fit or were released.
    metrics::Counter closed_;    ///< Connections without a request that were closed.
};

/// \brief Releases incomplete requests in favour of others while a bound is reached.
/// \details Large shares may not use the last quarter of the bound, so that ordinary requests find
/// room beside them. Released first are large incomplete requests without progress, by bytes and
/// time; then connections that only drop input or have received nothing for a while; then large
/// requests of which less has been received. A share for which nothing can be released does not
/// grow.
class BoundedInputBudget final : public InputBudget
{
public:
    /// In bytes, for a machine whose memory is not set.
    static constexpr std::size_t defaultBound = std::size_t{96} * 1024 * 1024;
    /// Part of a machine's memory that callers' input may use.
    static constexpr double memoryShare = 3.0 / 8;

    /// \param bound in bytes.
    /// \param metrics must outlive the object; may be null.
    BoundedInputBudget(const Clock &clock, std::size_t bound,
                       const InputMetrics *metrics = nullptr);

    /// \brief Changes the bound, in bytes. Shares above it are released as others grow.
    void setBound(std::size_t bound) { bound_ = bound; }
    /// \brief Largest body that finds room while nothing else is received, in bytes.
    [[nodiscard]] std::size_t largestBody() const;
    /// \brief Bytes of all shares.
    [[nodiscard]] std::size_t bytes() const { return bytes_; }

    void add(InputShare &share) override;
    void remove(InputShare &share) override;
    [[nodiscard]] bool update(InputShare &share, InputUse use, std::size_t bytes) override;
    [[nodiscard]] bool canHold(const InputShare &share, std::size_t bytes) const override;

private:
    [[nodiscard]] std::size_t limitFor(std::size_t bytes) const;
    [[nodiscard]] bool makeRoom(const InputShare &share, std::size_t bytes);
    [[nodiscard]] InputShare *stalledOther(const InputShare &share) const;
    [[nodiscard]] InputShare *silentOther(const InputShare &share) const;
    [[nodiscard]] InputShare *smallerOther(const InputShare &share, std::size_t bytes) const;
    void release(InputShare &share);
    void resize(InputShare &share, InputUse use, std::size_t bytes);
    void recordRelease(const InputShare &share);
    void recordRefusal(const InputShare &share);

    const Clock &clock_;
    std::size_t bound_;
    const InputMetrics *metrics_;
    std::unordered_set<InputShare *> shares_;
    std::size_t bytes_ = 0;
    std::size_t answering_ = 0; ///< Bytes of shares that are never taken back.
    TimePoint loggedAt_ = TimePoint::min();
    std::size_t refusals_ = 0; ///< Since the last log line.
};

} // namespace cardamombay::net
