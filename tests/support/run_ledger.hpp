/// \file
/// \brief Records of the requests that endpoints ran and the responses that callers received, and a
/// check that the two are consistent.
#pragma once

#include <cstdint>
#include <filesystem>
#include <fstream>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cardamombay::support {

/// \brief One run of a request at an endpoint, recorded before it starts.
struct RunRecord
{
    std::string vm_;
    std::string attempt_;
    std::string callId_; ///< Field "user" of the request, or the body of a plain call.
    std::string idempotencyKey_;
};

/// \brief Appends run records to a file, so that they are kept if the process is killed.
class RunLedgerFile
{
public:
    RunLedgerFile() = default;

    /// \brief Opens the file; nothing is recorded if \p path is empty.
    explicit RunLedgerFile(const std::string &path);

    void append(const RunRecord &record);

    /// \brief Reads the records of a file; skips malformed lines, such as a truncated last one.
    [[nodiscard]] static std::vector<RunRecord> read(const std::filesystem::path &path);

private:
    std::ofstream out_;
};

/// \brief One request of a caller and the response that it received.
struct CallRecord
{
    std::string callId_; ///< Unique for each call.
    std::string idempotencyKey_;
    bool isNonIdempotent_ = false;
    std::uint32_t status_ = 0;   ///< Zero if no response was received.
    std::string outcome_;        ///< "ran", "not-run", "unknown" or empty.
    bool isWhole_ = false;       ///< The HTTP response was complete.
    bool hasEnd_ = false;        ///< For a stream: the end marker was received.
    bool hasErrorEvent_ = false; ///< The stream contained an error event.
    std::string text_;
    std::string expected_; ///< The only correct response text.
};

/// \brief Kind of inconsistency between the records.
enum class ViolationKind {
    Doubled,    ///< A non-idempotent request or an idempotency key ran more than once.
    RanAnyway,  ///< Reported as not-run, but an endpoint ran it.
    Truncated,  ///< Reported as a success, but the response is incomplete.
    Crossed,    ///< Complete, but not the response to this request.
    Unrecorded, ///< Reported as a success, but no endpoint ran it.
    NoOutcome   ///< Error response without an outcome.
};

/// \brief One inconsistency found by compareLedgers().
struct LedgerViolation
{
    ViolationKind kind_;
    std::string callId_;
    std::string detail_;
};

/// \brief Checks the responses that callers received against the runs at the endpoints.
/// \details A call without a response is no violation in itself: its caller knows that the outcome
/// is unknown.
[[nodiscard]] std::vector<LedgerViolation> compareLedgers(std::span<const RunRecord> runs,
                                                          std::span<const CallRecord> calls);

/// \brief Describes the violations, one per line.
[[nodiscard]] std::string describe(std::span<const LedgerViolation> violations);

[[nodiscard]] std::string_view nameOf(ViolationKind kind);

} // namespace cardamombay::support
