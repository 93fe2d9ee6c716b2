/// \file
/// \brief Bounds the memory that an entry VM uses for incomplete answers of endpoints.
/// \details Counts the bytes of answers that are sent to callers as a whole, and of stream events
/// whose end has not arrived. Guards the promise that no endpoint ends the process by what it
/// sends. Performs no I/O; sessions give up the attempts whose answers do not fit.
#pragma once

#include <cardamombay/serving/gateway_metrics.hpp>

#include <cstddef>

namespace cardamombay::serving {

/// \brief Decides which answers may grow. Use on the gateway's thread only.
class AnswerBuffers
{
public:
    AnswerBuffers() = default;
    AnswerBuffers(const AnswerBuffers &) = delete;
    AnswerBuffers &operator=(const AnswerBuffers &) = delete;
    virtual ~AnswerBuffers() = default;

    /// \brief True if an answer that holds \p before bytes may hold \p after bytes.
    [[nodiscard]] virtual bool mayResize(std::size_t before, std::size_t after) const = 0;
    /// \brief Changes the bytes of an answer from \p before to \p after.
    virtual void resize(std::size_t before, std::size_t after) = 0;
};

/// \brief The bytes of one answer, which count until destruction.
class AnswerShare
{
public:
    /// \param buffers must outlive the share.
    explicit AnswerShare(AnswerBuffers &buffers)
        : buffers_(buffers)
    {
    }
    ~AnswerShare() { buffers_.resize(held_, 0); }
    AnswerShare(const AnswerShare &) = delete;
    AnswerShare &operator=(const AnswerShare &) = delete;

    /// \brief Sets the number of bytes that the answer holds.
    /// \returns false, without a change, if it may not grow to that.
    [[nodiscard]] bool set(std::size_t bytes);

private:
    AnswerBuffers &buffers_;
    std::size_t held_ = 0;
};

/// \brief Lets an answer grow to at most as many bytes as are then still free.
/// \details Some of the bound thus stays free for other answers, however many grow without end.
/// Small answers always fit; the number of requests bounds their sum.
class BoundedAnswerBuffers final : public AnswerBuffers
{
public:
    /// In bytes, for a machine whose memory is not set.
    static constexpr std::size_t defaultBound = std::size_t{32} * 1024 * 1024;
    /// Part of a machine's memory that incomplete answers may use.
    static constexpr double memoryShare = 1.0 / 16;
    /// Answers up to this size always fit, in bytes.
    static constexpr std::size_t smallAnswer = std::size_t{32} * 1024;

    /// \param bound in bytes.
    /// \param metrics must outlive the object.
    BoundedAnswerBuffers(std::size_t bound, GatewayMetrics &metrics);

    /// \brief Changes the bound, in bytes.
    void setBound(std::size_t bound) { bound_ = bound; }

    [[nodiscard]] bool mayResize(std::size_t before, std::size_t after) const override;
    void resize(std::size_t before, std::size_t after) override;

private:
    std::size_t bound_;
    GatewayMetrics &metrics_;
    std::size_t held_ = 0; ///< Bytes of all answers.
};

} // namespace cardamombay::serving
