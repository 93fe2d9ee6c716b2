/// \file
/// \brief Carries claims of the traffic side to the claim book.
#pragma once

#include <cardamombay/claims/claim_registry.hpp>
#include <cardamombay/traffic/claim.hpp>

#include <map>

namespace cardamombay::control::impl {

/// \brief Translates between traffic's messages and the book's; lives on the control thread.
class ClaimDesk
{
public:
    explicit ClaimDesk(claims::ClaimRegistry &book)
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
