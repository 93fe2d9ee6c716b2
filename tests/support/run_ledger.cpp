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

/// Compares one call with its runs.
class Comparison
{
public:
    explicit Comparison(std::span<const RunRecord> runs)
    {
        for (const auto &run : runs) {
            byMark_[run.callId_].push_back(&run);
            if (!run.idempotencyKey_.empty())
                byKey_[run.idempotencyKey_].push_back(&run);
        }
    }

    void check(const CallRecord &told)
    {
        const auto &runs = byMark_[told.callId_];
        if (told.isNonIdempotent_ && runs.size() > 1)
            add(LedgerFault::Doubled, told, attemptsOf(runs));
        if (told.outcome_ == "not-run" && !runs.empty())
            add(LedgerFault::RanAnyway, told, attemptsOf(runs));
        if (told.status_ == 200)
            checkSuccess(told, runs);
        else if (told.status_ != 0 && told.isWhole_ && told.outcome_.empty())
            add(LedgerFault::NoOutcome, told, "status " + std::to_string(told.status_));
    }

    void checkKey(const CallRecord &told)
    {
        const bool isCounted = told.isNonIdempotent_ && !told.idempotencyKey_.empty()
                               && seenKeys_.insert(told.idempotencyKey_).second;
        if (!isCounted)
            return;
        const auto &runs = byKey_[told.idempotencyKey_];
        if (runs.size() > 1)
            add(LedgerFault::Doubled, told, "key " + told.idempotencyKey_ + " " + attemptsOf(runs));
    }

    [[nodiscard]] std::vector<LedgerFinding> take() { return std::move(findings_); }

private:
    void checkSuccess(const CallRecord &told, const std::vector<const RunRecord *> &runs)
    {
        if (!told.isWhole_ || told.hasErrorEvent_)
            return; // The caller sees that it broke off.
        const auto &sameKey = byKey_[told.idempotencyKey_];
        if (!told.hasEnd_)
            add(LedgerFault::Truncated, told, "no end after '" + told.text_ + "'");
        else if (told.text_ == told.expected_)
            checkRecorded(told, !runs.empty() || !sameKey.empty());
        else if (told.expected_.starts_with(told.text_))
            add(LedgerFault::Truncated, told, "only '" + told.text_ + "'");
        else
            add(LedgerFault::Crossed, told, "got '" + told.text_ + "'");
    }

    void checkRecorded(const CallRecord &told, bool isRecorded)
    {
        if (!isRecorded)
            add(LedgerFault::Unrecorded, told, "no endpoint ran it");
    }

    void add(LedgerFault fault, const CallRecord &told, std::string detail)
    {
        findings_.push_back({fault, told.callId_, std::move(detail)});
    }

    RunsByName byMark_;
    RunsByName byKey_;
    std::set<std::string> seenKeys_;
    std::vector<LedgerFinding> findings_;
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
    out_ << json::serialize(line) << std::endl; // Flushed: a kill may come at once.
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

std::vector<LedgerFinding> compareLedgers(std::span<const RunRecord> runs,
                                          std::span<const CallRecord> told)
{
    Comparison comparison(runs);
    for (const auto &record : told) {
        comparison.check(record);
        comparison.checkKey(record);
    }
    return comparison.take();
}

std::string describe(std::span<const LedgerFinding> findings)
{
    std::string text;
    for (const auto &finding : findings) {
        text += std::string(nameOf(finding.fault_)) + " " + finding.callId_ + ": " + finding.detail_
                + "\n";
    }
    return text;
}

std::string_view nameOf(LedgerFault fault)
{
    switch (fault) {
    case LedgerFault::Doubled:
        return "doubled";
    case LedgerFault::RanAnyway:
        return "ran-anyway";
    case LedgerFault::Truncated:
        return "truncated";
    case LedgerFault::Crossed:
        return "crossed";
    case LedgerFault::Unrecorded:
        return "unrecorded";
    case LedgerFault::NoOutcome:
        return "no-outcome";
    }
    return "unknown";
}

} // namespace cardamombay::support
