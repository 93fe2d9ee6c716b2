/// \file
/// \brief The platform's stores in memory, with latency and faults, on a test's clock.
#pragma once

#include <cardamombay/core/clock.hpp>
#include <cardamombay/platform/object_store.hpp>
#include <cardamombay/platform/table_store.hpp>

#include <cstdint>
#include <map>

namespace cardamombay::support {

/// \brief Faults a test can switch.
struct StoreFaults
{
    bool isDown_ = false;        ///< Every call gives StoreUnavailable.
    bool losesAnswers_ = false;  ///< Commits take effect, then StoreAnswerLost.
    bool losesRequests_ = false; ///< Commits do not take effect, StoreAnswerLost.
    Duration latency_ = std::chrono::milliseconds(5);
    std::uint32_t loseNextAnswers_ = 0; ///< As losesAnswers_, for that many commits.
};

/// \brief Content and faults shared by the handles of several nodes.
class FakePlatform
{
public:
    explicit FakePlatform(Clock &clock)
        : clock_(clock)
    {
    }

    StoreFaults faults_;
    std::uint64_t commits_ = 0;
    std::uint64_t reads_ = 0;

    /// \brief Carries out the transaction now, without faults.
    Result<platform::CommitReceipt> apply(const platform::Transaction &transaction);

    /// \brief The row, or null.
    [[nodiscard]] const platform::Row *row(const platform::RowKey &key) const;
    [[nodiscard]] const std::map<platform::RowKey, platform::Row> &rows() const { return rows_; }
    [[nodiscard]] std::map<std::string, std::string> &objects() { return objects_; }
    [[nodiscard]] Clock &clock() { return clock_; }
    [[nodiscard]] RowVersion version() const { return version_; }

    /// \brief A copy of all rows, as a backup has them.
    struct Backup
    {
        RowVersion version_;
        std::map<platform::RowKey, platform::Row> rows_;
    };
    [[nodiscard]] Backup backup() const { return {version_, rows_}; }
    /// \brief Comes back from \p backup on a new timeline: numbers of versions go back.
    void restore(const Backup &backup);

private:
    Clock &clock_;
    RowVersion version_;
    std::map<platform::RowKey, platform::Row> rows_;
    std::map<std::string, std::string> objects_;
};

/// \brief One node's link to the table service; can be cut off alone.
class FakeTableStore final : public platform::TableStore
{
public:
    explicit FakeTableStore(FakePlatform &platform)
        : platform_(platform)
    {
    }

    bool isCutOff_ = false;

    void commit(platform::Transaction transaction, Callback<platform::CommitReceipt> done) override;
    void read(std::vector<platform::RowKey> keys,
              Callback<std::vector<platform::Row>> done) override;
    void scan(platform::Scan scan, Callback<platform::ScanPage> done) override;

private:
    [[nodiscard]] bool isDown() const { return isCutOff_ || platform_.faults_.isDown_; }

    FakePlatform &platform_;
};

/// \brief One node's link to the object store.
class FakeObjectStore final : public platform::ObjectStore
{
public:
    explicit FakeObjectStore(FakePlatform &platform)
        : platform_(platform)
    {
    }

    void put(std::string name, std::string content, Callback<Done> done) override;
    void fetch(std::string name, Callback<std::string> done) override;

private:
    FakePlatform &platform_;
};

} // namespace cardamombay::support
