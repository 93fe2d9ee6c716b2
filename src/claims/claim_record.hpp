/// \file
/// \brief State and actions of one claim; the state machine is defined in charts/claim.toml.
#pragma once

#include <cardamombay/claims/claim_registry.hpp>

#include <functional>
#include <optional>
#include <string_view>
#include <vector>

namespace cardamombay::claims {

/// \brief A claim that waits until the current claim on its key is done.
struct WaitingClaim
{
    ClaimRequest request_;
    Callback<ClaimAnswer> done_;
    bool isAnswered_ = false;
};

/// \brief State of one claim at its entry VM.
class ClaimRecord : public std::enable_shared_from_this<ClaimRecord>
{
public:
    ClaimRecord(ClaimRegistry &registry, ClaimNumber number, ClaimRequest request,
                Callback<ClaimAnswer> done);

    static chart::Binding<ClaimRecord> binding();

    /// \brief Writes the claim.
    void start();
    void complete(StoredOutcome stored);
    void release(std::function<void()> done);
    void addWaiter(ClaimRequest request, Callback<ClaimAnswer> done);

    [[nodiscard]] bool isIn(std::string_view state) const { return machine_.isIn(state); }
    [[nodiscard]] const ClaimRequest &request() const { return request_; }
    [[nodiscard]] const StoredOutcome &stored() const { return row_.stored_; }
    [[nodiscard]] ClaimNumber number() const { return row_.owner_.claim_; }
    [[nodiscard]] const platform::RowKey &key() const { return key_; }

    /// \brief Callbacks to run once the claim is done.
    std::vector<std::shared_ptr<WaitingClaim>> takeWaiters() { return std::move(waiters_); }
    std::vector<std::function<void()>> takeReleaseCallbacks()
    {
        return std::move(releaseCallbacks_);
    }

private:
    /// Handles an event, and removes the claim from the registry once it is done.
    void handle(std::string_view event);
    void handleResult(RowChangeResult result);
    void answer(Result<ClaimAnswer> answer);

    /// \name Actions
    /// \{
    void grant();
    void answerTaken();
    void refuse();
    void keepAnswer();
    void writeOutcome();
    void writeRelease();
    void schedule(Duration delay);
    void readRow();
    /// \}

    void write(RowChange change);

    ClaimRegistry &registry_;
    ClaimRequest request_;
    Callback<ClaimAnswer> done_;
    platform::RowKey key_;
    ClaimRow row_;
    RowVersion version_; ///< Version of the row as last written by this claim.
    chart::Machine<ClaimRecord> machine_;
    TimePoint startedAt_{};
    std::optional<platform::Row> taken_;
    Error lastError_;
    std::uint32_t retries_ = 0;
    std::vector<std::shared_ptr<WaitingClaim>> waiters_;
    std::vector<std::function<void()>> releaseCallbacks_;
};

} // namespace cardamombay::claims
