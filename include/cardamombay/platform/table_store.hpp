/// \file
/// \brief The platform's transactional table service, as the library sees it.
/// \details The seam to the platform: conditional transactions over rows of opaque text. A write
/// whose answer was lost is StoreAnswerLost, never a failure.
#pragma once

#include <cardamombay/core/ids.hpp>
#include <cardamombay/core/result.hpp>

#include <optional>
#include <string>
#include <vector>

namespace cardamombay::platform {

/// \brief Name of a row.
struct RowKey
{
    std::string table_;
    std::string key_;

    friend auto operator<=>(const RowKey &, const RowKey &) = default;
};

/// \brief A row as read.
struct Row
{
    RowKey key_;
    std::string value_;  ///< JSON text.
    RowVersion version_; ///< Commit number of the transaction that wrote it.
    WriterToken writer_; ///< Token of the transaction that wrote it.
};

/// \brief Holds if the row's version is \p expected_; none means that the row is absent.
struct Condition
{
    RowKey key_;
    RowVersion expected_;
};

/// \brief Puts the value, or deletes the row if there is none.
struct RowWrite
{
    RowKey key_;
    std::optional<std::string> value_;
};

/// \brief Writes that take effect together if all conditions hold, or not at all.
struct Transaction
{
    WriterToken writer_;
    std::vector<Condition> conditions_;
    std::vector<RowWrite> writes_;
};

/// \brief Answer to a transaction that took effect.
struct CommitReceipt
{
    RowVersion version_; ///< The version of every row it wrote.
};

/// \brief Which rows of a table to list, in order of their keys.
struct Scan
{
    std::string table_;
    std::string prefix_;
    std::string after_;       ///< Continues behind this key; empty starts at the first.
    RowVersion changedAfter_; ///< Only rows with a higher version; none lists all.
    std::size_t limit_ = 1000;
};

/// \brief One page of a scan.
struct ScanPage
{
    std::vector<Row> rows_;
    bool isLast_ = true;
    RowVersion storeVersion_; ///< Highest commit the page reflects.
};

/// \brief Table service. Answers arrive by callback on the control thread, never inline.
/// \details Errors: StoreUnavailable and StoreThrottled mean that nothing was carried out,
/// StoreConflict that a condition failed, StoreAnswerLost that the effect is unknown. Reads give
/// StoreUnavailable in place of StoreAnswerLost. A read may be stale; a commit never is.
class TableStore
{
public:
    TableStore() = default;
    TableStore(const TableStore &) = delete;
    TableStore &operator=(const TableStore &) = delete;
    virtual ~TableStore() = default;

    /// \brief Carries out \p transaction atomically.
    virtual void commit(Transaction transaction, Callback<CommitReceipt> done) = 0;

    /// \brief Reads rows; absent ones are left out of the answer.
    virtual void read(std::vector<RowKey> keys, Callback<std::vector<Row>> done) = 0;

    /// \brief Lists one page of rows.
    virtual void scan(Scan scan, Callback<ScanPage> done) = 0;
};

} // namespace cardamombay::platform
