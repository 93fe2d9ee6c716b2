#include <cardamombay/config/config_store.hpp>

#include "config/config_rows.hpp"

#include <algorithm>

namespace cardamombay::config {

using platform::Row;

ConfigStore::ConfigStore(Clock &clock, platform::TableStore &tables, platform::ObjectStore &objects,
                         Random &random, platform::WriterTokens tokens)
    : clock_(clock)
    , tables_(tables)
    , objects_(objects)
    , tokens_(std::move(tokens))
    , commit_(clock, tables, random)
    , alive_(std::make_shared<char>())
{
}

ConfigStore::~ConfigStore() = default;

void ConfigStore::fetchCurrent(Callback<StoredConfig> done)
{
    poll(RowVersion{}, [done = std::move(done)](Result<std::optional<StoredConfig>> result) {
        if (!isOk(result))
            done(errorOf(result));
        else if (!valueOf(result))
            done(Error(NotFound{"an accepted configuration"}));
        else
            done(*valueOf(std::move(result)));
    });
}

void ConfigStore::fetchVersion(ConfigVersion version, Callback<StoredConfig> done)
{
    tables_.read({impl::versionRow(version)}, [this, alive = std::weak_ptr(alive_), version,
                                               done = std::move(done)](
                                                  const Result<std::vector<Row>> &result) {
        if (alive.expired())
            return;
        if (!isOk(result))
            done(errorOf(result));
        else if (valueOf(result).empty())
            done(Error(NotFound{"configuration version " + std::to_string(version.value())}));
        else
            complete(valueOf(result).front(), done);
    });
}

void ConfigStore::poll(RowVersion seen, Callback<std::optional<StoredConfig>> done)
{
    platform::Scan scan;
    scan.table_ = impl::configTable;
    scan.prefix_ = impl::currentKey;
    scan.changedAfter_ = seen;
    scan.limit_ = 1;
    tables_.scan(std::move(scan), [this, alive = std::weak_ptr(alive_), done = std::move(done)](
                                      const Result<platform::ScanPage> &result) {
        if (alive.expired())
            return;
        if (!isOk(result)) {
            done(errorOf(result));
            return;
        }
        const auto &rows = valueOf(result).rows_;
        if (rows.empty()) {
            done(std::optional<StoredConfig>());
            return;
        }
        complete(rows.front(), [done](Result<StoredConfig> completed) {
            if (isOk(completed))
                done(std::optional(valueOf(std::move(completed))));
            else
                done(errorOf(completed));
        });
    });
}

void ConfigStore::complete(const Row &row, Callback<StoredConfig> done)
{
    auto decoded = decodeRecord(row.value_);
    if (!isOk(decoded)) {
        done(errorOf(decoded));
        return;
    }
    StoredConfig stored{valueOf(std::move(decoded)), row.version_};
    if (!stored.record_.content_.empty()) {
        done(std::move(stored));
        return;
    }
    const std::string name = stored.record_.objectName();
    objects_.fetch(name, [stored = std::move(stored),
                          done = std::move(done)](Result<std::string> result) mutable {
        if (!isOk(result)) {
            done(errorOf(result));
            return;
        }
        stored.record_.content_ = valueOf(std::move(result));
        if (contentHash(stored.record_.content_) == stored.record_.hash_)
            done(std::move(stored));
        else
            done(Error(MalformedMessage{"object " + stored.record_.objectName(),
                                        "the content does not match its hash"}));
    });
}

void ConfigStore::confirm(RowVersion row, Callback<Done> done)
{
    platform::Transaction transaction;
    transaction.writer_ = tokens_.next();
    transaction.conditions_.push_back({impl::currentRow(), row});
    tables_.commit(std::move(transaction),
                   [done = std::move(done)](const Result<platform::CommitReceipt> &result) {
                       if (isOk(result))
                           done(Done{});
                       else
                           done(errorOf(result));
                   });
}

void ConfigStore::history(std::size_t count, Callback<std::vector<ConfigRecord>> done)
{
    auto list = [this, alive = std::weak_ptr(alive_), count,
                 done = std::move(done)](const Result<StoredConfig> &current) {
        if (alive.expired())
            return;
        if (!isOk(current)) {
            done(errorOf(current));
            return;
        }
        const std::uint64_t last = valueOf(current).record_.version_.value();
        platform::Scan scan;
        scan.table_ = impl::configTable;
        scan.prefix_ = impl::versionPrefix;
        scan.after_
            = impl::versionRow(ConfigVersion(last - std::min<std::uint64_t>(last, count))).key_;
        scan.limit_ = count;
        tables_.scan(std::move(scan), [done](const Result<platform::ScanPage> &result) {
            if (!isOk(result)) {
                done(errorOf(result));
                return;
            }
            std::vector<ConfigRecord> records;
            for (const auto &row : valueOf(result).rows_) {
                auto record = decodeRecord(row.value_);
                if (isOk(record))
                    records.push_back(valueOf(std::move(record)));
            }
            done(std::move(records));
        });
    };
    fetchCurrent(std::move(list));
}

} // namespace cardamombay::config
