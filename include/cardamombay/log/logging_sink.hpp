/// \file
/// \brief Decision sink that writes each record as one log line and passes it on.
#pragma once

#include <cardamombay/core/decision_log.hpp>

namespace cardamombay::log {

/// \brief Logs decisions before they reach the next sink.
class LoggingSink final : public DecisionSink
{
public:
    /// \param next receives every record; outlives the sink.
    explicit LoggingSink(DecisionSink &next)
        : next_(next)
    {
    }

    void record(DecisionRecord record) override;

private:
    DecisionSink &next_;
};

} // namespace cardamombay::log
