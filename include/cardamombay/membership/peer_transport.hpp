/// \file
/// \brief Transport interface for digests between entry VMs.
/// \details Implementations do not retry; they report a lost digest as an error to the callback.
#pragma once

#include <cardamombay/core/address.hpp>
#include <cardamombay/core/result.hpp>
#include <cardamombay/membership/digest.hpp>

namespace cardamombay::membership {

/// \brief Sends digests and returns the peer's digest as the answer, on the control thread.
class PeerTransport
{
public:
    PeerTransport() = default;
    PeerTransport(const PeerTransport &) = delete;
    PeerTransport &operator=(const PeerTransport &) = delete;
    virtual ~PeerTransport() = default;

    /// \brief Sends \p digest to the entry VM at \p address.
    virtual void exchange(Address address, Digest digest, Callback<Digest> done) = 0;
};

} // namespace cardamombay::membership
