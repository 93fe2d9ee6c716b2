/// \file
/// \brief JSON codec of the platform's protocol; see docs/PLATFORM.md.
#pragma once

#include <cardamombay/platform/table_store.hpp>
#include <cardamombay/platform/vm_directory.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace cardamombay::platform::impl {

[[nodiscard]] std::string encode(const Transaction &transaction);
[[nodiscard]] std::string encode(const std::vector<RowKey> &keys);
[[nodiscard]] std::string encode(const Scan &scan);

/// \name Decoders
/// Nothing if the text does not follow the protocol.
/// \{
[[nodiscard]] std::optional<CommitReceipt> decodeReceipt(std::string_view text);
[[nodiscard]] std::optional<StoreConflict> decodeConflict(std::string_view text);
[[nodiscard]] std::optional<std::vector<Row>> decodeRows(std::string_view text);
[[nodiscard]] std::optional<ScanPage> decodePage(std::string_view text);
[[nodiscard]] std::optional<VmList> decodeVmList(std::string_view text);
/// \}

} // namespace cardamombay::platform::impl
