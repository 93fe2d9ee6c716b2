#include <cardamombay/log/logging_sink.hpp>

#include <cardamombay/log/log.hpp>

#include <string>
#include <utility>
#include <vector>

namespace cardamombay::log {

namespace {

std::string alternativesText(const std::vector<Alternative> &alternatives)
{
    std::string text;
    for (const auto &alternative : alternatives) {
        if (!text.empty())
            text += ',';
        text += alternative.name_ + ":" + std::to_string(alternative.cost_);
    }
    return text;
}

} // namespace

void LoggingSink::record(DecisionRecord record)
{
    std::vector<Detail> details{{"subject", record.subject_}, {"choice", record.choice_}};
    details.insert(details.end(), record.inputs_.begin(), record.inputs_.end());
    if (!record.alternatives_.empty())
        details.push_back({"alternatives", alternativesText(record.alternatives_)});
    write(Level::Info, record.event_, details);
    next_.record(std::move(record));
}

} // namespace cardamombay::log
