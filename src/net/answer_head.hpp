/// \file
/// \brief What the HTTP clients share in reading the head of an answer.
#pragma once

#include "net/head_buffer.hpp"

#include <cardamombay/net/answer_defect.hpp>
#include <cardamombay/net/http_client.hpp>

#include <boost/beast/http/error.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace cardamombay::net::impl {

/// \brief True if the body ends with the connection.
template<typename Parser>
bool isUnframed(const Parser &parser)
{
    return !parser.chunked() && !parser.content_length() && !parser.is_done();
}

/// \param parser has read the head.
/// \returns the head, with an empty body.
template<typename Parser>
HttpResponse headOf(const Parser &parser)
{
    const auto &message = parser.get();
    HttpResponse head;
    head.status_ = message.result_int();
    head.endsWithConnection_ = isUnframed(parser);
    for (const auto &field : message)
        head.fields_.push_back({std::string(field.name_string()), std::string(field.value())});
    return head;
}

/// \brief A head that was read, and why it is not that of an answer, if so.
struct ReceivedHead
{
    HttpResponse head_;
    std::optional<AnswerDefect> defect_;
};

/// \param parser has read the head out of \p buffer.
/// \param acceptedCodings the request's Accept-Encoding; empty if it has none.
template<typename Parser>
ReceivedHead takeHead(const Parser &parser, HeadBuffer &buffer, std::string_view acceptedCodings)
{
    ReceivedHead received{headOf(parser), std::nullopt};
    received.defect_
        = defectOf(received.head_, {buffer.endHead(), !parser.is_done(), acceptedCodings});
    return received;
}

/// \param error from reading an answer.
/// \returns the defect if the parser has refused what was received; nothing if the connection
/// ended or broke.
inline std::optional<AnswerDefect> defectOf(const boost::system::error_code &error)
{
    namespace http = boost::beast::http;
    const bool isOfParser
        = error.category() == http::make_error_code(http::error::bad_status).category();
    if (!isOfParser || error == http::error::end_of_stream || error == http::error::partial_message)
        return std::nullopt;
    return AnswerDefect::Syntax;
}

} // namespace cardamombay::net::impl
