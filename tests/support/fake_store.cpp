#include "support/fake_store.hpp"

#include <utility>

namespace cardamombay::support {

using platform::CommitReceipt;
using platform::Row;
using platform::RowKey;

Result<CommitReceipt> FakePlatform::apply(const platform::Transaction &transaction)
{
    for (const auto &condition : transaction.conditions_) {
        const Row *found = row(condition.key_);
        const RowVersion version = found ? found->version_ : RowVersion{};
        if (version != condition.expected_) {
            return Error(StoreConflict{condition.key_.table_, condition.key_.key_,
                                       condition.expected_, version,
                                       found ? found->writer_ : WriterToken{}});
        }
    }
    version_ = version_.next();
    ++commits_;
    for (const auto &write : transaction.writes_) {
        if (write.value_)
            rows_[write.key_] = Row{write.key_, *write.value_, version_, transaction.writer_};
        else
            rows_.erase(write.key_);
    }
    return CommitReceipt{version_};
}

void FakePlatform::restore(const Backup &backup)
{
    const auto timeline = version_.timeline().next();
    version_ = RowVersion::at(timeline, backup.version_.number());
    rows_ = backup.rows_;
    for (auto &[key, row] : rows_)
        row.version_ = RowVersion::at(timeline, row.version_.number());
}

const Row *FakePlatform::row(const RowKey &key) const
{
    const auto found = rows_.find(key);
    return found == rows_.end() ? nullptr : &found->second;
}

void FakeTableStore::commit(platform::Transaction transaction, Callback<CommitReceipt> done)
{
    const Duration latency = platform_.faults_.latency_;
    auto arrive = [this, transaction = std::move(transaction), done = std::move(done), latency] {
        auto &faults = platform_.faults_;
        if (isDown()) {
            done(Error(StoreUnavailable{"commit", "switched off"}));
            return;
        }
        const bool loses = faults.losesAnswers_ || faults.loseNextAnswers_ > 0;
        if (faults.loseNextAnswers_ > 0)
            --faults.loseNextAnswers_;
        Result<CommitReceipt> result = Error(StoreAnswerLost{"commit", "answer dropped"});
        if (!faults.losesRequests_) {
            auto applied = platform_.apply(transaction);
            if (!loses)
                result = std::move(applied);
        }
        platform_.clock().schedule(latency / 2, [done, result] { done(result); });
    };
    platform_.clock().schedule(latency - latency / 2, std::move(arrive));
}

void FakeTableStore::read(std::vector<RowKey> keys, Callback<std::vector<Row>> done)
{
    auto arrive = [this, keys = std::move(keys), done = std::move(done)] {
        if (isDown()) {
            done(Error(StoreUnavailable{"read", "switched off"}));
            return;
        }
        platform_.reads_ += keys.size();
        std::vector<Row> rows;
        for (const auto &key : keys) {
            if (const Row *row = platform_.row(key))
                rows.push_back(*row);
        }
        done(std::move(rows));
    };
    platform_.clock().schedule(platform_.faults_.latency_, std::move(arrive));
}

void FakeTableStore::scan(platform::Scan scan, Callback<platform::ScanPage> done)
{
    auto arrive = [this, scan = std::move(scan), done = std::move(done)] {
        if (isDown()) {
            done(Error(StoreUnavailable{"scan", "switched off"}));
            return;
        }
        ++platform_.reads_;
        platform::ScanPage page;
        page.storeVersion_ = platform_.version();
        for (const auto &[key, row] : platform_.rows()) {
            const bool isWanted = key.table_ == scan.table_ && key.key_.starts_with(scan.prefix_)
                                  && key.key_ > scan.after_ && row.version_ > scan.changedAfter_;
            if (!isWanted)
                continue;
            if (page.rows_.size() == scan.limit_) {
                page.isLast_ = false;
                break;
            }
            page.rows_.push_back(row);
        }
        done(std::move(page));
    };
    platform_.clock().schedule(platform_.faults_.latency_, std::move(arrive));
}

void FakeObjectStore::put(std::string name, std::string content, Callback<Done> done)
{
    auto arrive
        = [this, name = std::move(name), content = std::move(content), done = std::move(done)] {
              if (platform_.faults_.isDown_) {
                  done(Error(StoreUnavailable{"put", "switched off"}));
                  return;
              }
              platform_.objects()[name] = content;
              done(Done{});
          };
    platform_.clock().schedule(platform_.faults_.latency_, std::move(arrive));
}

void FakeObjectStore::fetch(std::string name, Callback<std::string> done)
{
    auto arrive = [this, name = std::move(name), done = std::move(done)] {
        if (platform_.faults_.isDown_) {
            done(Error(StoreUnavailable{"fetch", "switched off"}));
            return;
        }
        const auto found = platform_.objects().find(name);
        if (found == platform_.objects().end())
            done(Error(NotFound{"object " + name}));
        else
            done(found->second);
    };
    platform_.clock().schedule(platform_.faults_.latency_, std::move(arrive));
}

} // namespace cardamombay::support
