/// \file
/// \brief Records of decisions: inputs, choice, alternatives and their costs.
/// \details Keeps what was decided and why; nothing reads the records back to decide again. Memory
/// is bounded by the capacity of the log.
#pragma once

#include <cardamombay/core/time.hpp>

#include <cstddef>
#include <deque>
#include <string>
#include <string_view>
#include <vector>

namespace cardamombay {

/// \brief One input of a decision, or one pair of a log line.
struct Detail
{
    std::string key_;
    std::string value_;

    friend bool operator==(const Detail &, const Detail &) = default;
};

/// \brief A way that was weighed and its cost; lower is better.
struct Alternative
{
    std::string name_;
    double cost_ = 0;

    friend bool operator==(const Alternative &, const Alternative &) = default;
};

/// \brief Why something was done; shown by "cardamombayctl explain".
struct DecisionRecord
{
    TimePoint when_{};
    std::string event_;   ///< Event name, such as "group-formed".
    std::string subject_; ///< Group, VM, request or fabric domain it is about.
    std::string choice_;
    std::vector<Detail> inputs_;
    std::vector<Alternative> alternatives_;
};

/// \brief Receives decision records; the daemon also writes each as one log line.
class DecisionSink
{
public:
    DecisionSink() = default;
    DecisionSink(const DecisionSink &) = delete;
    DecisionSink &operator=(const DecisionSink &) = delete;
    virtual ~DecisionSink() = default;

    virtual void record(DecisionRecord record) = 0;
};

/// \brief Keeps the latest records in memory.
class DecisionLog final : public DecisionSink
{
public:
    explicit DecisionLog(std::size_t capacity = 4096)
        : capacity_(capacity)
    {
    }

    void record(DecisionRecord record) override;

    /// \brief Records about \p subject, oldest first; all records if it is empty.
    [[nodiscard]] std::vector<DecisionRecord> forSubject(std::string_view subject) const;

private:
    std::size_t capacity_;
    std::deque<DecisionRecord> records_;
};

} // namespace cardamombay
