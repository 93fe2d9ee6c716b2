// The changing half of ConfigStore: read, check, compare-and-set, and find out what became of it.
#include <cardamombay/config/config_store.hpp>

#include "config/config_rows.hpp"

#include <cardamombay/config/config_parser.hpp>

#include <algorithm>

namespace cardamombay::config {

namespace {

constexpr std::uint32_t mostReads = 4; ///< Of a read that is older than what the operator saw.
constexpr Duration rereadDelay = std::chrono::milliseconds(250);

} // namespace

/// One change under way.
struct ConfigStore::Apply
{
    ConfigChange change_;
    Callback<ConfigVersion> done_;
    std::string content_;
    ConfigRecord record_;
    RowVersion row_; ///< Row version the condition asks for.
    WriterToken writer_;
    std::uint32_t reads_ = 0;
};

void ConfigStore::apply(ConfigChange change, Callback<ConfigVersion> done)
{
    auto apply = std::make_shared<Apply>();
    apply->change_ = std::move(change);
    apply->done_ = std::move(done);
    const auto checked = parse(apply->change_.sources_, ConfigVersion{1});
    if (!isOk(checked)) {
        clock_.schedule(Duration::zero(),
                        [apply, error = errorOf(checked)] { apply->done_(error); });
        return;
    }
    apply->content_ = encode(apply->change_.sources_);
    apply->record_.hash_ = contentHash(apply->content_);
    apply->record_.note_ = apply->change_.note_;
    apply->record_.revertTo_ = apply->change_.revertTo_;
    readCurrentFor(apply);
}

void ConfigStore::rollback(ConfigVersion target, ConfigVersion expected, ChangeNote note,
                           Callback<ConfigVersion> done)
{
    fetchVersion(target,
                 [this, alive = std::weak_ptr(alive_), target, expected, note = std::move(note),
                  done = std::move(done)](const Result<StoredConfig> &stored) {
                     if (alive.expired())
                         return;
                     if (!isOk(stored)) {
                         done(errorOf(stored));
                         return;
                     }
                     auto sources = decodeSources(valueOf(stored).record_.content_);
                     if (!isOk(sources))
                         done(errorOf(sources));
                     else
                         apply({valueOf(std::move(sources)), expected, note, target}, done);
                 });
}

void ConfigStore::readCurrentFor(const ApplyPtr &apply)
{
    ++apply->reads_;
    poll(RowVersion{}, [this, apply](const Result<std::optional<StoredConfig>> &result) {
        if (isOk(result))
            decide(apply, valueOf(result));
        else
            apply->done_(errorOf(result));
    });
}

void ConfigStore::decide(const ApplyPtr &apply, const std::optional<StoredConfig> &current)
{
    const ConfigVersion expected = apply->change_.expected_;
    const ConfigVersion found = current ? current->record_.version_ : ConfigVersion{};
    if (current && current->record_.hash_ == apply->record_.hash_) {
        apply->done_(found);
        return;
    }
    if (found.value() > expected.value()) {
        apply->done_(Error(ConfigConflict{expected, found}));
        return;
    }
    if (found.value() < expected.value()) {
        if (apply->reads_ == mostReads) {
            apply->done_(
                Error(NotFound{"configuration version " + std::to_string(expected.value())}));
            return;
        }
        clock_.schedule(rereadDelay, [this, alive = std::weak_ptr(alive_), apply] {
            if (!alive.expired())
                readCurrentFor(apply);
        });
        return;
    }
    apply->record_.version_ = found.next();
    apply->row_ = current ? current->row_ : RowVersion{};
    if (apply->content_.size() > inlineBytes) {
        putContent(apply);
        return;
    }
    apply->record_.content_ = apply->content_;
    commit(apply);
}

void ConfigStore::putContent(const ApplyPtr &apply)
{
    objects_.put(apply->record_.objectName(), apply->content_,
                 [this, alive = std::weak_ptr(alive_), apply](const Result<Done> &result) {
                     if (alive.expired())
                         return;
                     if (isOk(result))
                         commit(apply);
                     else
                         apply->done_(errorOf(result));
                 });
}

void ConfigStore::commit(const ApplyPtr &apply)
{
    const std::string value = encode(apply->record_);
    const std::uint64_t version = apply->record_.version_.value();
    platform::Transaction transaction;
    apply->writer_ = tokens_.next();
    transaction.writer_ = apply->writer_;
    transaction.conditions_ = {{impl::currentRow(), apply->row_},
                               {impl::versionRow(apply->record_.version_), RowVersion{}}};
    transaction.writes_
        = {{impl::currentRow(), value}, {impl::versionRow(apply->record_.version_), value}};
    if (version > historyLength)
        transaction.writes_.push_back(
            {impl::versionRow(ConfigVersion(version - historyLength)), std::nullopt});
    commit_.commit(std::move(transaction),
                   [this, apply](const Result<platform::CommitReceipt> &result) {
                       if (isOk(result))
                           apply->done_(apply->record_.version_);
                       else
                           resolve(apply, errorOf(result));
                   });
}

void ConfigStore::resolve(const ApplyPtr &apply, const Error &error)
{
    const bool isConflict = std::holds_alternative<StoreConflict>(error);
    const bool isUnknown = std::holds_alternative<StoreAnswerLost>(error);
    if (!isConflict && !isUnknown) {
        apply->done_(error);
        return;
    }
    // The version's row is written once, so whoever wrote it holds the version for good.
    auto judge = [this, alive = std::weak_ptr(alive_), apply, error,
                  isConflict](const Result<std::vector<platform::Row>> &rows) {
        if (alive.expired())
            return;
        const bool isThere = isOk(rows) && !valueOf(rows).empty();
        if (isThere && valueOf(rows).front().writer_ == apply->writer_)
            apply->done_(apply->record_.version_);
        else if (isThere || isConflict)
            reportConflict(apply);
        else
            apply->done_(error);
    };
    tables_.read({impl::versionRow(apply->record_.version_)}, std::move(judge));
}

void ConfigStore::reportConflict(const ApplyPtr &apply)
{
    poll(RowVersion{}, [apply](const Result<std::optional<StoredConfig>> &result) {
        const ConfigVersion expected = apply->change_.expected_;
        ConfigVersion winner = expected.next(); // the least it can be if the read is stale
        if (isOk(result) && valueOf(result))
            winner = ConfigVersion(
                std::max(winner.value(), valueOf(result)->record_.version_.value()));
        apply->done_(Error(ConfigConflict{expected, winner}));
    });
}

} // namespace cardamombay::config
