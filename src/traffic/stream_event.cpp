#include <traffic/stream_event.hpp>

#include <boost/json.hpp>

#include <array>

namespace cardamombay::traffic::impl {

namespace {

constexpr std::string_view dataName = "data:";
constexpr std::string_view endMarker = "[DONE]";

std::string_view trimmed(std::string_view text)
{
    while (!text.empty() && (text.front() == ' ' || text.front() == '\r'))
        text.remove_prefix(1);
    while (!text.empty() && (text.back() == ' ' || text.back() == '\r'))
        text.remove_suffix(1);
    return text;
}

} // namespace

std::size_t eventLength(std::string_view data)
{
    std::size_t lineStart = 0;
    while (lineStart < data.size()) {
        const auto lineEnd = data.find('\n', lineStart);
        if (lineEnd == std::string_view::npos)
            return 0;
        const auto line = data.substr(lineStart, lineEnd - lineStart);
        lineStart = lineEnd + 1;
        if (line.empty() || line == "\r")
            return lineStart;
    }
    return 0;
}

std::string_view dataOf(std::string_view event)
{
    while (!event.empty()) {
        const auto line = event.substr(0, event.find('\n'));
        if (line.starts_with(dataName))
            return trimmed(line.substr(dataName.size()));
        event.remove_prefix(std::min(event.size(), line.size() + 1));
    }
    return {};
}

bool isEndMarker(std::string_view data)
{
    return data == endMarker;
}

std::optional<TokenEvent> parseTokenEvent(std::string_view data)
{
    std::array<unsigned char, 4096> memory; // NOLINT(*-member-init): scratch space.
    boost::json::monotonic_resource resource(memory.data(), memory.size());
    boost::json::error_code error;
    const auto value = boost::json::parse(data, error, &resource);
    if (error || !value.is_object())
        return std::nullopt;
    const auto *id = value.get_object().if_contains("id");
    const auto *index = value.get_object().if_contains("index");
    if (index == nullptr || !index->is_int64() || index->get_int64() < 0)
        return std::nullopt;
    TokenEvent event;
    event.index_ = static_cast<std::uint64_t>(index->get_int64());
    if (id != nullptr && id->is_string())
        event.attempt_.assign(id->get_string().data(), id->get_string().size());
    return event;
}

} // namespace cardamombay::traffic::impl
