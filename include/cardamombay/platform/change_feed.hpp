/// \file
/// \brief Changes of a table in order, as the platform's table service hands them out.
/// \details A reader lists the table once, then asks for what changed after the version it has. A
/// service that has dropped the history in between says so, and the reader lists the table anew.
#pragma once

#include <cardamombay/platform/table_store.hpp>

namespace cardamombay::platform {

/// \brief A row that was written or dropped.
struct RowChange
{
    Row row_; ///< Without a value if it was dropped.
    bool isRemoved_ = false;
};

/// \brief Changes in the order of their versions.
struct ChangePage
{
    std::vector<RowChange> changes_;
    RowVersion version_; ///< Ask on from here.
    bool isLast_ = true; ///< False if more changes wait there already.
};

/// \brief Which changes to wait for.
struct ChangeQuery
{
    std::string table_;
    RowVersion after_;
    Duration wait_{}; ///< Longest wait for the first change; then an empty page comes.
};

/// \brief Feed of changes. Answers arrive by callback on the control thread, never inline.
/// \details Errors: NotFound if the history after the version asked for is gone; StoreThrottled and
/// StoreUnavailable as for reads of TableStore.
class ChangeFeed
{
public:
    ChangeFeed() = default;
    ChangeFeed(const ChangeFeed &) = delete;
    ChangeFeed &operator=(const ChangeFeed &) = delete;
    virtual ~ChangeFeed() = default;

    /// \brief Gives the changes after a version as soon as there is one.
    virtual void changes(ChangeQuery query, Callback<ChangePage> done) = 0;
};

} // namespace cardamombay::platform
