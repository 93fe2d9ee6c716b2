/// \file
/// \brief Serves the traffic threads' claims from the claim book.
/// \details Translates the messages of traffic/claim.hpp; decides nothing. Lives on the control
/// thread.
#pragma once

#include <cardamombay/claims/claim_book.hpp>
#include <cardamombay/traffic/claim.hpp>

#include <string>
#include <unordered_map>

namespace cardamombay::claims {

/// \brief Claims of the traffic threads, by request.
class ClaimDesk
{
public:
    explicit ClaimDesk(ClaimBook &book)
        : book_(book)
    {
    }

    /// \brief Claims the key of a request; the answer comes once, on the control thread.
    void claim(const traffic::ClaimRequest &request, traffic::ClaimCallback done);

    /// \brief Ends the claim of a request; does nothing if it holds none.
    void complete(traffic::ClaimCompletion completion);

private:
    ClaimBook &book_;
    std::unordered_map<RequestId, ClaimNumber> granted_;
};

} // namespace cardamombay::claims
