#include "support/endless_answer.hpp"

#include <stdexcept>

namespace cardamombay::support {

namespace {

constexpr std::size_t pieceBytes = std::size_t{64} * 1024;
constexpr auto restTime = std::chrono::milliseconds(300);

std::string repeated(std::string_view text)
{
    std::string result;
    while (result.size() < pieceBytes)
        result += text;
    return result;
}

std::string head(unsigned status, const std::string &request, const std::string &endpoint,
                 const std::string &fields)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\nX-Request-Id: " + request
           + "\r\nX-Response-Seal: " + endpoint + "\r\n" + fields;
}

/// Counts a connection as long as it lives.
class OpenCount
{
public:
    explicit OpenCount(EndlessAnswers &answers)
        : answers_(answers)
    {
        ++answers_.open_;
        ++answers_.started_;
    }
    ~OpenCount() { --answers_.open_; }
    OpenCount(const OpenCount &) = delete;
    OpenCount &operator=(const OpenCount &) = delete;

private:
    EndlessAnswers &answers_;
};

} // namespace

EndlessAnswer endlessAnswer(std::string_view kind, const std::string &request,
                            const std::string &endpoint)
{
    const std::string filling(pieceBytes, 'x');
    const std::string length = "Content-Length: 1099511627776\r\n\r\n";
    const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";
    const std::string empty = "Content-Length: 0\r\n\r\n";
    const auto own = [&](const std::string &fields, unsigned status = 200) {
        return head(status, request, endpoint, fields);
    };
    const auto foreign
        = [&](const std::string &fields) { return head(200, "another-request", endpoint, fields); };
    if (kind == "head-line")
        return {"HTTP/1.1 200 OK\r\nX-Filling: ", filling, {}};
    if (kind == "head-fields")
        return {"HTTP/1.1 200 OK\r\n", repeated("X-Filling: x\r\n"), {}};
    if (kind == "no-http")
        return {"", filling, {}};
    if (kind == "length")
        return {own(length), filling, {}};
    if (kind == "failure")
        return {own(length, 500), filling, {}};
    if (kind == "chunks")
        return {own(chunked), "10000\r\n" + filling + "\r\n", {}};
    if (kind == "chunk-extension")
        return {own(chunked) + "1;", filling, {}};
    if (kind == "trailers")
        return {own(chunked) + "1\r\nx\r\n0\r\n", repeated("X-Filling: x\r\n"), {}};
    if (kind == "no-length")
        return {own("\r\n"), filling, {}};
    if (kind == "interim")
        return {"", repeated("HTTP/1.1 100 Continue\r\n\r\n"), {}};
    if (kind == "behind")
        return {own(empty), filling, {}};
    if (kind == "resting")
        return {own(empty), filling, restTime};
    if (kind == "foreign-answers")
        return {"", repeated(foreign("Content-Length: 4\r\n\r\nxxxx")), {}};
    if (kind == "foreign-body")
        return {foreign(length), filling, {}};
    if (kind == "event")
        return {own("Content-Type: text/event-stream\r\n" + chunked) + "e\r\nid: 1\ndata: \n\n\r\n",
                "10000\r\n" + filling + "\r\n",
                {}};
    if (kind == "events") {
        const auto events = repeated("id: 1\ndata: x\n\n");
        return {own("Content-Type: text/event-stream\r\n\r\n"), events, {}};
    }
    throw std::invalid_argument("unknown kind of answer");
}

boost::asio::awaitable<void> sendEndlessly(StandinExchange &exchange, EndlessAnswer answer,
                                           EndlessAnswers &answers)
{
    const OpenCount count(answers);
    co_await exchange.writeRaw(answer.first_);
    if (answer.pause_.count() > 0)
        co_await pauseFor(answer.pause_);
    for (;;) {
        co_await exchange.writeRaw(answer.piece_);
        answers.bytes_ += answer.piece_.size();
    }
}

} // namespace cardamombay::support
