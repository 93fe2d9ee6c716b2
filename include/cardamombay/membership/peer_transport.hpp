/// \file
/// \brief How a digest reaches another entry VM.
/// \details The seam through which digests leave. Implementations neither retry nor judge; a lost
/// digest is an error of the callback.
#pragma once

#include <cardamombay/core/address.hpp>
#include <cardamombay/core/result.hpp>
#include <cardamombay/membership/digest.hpp>

namespace cardamombay::membership {

/// \brief Sends digests; the answer is the peer's digest. Answers arrive on the control thread.
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
