/// \file
/// \brief Receive buffer of the HTTP clients.
#pragma once

#include <boost/beast/core/flat_buffer.hpp>

#include <cstddef>
#include <string_view>

namespace cardamombay::net::impl {

/// \brief Buffer that measures the head that a parser takes out of it, and finds folded fields.
/// \details The parser appends a line that begins with a blank to the field before it, and so
/// hides fields that the endpoint meant, such as a length, from everything that follows.
class HeadBuffer : public boost::beast::flat_buffer
{
public:
    using basic_flat_buffer::basic_flat_buffer;

    /// \brief What is consumed from now on is a head.
    void beginHead()
    {
        isInHead_ = true;
        isFolded_ = false;
        headBytes_ = 0;
    }

    /// \brief The head was consumed.
    /// \returns whether a field of it was folded (RFC 9112, 5.2).
    bool endHead()
    {
        isInHead_ = false;
        return isFolded_;
    }

    /// \brief Bytes of the last head.
    [[nodiscard]] std::size_t headBytes() const { return headBytes_; }

    /// \brief Drops \p size bytes; the parser consumes a field with all of its lines.
    void consume(std::size_t size)
    {
        if (isInHead_) {
            headBytes_ += size;
            isFolded_
                = isFolded_ || hasFoldedLine({static_cast<const char *>(data().data()), size});
        }
        basic_flat_buffer::consume(size);
    }

private:
    static bool hasFoldedLine(std::string_view lines)
    {
        return lines.find("\n ") != std::string_view::npos
               || lines.find("\n\t") != std::string_view::npos;
    }

    bool isInHead_ = false;
    bool isFolded_ = false;
    std::size_t headBytes_ = 0;
};

} // namespace cardamombay::net::impl
