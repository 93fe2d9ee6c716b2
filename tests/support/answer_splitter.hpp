/// \file
/// \brief Finds where HTTP responses end in a stream of bytes.
#pragma once

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace cardamombay::support {

/// \brief A run of bytes that belongs to one response.
struct AnswerPart
{
    std::string bytes_;
    bool isFirst_ = false; ///< Begins the response.
    bool isLast_ = false;  ///< Ends the response.
};

/// \brief Cuts a stream at the ends of its responses; bytes that are no HTTP pass as they are.
class AnswerSplitter
{
public:
    /// \brief Takes bytes as they come.
    void add(std::string_view bytes) { pending_ += bytes; }

    /// \brief Next part; nothing until more bytes come.
    [[nodiscard]] std::optional<AnswerPart> next();

private:
    using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

    std::string pending_;
    std::optional<Parser> parser_;
    bool isHttp_ = true;
};

} // namespace cardamombay::support
