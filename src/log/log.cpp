#include <cardamombay/log/log.hpp>

#include <log4cxx/asyncappender.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/level.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/patternlayout.h>

#include <algorithm>
#include <cstdio>

namespace cardamombay::log {

namespace {

constexpr auto linePattern = "time=%d{yyyy-MM-ddTHH:mm:ss.SSSZ}{GMT} level=%p %m%n";
/// Lines that wait for the reader; about 0.5 MB, a few seconds of an entry VM in trouble.
constexpr int bufferedLines = 2000;

constexpr auto loggerName = "cardamombay";

log4cxx::LevelPtr levelOf(Level level)
{
    switch (level) {
    case Level::Debug:
        return log4cxx::Level::getDebug();
    case Level::Info:
        return log4cxx::Level::getInfo();
    case Level::Warning:
        return log4cxx::Level::getWarn();
    case Level::Error:
        break;
    }
    return log4cxx::Level::getError();
}

log4cxx::LoggerPtr logger()
{
    static const log4cxx::LoggerPtr instance = log4cxx::Logger::getLogger(loggerName);
    return instance;
}

bool needsQuotes(std::string_view value)
{
    if (value.empty())
        return true;
    return std::any_of(value.begin(), value.end(), [](unsigned char c) {
        return c <= ' ' || c == '"' || c == '=' || c == '\\' || c == 0x7f;
    });
}

void appendEscaped(std::string &line, unsigned char c)
{
    if (c == '"' || c == '\\') {
        line += '\\';
        line += static_cast<char>(c);
        return;
    }
    if (c >= ' ' && c != 0x7f) {
        line += static_cast<char>(c);
        return;
    }
    char code[8];
    std::snprintf(code, sizeof code, "\\x%02x", static_cast<unsigned>(c));
    line += code;
}

void appendValue(std::string &line, std::string_view value)
{
    if (!needsQuotes(value)) {
        line += value;
        return;
    }
    line += '"';
    for (const char c : value)
        appendEscaped(line, static_cast<unsigned char>(c));
    line += '"';
}

} // namespace

void configure(Level threshold, Output output)
{
    const auto layout = std::make_shared<log4cxx::PatternLayout>(linePattern);
    const auto target = output == Output::Standard ? log4cxx::ConsoleAppender::getSystemOut()
                                                   : log4cxx::ConsoleAppender::getSystemErr();
    const auto appender = std::make_shared<log4cxx::ConsoleAppender>(layout, target);
    const auto root = log4cxx::Logger::getRootLogger();
    root->removeAllAppenders();
    if (output == Output::Error) {
        root->addAppender(appender);
        root->setLevel(levelOf(threshold));
        return;
    }
    // A reader that stops reading must never stop traffic: lines beyond the buffer are counted and
    // left out, and a line says so.
    const auto queue = std::make_shared<log4cxx::AsyncAppender>();
    queue->setBufferSize(bufferedLines);
    queue->setBlocking(false);
    queue->addAppender(appender);
    root->addAppender(queue);
    root->setLevel(levelOf(threshold));
}

void flush()
{
    log4cxx::LogManager::shutdown();
}

bool isEnabled(Level level)
{
    return logger()->isEnabledFor(levelOf(level));
}

std::string formatEvent(std::string_view event, std::span<const Detail> details)
{
    std::string line = "event=";
    line += event;
    for (const auto &detail : details) {
        line += ' ';
        line += detail.key_;
        line += '=';
        appendValue(line, detail.value_);
    }
    return line;
}

void write(Level level, std::string_view event, std::span<const Detail> details)
{
    if (!isEnabled(level))
        return;
    try {
        logger()->forcedLog(levelOf(level), formatEvent(event, details));
    } catch (...) { // NOLINT(bugprone-empty-catch): a lost line must not stop a request.
    }
}

void debug(std::string_view event, std::initializer_list<Detail> details)
{
    write(Level::Debug, event, {details.begin(), details.size()});
}

void info(std::string_view event, std::initializer_list<Detail> details)
{
    write(Level::Info, event, {details.begin(), details.size()});
}

void warning(std::string_view event, std::initializer_list<Detail> details)
{
    write(Level::Warning, event, {details.begin(), details.size()});
}

void error(std::string_view event, std::initializer_list<Detail> details)
{
    write(Level::Error, event, {details.begin(), details.size()});
}

} // namespace cardamombay::log
