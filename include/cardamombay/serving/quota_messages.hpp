/// \file
/// \brief Messages between entry VMs that transfer quota for retries.
#pragma once

#include <cardamombay/core/address.hpp>
#include <cardamombay/core/ids.hpp>
#include <cardamombay/core/time.hpp>
#include <cardamombay/serving/retry_quota.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace cardamombay::serving {

/// \brief Asks a peer for quota.
struct QuotaRequest
{
    EntryId from_;
    Address address_;          ///< Where to send the answer.
    std::uint64_t number_ = 0; ///< Echoed in the answer.
    ServiceName service_;
    double amount_ = 0; ///< Retries.

    friend bool operator==(const QuotaRequest &, const QuotaRequest &) = default;
};

/// \brief Answer to a QuotaRequest; the sender has given up the quota.
struct QuotaTransfer
{
    EntryId from_;
    std::uint64_t number_ = 0;
    double amount_ = 0; ///< Retries; 0 if the sender can spare none.

    friend bool operator==(const QuotaTransfer &, const QuotaTransfer &) = default;
};

/// \brief What a process has counted, for the next process of its entry VM.
struct QuotaReport
{
    double reservePart_ = 0; ///< Its part of the fleet's reserve.
    std::map<ServiceName, QuotaUse> services_;

    friend bool operator==(const QuotaReport &, const QuotaReport &) = default;
};

/// \brief Asks peers for the last report of the previous process of the sender.
struct QuotaReportRequest
{
    EntryId from_;
    Address address_;   ///< Where to send the answer.
    Incarnation since_; ///< Of the process that asks.

    friend bool operator==(const QuotaReportRequest &, const QuotaReportRequest &) = default;
};

/// \brief Answer to a QuotaReportRequest.
struct QuotaReportAnswer
{
    EntryId from_;
    Incarnation since_;      ///< Of the process that asked.
    bool isUnknown_ = false; ///< There was no earlier process for long.
    Duration age_{};         ///< Time since the earlier process sent the report.
    QuotaReport report_;

    friend bool operator==(const QuotaReportAnswer &, const QuotaReportAnswer &) = default;
};

/// \name JSON-RPC notifications
/// \{
[[nodiscard]] std::string encode(const QuotaRequest &request);
[[nodiscard]] std::string encode(const QuotaTransfer &transfer);
[[nodiscard]] std::string encode(const QuotaReportRequest &request);
[[nodiscard]] std::string encode(const QuotaReportAnswer &answer);
/// \returns no value if \p text is not such a message.
[[nodiscard]] std::optional<QuotaRequest> decodeQuotaRequest(std::string_view text);
[[nodiscard]] std::optional<QuotaTransfer> decodeQuotaTransfer(std::string_view text);
[[nodiscard]] std::optional<QuotaReportRequest> decodeQuotaReportRequest(std::string_view text);
[[nodiscard]] std::optional<QuotaReportAnswer> decodeQuotaReportAnswer(std::string_view text);
/// \}

} // namespace cardamombay::serving
