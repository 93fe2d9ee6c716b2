/// \file
/// \brief The service's side of the platform's protocol: reads requests, writes answers.
#pragma once

#include "support/platform_standin.hpp"

#include <cardamombay/platform/table_store.hpp>

#include <string>
#include <string_view>

namespace cardamombay::support {

/// \brief What POST /v1/weights asks for.
struct WeightRequest
{
    std::string model_;
    std::string version_;
    std::string vm_;
};

/// \name Decoders
/// Throw std::exception on a request that does not follow the protocol.
/// \{
[[nodiscard]] platform::Transaction decodeTransaction(std::string_view text);
[[nodiscard]] std::vector<platform::RowKey> decodeKeys(std::string_view text);
[[nodiscard]] platform::Scan decodeScan(std::string_view text);
[[nodiscard]] WeightRequest decodeWeightRequest(std::string_view text);
[[nodiscard]] std::vector<platform::VmRecord> decodeVms(std::string_view text);
/// \brief The faults named in \p text, the others as they stand in \p present.
[[nodiscard]] PlatformFaults decodeFaults(std::string_view text, PlatformFaults present);
/// \brief The VM of POST /test/vms/status, with nothing but id and status.
[[nodiscard]] platform::VmRecord decodeVmStatus(std::string_view text);
/// \}

/// \name Encoders
/// \{
[[nodiscard]] std::string encodeReceipt(const platform::CommitReceipt &receipt);
[[nodiscard]] std::string encodeConflict(const StoreConflict &conflict);
[[nodiscard]] std::string encodeRows(const std::vector<platform::Row> &rows);
[[nodiscard]] std::string encodePage(const platform::ScanPage &page);
/// \brief The list with its tag; without the VMs if \p known is that tag.
[[nodiscard]] std::string encodeVms(const std::vector<platform::VmRecord> &vms, Duration age,
                                    std::string_view known = {});
[[nodiscard]] std::string encodeCounters(const PlatformCounters &counters, std::size_t rows);
/// \}

} // namespace cardamombay::support
