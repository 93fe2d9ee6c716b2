#include <cardamombay/trace/span_sink.hpp>

#include <fstream>
#include <iostream>
#include <mutex>

namespace cardamombay::trace {

namespace {

/// Writes whole lines, so that lines of several threads do not mix.
class StreamSink final : public SpanSink
{
public:
    explicit StreamSink(std::ostream &out)
        : out_(out)
    {
    }

    void write(std::string_view line) override
    {
        std::string text(line);
        text += '\n';
        const std::lock_guard lock(mutex_);
        out_.write(text.data(), static_cast<std::streamsize>(text.size()));
        out_.flush();
    }

private:
    std::ostream &out_;
    std::mutex mutex_;
};

class FileSink final : public SpanSink
{
public:
    explicit FileSink(const std::string &path)
        : file_(path, std::ios::app)
        , lines_(file_)
    {
    }

    [[nodiscard]] bool isOpen() const { return file_.is_open(); }
    void write(std::string_view line) override { lines_.write(line); }

private:
    std::ofstream file_;
    StreamSink lines_;
};

} // namespace

std::shared_ptr<SpanSink> openSpanSink(const std::string &path)
{
    if (path == "-")
        return std::make_shared<StreamSink>(std::cerr);
    auto sink = std::make_shared<FileSink>(path);
    if (!sink->isOpen())
        return nullptr;
    return sink;
}

} // namespace cardamombay::trace
