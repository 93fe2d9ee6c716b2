/// \file
/// \brief JSON codec of the platform's protocol; see docs/PLATFORM.md.
#pragma once

#include <cardamombay/platform/table_store.hpp>
#include <cardamombay/platform/vm_directory.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace cardamombay::platform::impl {

/// \brief Answer to a question for the VM list.
struct VmListAnswer
{
    VmList list_;              ///< Without VMs if it is unchanged.
    std::string tag_;          ///< Names the content; empty if the platform gives none.
    bool isUnchanged_ = false; ///< The content is the one whose tag was asked with.
};

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
[[nodiscard]] std::optional<VmListAnswer> decodeVmList(std::string_view text);
/// \}

} // namespace cardamombay::platform::impl
