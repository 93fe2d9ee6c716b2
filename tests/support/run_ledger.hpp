/// \file
/// \brief What endpoints ran, on file, and what callers were told; and the check of one against
/// the other.
#pragma once

#include <cstdint>
#include <filesystem>
#include <fstream>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cardamombay::support {

/// \brief One run of a request at an endpoint, noted before it starts.
struct RunRecord
{
    std::string vm_;
    std::string attempt_;
    std::string callId_; ///< The caller's mark: field "user", or the body of a plain call.
    std::string idempotencyKey_;
};

/// \brief Appends runs to a file, so that they outlive the process when it is killed.
class RunLedgerFile
{
public:
    RunLedgerFile() = default;

    /// \brief Notes nothing if \p path is empty.
    explicit RunLedgerFile(const std::string &path);

    void append(const RunRecord &record);

    /// \brief Records of a file; a last line cut by a kill is left out.
    [[nodiscard]] static std::vector<RunRecord> read(const std::filesystem::path &path);

private:
    std::ofstream out_;
};

/// \brief What one caller sent and was told.
struct CallRecord
{
    std::string callId_; ///< Unique for each call.
    std::string idempotencyKey_;
    bool isNonIdempotent_ = false;
    std::uint32_t status_ = 0;   ///< Zero if no answer came.
    std::string outcome_;        ///< "ran", "not-run", "unknown" or empty.
    bool isWhole_ = false;       ///< The response ended as HTTP says it must.
    bool hasEnd_ = false;        ///< With the end marker, if it was a stream.
    bool hasErrorEvent_ = false; ///< A stream that said it failed.
    std::string text_;
    std::string expected_; ///< The one right answer.
};

/// \brief A broken promise that the ledgers show.
enum class LedgerFault {
    Doubled,    ///< A non-idempotent request, or one idempotency key, ran more than once.
    RanAnyway,  ///< Told not-run, but an endpoint ran it.
    Truncated,  ///< Looked like a success, but the answer is not whole.
    Crossed,    ///< Whole, but not the answer to this request.
    Unrecorded, ///< Told success, but no endpoint ran it.
    NoOutcome   ///< Answered with an error that says nothing of the outcome.
};

/// \brief One finding of compareLedgers().
struct LedgerFinding
{
    LedgerFault fault_;
    std::string callId_;
    std::string detail_;
};

/// \brief Checks what callers were told against what endpoints ran.
/// \details Calls without an answer are no finding: their callers know that the outcome is unknown.
[[nodiscard]] std::vector<LedgerFinding> compareLedgers(std::span<const RunRecord> runs,
                                                        std::span<const CallRecord> told);

/// \brief One line for each finding.
[[nodiscard]] std::string describe(std::span<const LedgerFinding> findings);

[[nodiscard]] std::string_view nameOf(LedgerFault fault);

} // namespace cardamombay::support
