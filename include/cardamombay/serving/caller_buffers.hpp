/// \file
/// \brief Bounds the memory that an entry VM uses for callers that do not read their streams.
/// \details Counts the bytes that were received from endpoints and not yet written to callers. Not
/// counted: answers that are sent as a whole, and the receive buffer of each connection to an
/// endpoint, of which there is one whether or not the caller reads. Performs no I/O; sessions pause
/// and resume their reading themselves.
#pragma once

#include <cardamombay/serving/gateway_metrics.hpp>

#include <cstddef>

namespace cardamombay::serving {

/// \brief Decides which streams are read on. Use on the gateway's thread only.
class CallerBuffers
{
public:
    CallerBuffers() = default;
    CallerBuffers(const CallerBuffers &) = delete;
    CallerBuffers &operator=(const CallerBuffers &) = delete;
    virtual ~CallerBuffers() = default;

    /// \brief True if a new stream may be started.
    [[nodiscard]] virtual bool acceptsStreams() const = 0;

    /// \brief True if the endpoint of a stream with \p held buffered bytes may be read.
    [[nodiscard]] virtual bool mayRead(std::size_t held) const = 0;

    /// \brief Adds a stream without buffered bytes.
    virtual void addStream() = 0;
    /// \brief Removes a stream and its \p held buffered bytes.
    virtual void removeStream(std::size_t held) = 0;
    /// \brief Changes the buffered bytes of a stream from \p before to \p after.
    virtual void resize(std::size_t before, std::size_t after) = 0;
};

/// \brief The buffered bytes of one stream, which count from construction to destruction.
/// \code
/// BufferShare share(buffers);
/// share.set(pending.size());
/// if (share.mayRead())
///     call.consume(size);
/// \endcode
class BufferShare
{
public:
    /// \param buffers must outlive the share.
    explicit BufferShare(CallerBuffers &buffers);
    ~BufferShare();
    BufferShare(const BufferShare &) = delete;
    BufferShare &operator=(const BufferShare &) = delete;

    /// \brief Sets the number of bytes that the stream buffers now.
    void set(std::size_t held);
    [[nodiscard]] bool mayRead() const { return buffers_.mayRead(held_); }

private:
    CallerBuffers &buffers_;
    std::size_t held_ = 0;
};

/// \brief Pauses the streams with the most buffered bytes while a bound is exceeded.
/// \details From when the bound is reached until half of it is free, a stream is read only while
/// its buffered bytes are at most an equal part of a small reserve beyond the bound. Streams whose
/// callers read hold next to nothing and go on; streams with more wait for their callers. The
/// buffered bytes thus stay below nine eighths of the bound, plus one read per stream.
class BoundedCallerBuffers final : public CallerBuffers
{
public:
    /// In bytes, for a machine whose memory is not set.
    static constexpr std::size_t defaultBound = std::size_t{32} * 1024 * 1024;
    /// Part of a machine's memory that may be used for callers that do not read.
    static constexpr double memoryShare = 1.0 / 8;

    /// \param bound in bytes.
    /// \param metrics must outlive the object.
    BoundedCallerBuffers(std::size_t bound, GatewayMetrics &metrics);

    /// \brief Changes the bound, in bytes.
    void setBound(std::size_t bound);

    [[nodiscard]] bool acceptsStreams() const override { return !isFull_; }
    [[nodiscard]] bool mayRead(std::size_t held) const override;
    void addStream() override { ++streams_; }
    void removeStream(std::size_t held) override;
    void resize(std::size_t before, std::size_t after) override;

private:
    void update();
    void logChange() const;

    std::size_t bound_;
    GatewayMetrics &metrics_;
    std::size_t held_ = 0; ///< Buffered bytes of all streams.
    std::size_t streams_ = 0;
    bool isFull_ = false;
};

} // namespace cardamombay::serving
