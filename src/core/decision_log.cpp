#include <cardamombay/core/decision_log.hpp>

#include <utility>

namespace cardamombay {

void DecisionLog::record(DecisionRecord record)
{
    records_.push_back(std::move(record));
    if (records_.size() > capacity_)
        records_.pop_front();
}

std::vector<DecisionRecord> DecisionLog::forSubject(std::string_view subject) const
{
    std::vector<DecisionRecord> found;
    for (const auto &record : records_) {
        if (subject.empty() || record.subject_ == subject)
            found.push_back(record);
    }
    return found;
}

} // namespace cardamombay
