/// \file
/// \brief TCP proxy in front of one address that spoils what passes, as the test says.
#pragma once

#include <cardamombay/core/address.hpp>
#include <cardamombay/core/time.hpp>

#include <cstdint>
#include <memory>
#include <optional>

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace cardamombay::support {

/// \brief Faults of one direction; they hold for each connection on its own.
struct DirectionFaults
{
    Duration delay_{};                        ///< Each byte arrives this much later.
    bool isPartitioned_ = false;              ///< Bytes are held until this ends, then arrive late.
    bool drops_ = false;                      ///< Bytes vanish; the connection ends with the fault.
    std::optional<std::uint64_t> cutAfter_{}; ///< Resets the connection after this many bytes.
    std::uint64_t bytesPerSecond_ = 0;        ///< Zero is no limit.
};

/// \brief Faults of a link.
struct LinkFaults
{
    DirectionFaults toServer_{};
    DirectionFaults toClient_{};
    bool refusesConnections_ = false; ///< New connections are reset.
    bool ignoresConnections_ = false; ///< New connections are taken and never served.
    /// \name HTTP answers, counted down with each use
    /// \{
    std::uint32_t duplicateAnswers_ = 0; ///< Sent twice in a row.
    std::uint32_t replayAnswers_ = 0;    ///< Sent again when the connection's next request passes.
    std::uint32_t swapAnswers_ = 0; ///< Held until another connection's answer, then exchanged.
    /// \}
};

/// \brief What passed so far.
struct LinkCounters
{
    std::uint64_t connections_ = 0;
    std::uint64_t open_ = 0;
    std::uint64_t bytesToServer_ = 0;
    std::uint64_t bytesToClient_ = 0;
};

/// \brief One link; runs on the event loop of the test or of its own program.
/// \code
/// support::FaultProxy link(context, store.address());
/// HttpTableStore tables(client, {link.address()});
/// link.setFaults({.toClient_ = {.isPartitioned_ = true}});
/// \endcode
class FaultProxy
{
public:
    FaultProxy(boost::asio::io_context &context, Address target,
               const Address &listen = {"127.0.0.1", 0});
    ~FaultProxy();
    FaultProxy(const FaultProxy &) = delete;
    FaultProxy &operator=(const FaultProxy &) = delete;

    /// \brief Where to connect in place of the target.
    [[nodiscard]] Address address() const;
    [[nodiscard]] LinkCounters counters() const;

    /// \brief Replaces all faults; counts of bytes for a cut start anew.
    void setFaults(const LinkFaults &faults);

    /// \brief Resets every open connection on both sides.
    void cutConnections();

    /// \brief Ends the server's side of every open connection; the client is not told.
    void leaveHalfOpen();

private:
    struct Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace cardamombay::support
