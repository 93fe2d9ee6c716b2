/// \file
/// \brief Forwards claims of the traffic side to the claim book.
#pragma once

#include <cardamombay/claims/claim_registry.hpp>
#include <cardamombay/traffic/claim.hpp>

#include <map>

namespace cardamombay::control::impl {

/// \brief Converts between the message types of traffic and the claim book; used on the control
/// thread only.
class ClaimAdapter
{
public:
    explicit ClaimAdapter(claims::ClaimRegistry &book)
        : book_(book)
    {
    }

    void claim(const traffic::ClaimRequest &request, traffic::ClaimCallback done);
    void complete(const traffic::ClaimCompletion &completion);

private:
    [[nodiscard]] traffic::ClaimAnswer answerOf(const RequestId &request,
                                                const Result<claims::ClaimAnswer> &result);

    claims::ClaimRegistry &book_;
    std::map<RequestId, claims::ClaimNumber> granted_;
};

} // namespace cardamombay::control::impl
