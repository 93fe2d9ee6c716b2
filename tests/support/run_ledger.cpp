#include "support/run_ledger.hpp"

#include <boost/json.hpp>

#include <map>
#include <set>

namespace cardamombay::support {

namespace json = boost::json;

namespace {

using RunsByName = std::map<std::string, std::vector<const RunRecord *>, std::less<>>;

std::string attemptsOf(const std::vector<const RunRecord *> &runs)
{
    std::string text;
    for (const auto *run : runs)
        text += " " + run->attempt_ + "@" + run->vm_;
    return "runs:" + text;
}

/// Compares calls with the runs at the endpoints.
class LedgerComparison
{
public:
    explicit LedgerComparison(std::span<const RunRecord> runs)
    {
        for (const auto &run : runs) {
            byMark_[run.callId_].push_back(&run);
            if (!run.idempotencyKey_.empty())
                byKey_[run.idempotencyKey_].push_back(&run);
        }
    }

    void check(const CallRecord &call)
    {
        const auto &runs = byMark_[call.callId_];
        if (call.isNonIdempotent_ && runs.size() > 1)
            add(ViolationKind::Doubled, call, attemptsOf(runs));
        if (call.outcome_ == "not-run" && !runs.empty())
            add(ViolationKind::RanAnyway, call, attemptsOf(runs));
        if (call.status_ == 200)
            checkSuccess(call, runs);
        else if (call.status_ != 0 && call.isWhole_ && call.outcome_.empty())
            add(ViolationKind::NoOutcome, call, "status " + std::to_string(call.status_));
    }

    void checkKey(const CallRecord &call)
    {
        const bool isCounted = call.isNonIdempotent_ && !call.idempotencyKey_.empty()
                               && seenKeys_.insert(call.idempotencyKey_).second;
        if (!isCounted)
            return;
        const auto &runs = byKey_[call.idempotencyKey_];
        if (runs.size() > 1)
            add(ViolationKind::Doubled, call,
                "key " + call.idempotencyKey_ + " " + attemptsOf(runs));
    }

    [[nodiscard]] std::vector<LedgerViolation> takeViolations() { return std::move(violations_); }

private:
    void checkSuccess(const CallRecord &call, const std::vector<const RunRecord *> &runs)
    {
        if (!call.isWhole_ || call.hasErrorEvent_)
            return; // The caller can see that the response is incomplete.
        const auto &sameKey = byKey_[call.idempotencyKey_];
        if (!call.hasEnd_)
            add(ViolationKind::Truncated, call, "no end marker after '" + call.text_ + "'");
        else if (call.text_ == call.expected_)
            checkWasRun(call, !runs.empty() || !sameKey.empty());
        else if (call.expected_.starts_with(call.text_))
            add(ViolationKind::Truncated, call, "only '" + call.text_ + "'");
        else
            add(ViolationKind::Crossed, call, "got '" + call.text_ + "'");
    }

    void checkWasRun(const CallRecord &call, bool wasRun)
    {
        if (!wasRun)
            add(ViolationKind::Unrecorded, call, "no endpoint ran it");
    }

    void add(ViolationKind kind, const CallRecord &call, std::string detail)
    {
        violations_.push_back({kind, call.callId_, std::move(detail)});
    }

    RunsByName byMark_;
    RunsByName byKey_;
    std::set<std::string> seenKeys_;
    std::vector<LedgerViolation> violations_;
};

std::string textAt(const json::object &object, std::string_view key)
{
    const auto *value = object.if_contains(key);
    return value && value->is_string() ? std::string(value->as_string()) : "";
}

} // namespace

RunLedgerFile::RunLedgerFile(const std::string &path)
{
    if (!path.empty())
        out_.open(path, std::ios::app);
}

void RunLedgerFile::append(const RunRecord &record)
{
    if (!out_.is_open())
        return;
    const json::object line{{"vm", record.vm_},
                            {"attempt", record.attempt_},
                            {"mark", record.callId_},
                            {"idempotency_key", record.idempotencyKey_}};
    out_ << json::serialize(line)
         << std::endl; // Flushed, since the process may be killed at any time.
}

std::vector<RunRecord> RunLedgerFile::read(const std::filesystem::path &path)
{
    std::vector<RunRecord> records;
    std::ifstream in(path);
    for (std::string line; std::getline(in, line);) {
        json::error_code error;
        const auto value = json::parse(line, error);
        if (error || !value.is_object())
            continue;
        const auto &object = value.as_object();
        records.push_back({textAt(object, "vm"), textAt(object, "attempt"), textAt(object, "mark"),
                           textAt(object, "idempotency_key")});
    }
    return records;
}

std::vector<LedgerViolation> compareLedgers(std::span<const RunRecord> runs,
                                            std::span<const CallRecord> calls)
{
    LedgerComparison comparison(runs);
    for (const auto &record : calls) {
        comparison.check(record);
        comparison.checkKey(record);
    }
    return comparison.takeViolations();
}

std::string describe(std::span<const LedgerViolation> violations)
{
    std::string text;
    for (const auto &violation : violations) {
        text += std::string(nameOf(violation.kind_)) + " " + violation.callId_ + ": "
                + violation.detail_ + "\n";
    }
    return text;
}

std::string_view nameOf(ViolationKind kind)
{
    switch (kind) {
    case ViolationKind::Doubled:
        return "doubled";
    case ViolationKind::RanAnyway:
        return "ran-anyway";
    case ViolationKind::Truncated:
        return "truncated";
    case ViolationKind::Crossed:
        return "crossed";
    case ViolationKind::Unrecorded:
        return "unrecorded";
    case ViolationKind::NoOutcome:
        return "no-outcome";
    }
    return "unknown";
}

} // namespace cardamombay::support
