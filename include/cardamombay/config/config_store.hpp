/// \file
/// \brief The configuration in the platform's table service.
/// \details Row "config/current" holds the accepted version, and each version has a row of its
/// own, written in the same transaction. A version is accepted once that transaction committed;
/// its condition on the row version lets one of several racing operators win. The row of a
/// version is written once, so its writer token proves later whose it is, even if the answer to
/// the write was lost.
#pragma once

#include <cardamombay/config/config_record.hpp>
#include <cardamombay/config/config_sources.hpp>
#include <cardamombay/core/clock.hpp>
#include <cardamombay/core/random.hpp>
#include <cardamombay/platform/object_store.hpp>
#include <cardamombay/platform/reliable_commit.hpp>
#include <cardamombay/platform/table_store.hpp>

#include <cstddef>
#include <memory>
#include <optional>
#include <vector>

namespace cardamombay::config {

/// \brief A record with its content, and the row version it was read with.
struct StoredConfig
{
    ConfigRecord record_; ///< The content is always there.
    RowVersion row_;
};

/// \brief A change an operator asks for.
struct ConfigChange
{
    ConfigSources sources_;
    ConfigVersion expected_; ///< Version the change was made on; none for the first one.
    ChangeNote note_;
    ConfigVersion revertTo_; ///< Set by rollback().
};

/// \brief Reads and changes the configuration; asynchronous, for one thread.
/// \code
/// ConfigStore store(clock, tables, objects, random, tokens);
/// store.apply({sources, ConfigVersion{17}, note}, [](Result<ConfigVersion> result) {
///     if (isError<ConfigConflict>(result))
///         ... // another operator was first; nothing was written
/// });
/// \endcode
class ConfigStore
{
public:
    /// \brief Larger content goes to the object store.
    static constexpr std::size_t inlineBytes = 16'384;
    /// \brief Versions whose rows are kept.
    static constexpr std::uint64_t historyLength = 1000;

    ConfigStore(Clock &clock, platform::TableStore &tables, platform::ObjectStore &objects,
                Random &random, platform::WriterTokens tokens);
    ~ConfigStore();
    ConfigStore(const ConfigStore &) = delete;
    ConfigStore &operator=(const ConfigStore &) = delete;

    /// \name Reading; a read may be stale
    /// \{
    /// \brief The accepted version; NotFound if there is none yet.
    void fetchCurrent(Callback<StoredConfig> done);
    /// \brief An earlier version; NotFound if it never was or is no longer kept.
    void fetchVersion(ConfigVersion version, Callback<StoredConfig> done);
    /// \brief The accepted version if its row is newer than \p seen; a cheap read otherwise.
    void poll(RowVersion seen, Callback<std::optional<StoredConfig>> done);
    /// \brief Checks by a conditional transaction without writes that \p row is still current.
    /// \details Done if it is, StoreConflict if it was a stale read.
    void confirm(RowVersion row, Callback<Done> done);
    /// \brief The latest \p count versions, oldest first; large contents are left out.
    void history(std::size_t count, Callback<std::vector<ConfigRecord>> done);
    /// \}

    /// \name Changing
    /// \{
    /// \brief Checks \p change and makes it the next version.
    /// \details Gives the accepted version. If the content is that of the accepted version
    /// already, nothing is written and that version is given, so that an operator may repeat an
    /// apply whose end was not seen. Errors: InvalidInput, ConfigConflict with the version that
    /// was accepted first, NotFound for an expected version that does not exist, and the store's
    /// errors; StoreAnswerLost only if the store did not come back in time to tell.
    void apply(ConfigChange change, Callback<ConfigVersion> done);
    /// \brief Makes the content of \p target the next version.
    void rollback(ConfigVersion target, ConfigVersion expected, ChangeNote note,
                  Callback<ConfigVersion> done);
    /// \}

private:
    struct Apply;
    using ApplyPtr = std::shared_ptr<Apply>;

    void complete(const platform::Row &row, Callback<StoredConfig> done);
    void readCurrentFor(const ApplyPtr &apply);
    void decide(const ApplyPtr &apply, const std::optional<StoredConfig> &current);
    void putContent(const ApplyPtr &apply);
    void commit(const ApplyPtr &apply);
    void resolve(const ApplyPtr &apply, const Error &error);
    void reportConflict(const ApplyPtr &apply);

    Clock &clock_;
    platform::TableStore &tables_;
    platform::ObjectStore &objects_;
    platform::WriterTokens tokens_;
    platform::ReliableCommit commit_;
    std::shared_ptr<char> alive_; ///< Callbacks hold it weakly.
};

} // namespace cardamombay::config
