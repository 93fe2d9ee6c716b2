#include <cardamombay/net/answer_defect.hpp>

#include "net/field_syntax.hpp"
#include "net/field_values.hpp"

#include <cardamombay/net/http_client.hpp>

#include <boost/beast/core/string.hpp>

#include <algorithm>
#include <cstdint>

namespace cardamombay::net {

namespace {

constexpr std::uint32_t minStatus = 100;
constexpr std::uint32_t maxStatus = 599;
constexpr std::uint32_t switchingProtocols = 101;
constexpr std::uint32_t minFinalStatus = 200;

struct Words
{
    std::string_view name_;
    std::string_view text_;
};

Words wordsOf(AnswerDefect defect)
{
    switch (defect) {
    case AnswerDefect::Syntax:
        return {"syntax", "the answer is not HTTP"};
    case AnswerDefect::Status:
        return {"status", "the answer's status is not one of HTTP"};
    case AnswerDefect::Field:
        return {"field", "a field of the answer's head is malformed"};
    case AnswerDefect::Folding:
        return {"folding", "a field of the answer's head is folded"};
    case AnswerDefect::TransferCoding:
        return {"transfer-coding", "the answer has another transfer coding than chunked"};
    case AnswerDefect::ContentCoding:
        return {"content-coding", "the answer has a coding that the request does not accept"};
    case AnswerDefect::Reset:
        return {"reset", "the connection was reset before the end of the answer"};
    }
    return {};
}

bool isWellFormed(const HttpField &field)
{
    return impl::isToken(field.name_) && !impl::hasControlCharacter(field.value_);
}

bool hasField(const HttpResponse &head, std::string_view name)
{
    return std::any_of(head.fields_.begin(), head.fields_.end(), [name](const HttpField &field) {
        return boost::beast::iequals(field.name_, name);
    });
}

/// The clients can undo chunks only.
bool hasKnownTransferCoding(const HttpResponse &head)
{
    const auto codings = impl::elementsOf(head.fields_, "Transfer-Encoding");
    if (codings.empty())
        return !hasField(head, "Transfer-Encoding"); // An empty list names no coding either.
    return codings.size() == 1 && boost::beast::iequals(codings.front(), "chunked");
}

bool hasAcceptedContentCodings(const HttpResponse &head, std::string_view accepted)
{
    const auto codings = impl::elementsOf(head.fields_, "Content-Encoding");
    return std::all_of(codings.begin(), codings.end(), [accepted](std::string_view coding) {
        return impl::acceptsCoding(accepted, coding);
    });
}

} // namespace

std::string_view nameOf(AnswerDefect defect)
{
    return wordsOf(defect).name_;
}

std::string_view textOf(AnswerDefect defect)
{
    return wordsOf(defect).text_;
}

std::optional<AnswerDefect> defectOf(const HttpResponse &head, const HeadContext &context)
{
    if (head.status_ < minStatus || head.status_ > maxStatus || head.status_ == switchingProtocols)
        return AnswerDefect::Status;
    if (context.isFolded_)
        return AnswerDefect::Folding;
    if (!std::all_of(head.fields_.begin(), head.fields_.end(), isWellFormed))
        return AnswerDefect::Field;
    if (!hasKnownTransferCoding(head))
        return AnswerDefect::TransferCoding;
    if (context.hasBody_ && !hasAcceptedContentCodings(head, context.acceptedCodings_))
        return AnswerDefect::ContentCoding;
    return std::nullopt;
}

bool isInterim(std::uint32_t status)
{
    return status < minFinalStatus;
}

std::optional<AnswerDefect> defectOfEnd(bool endsWithConnection, bool wasReset)
{
    if (endsWithConnection && wasReset)
        return AnswerDefect::Reset;
    return std::nullopt;
}

} // namespace cardamombay::net
