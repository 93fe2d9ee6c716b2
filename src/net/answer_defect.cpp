#include <cardamombay/net/answer_defect.hpp>

#include <cardamombay/net/http_client.hpp>

#include <cstdint>

namespace cardamombay::net {

namespace {

constexpr std::uint32_t minStatus = 100;
constexpr std::uint32_t maxStatus = 599;

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
    case AnswerDefect::Reset:
        return {"reset", "the connection was reset before the end of the answer"};
    }
    return {};
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

std::optional<AnswerDefect> defectOf(const HttpResponse &head)
{
    if (head.status_ < minStatus || head.status_ > maxStatus)
        return AnswerDefect::Status;
    return std::nullopt;
}

std::optional<AnswerDefect> defectOfEnd(bool endsWithConnection, bool wasReset)
{
    if (endsWithConnection && wasReset)
        return AnswerDefect::Reset;
    return std::nullopt;
}

} // namespace cardamombay::net
