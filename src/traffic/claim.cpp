#include <cardamombay/traffic/claim.hpp>

namespace cardamombay::traffic {

std::string_view nameOf(ClaimVerdict verdict)
{
    switch (verdict) {
    case ClaimVerdict::Granted:
        return "granted";
    case ClaimVerdict::Finished:
        return "finished";
    case ClaimVerdict::Pending:
        return "pending";
    case ClaimVerdict::Mismatch:
        return "mismatch";
    case ClaimVerdict::Unavailable:
        return "unavailable";
    }
    return "unavailable";
}

} // namespace cardamombay::traffic
