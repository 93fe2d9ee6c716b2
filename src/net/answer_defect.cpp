#include <cardamombay/net/answer_defect.hpp>

#include "net/field_syntax.hpp"

#include <cardamombay/net/http_client.hpp>

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
    case AnswerDefect::Reset:
        return {"reset", "the connection was reset before the end of the answer"};
    }
    return {};
}

bool isWellFormed(const HttpField &field)
{
    return impl::isToken(field.name_) && !impl::hasControlCharacter(field.value_);
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

std::optional<AnswerDefect> defectOf(const HttpResponse &head, bool isFolded)
{
    if (head.status_ < minStatus || head.status_ > maxStatus || head.status_ == switchingProtocols)
        return AnswerDefect::Status;
    if (isFolded)
        return AnswerDefect::Folding;
    if (!std::all_of(head.fields_.begin(), head.fields_.end(), isWellFormed))
        return AnswerDefect::Field;
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
