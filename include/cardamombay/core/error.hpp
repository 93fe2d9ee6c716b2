/// \file
/// \brief Typed errors; each kind carries its data and a remedy for the reader.
/// \details Decides nothing. Errors of libraries are turned into these kinds where they occur; an
/// error that says that nothing happened is only used where that is known, else the kind is an
/// "answer lost" or a timeout.
#pragma once

#include <cardamombay/core/ids.hpp>
#include <cardamombay/core/time.hpp>

#include <cstdint>
#include <ostream>
#include <string>
#include <variant>

namespace cardamombay {

/// \brief Place in a text that an error points at; line and column start at 1, zero is unknown.
struct SourcePosition
{
    std::string file_;
    std::uint32_t line_ = 0;
    std::uint32_t column_ = 0;

    friend bool operator==(const SourcePosition &, const SourcePosition &) = default;
    friend std::ostream &operator<<(std::ostream &out, const SourcePosition &position);
};

/// \name Platform errors
/// \{

/// \brief The table service or object store did not take the request; it was not carried out.
struct StoreUnavailable
{
    std::string operation_;
    std::string detail_;
};

/// \brief No answer came, so the write may or may not have taken effect.
struct StoreAnswerLost
{
    std::string operation_;
    std::string detail_;
};

/// \brief The service refused for rate; nothing was carried out.
struct StoreThrottled
{
    std::string operation_;
    Duration retryAfter_{};
};

/// \brief A condition of a transaction did not hold; nothing was written.
struct StoreConflict
{
    std::string table_;
    std::string key_;
    RowVersion expected_;
    RowVersion found_;
    WriterToken writer_; ///< Who wrote the row version that was found.
};
/// \}

/// \name Control errors
/// \{

/// \brief The planner lease is not held any longer, so nothing may be ordered under it.
struct LeaseLost
{
    FabricDomain domain_;
    Epoch epoch_;
};

/// \brief Another configuration was accepted first.
struct ConfigConflict
{
    ConfigVersion expected_;
    ConfigVersion winner_;
};

/// \brief A settings file, configuration or chart is refused whole.
struct InvalidInput
{
    SourcePosition position_;
    std::string key_;
    std::string problem_;
    std::string remedy_;
};
/// \}

/// \name Link errors
/// \{

/// \brief The endpoint could not be reached; no byte of the message left.
struct EndpointUnreachable
{
    VmId vm_;
    std::string detail_;
};

/// \brief The endpoint refused; it says that nothing was carried out.
struct EndpointRefused
{
    VmId vm_;
    std::uint32_t status_ = 0;
    std::string reason_;
};

/// \brief The endpoint wants nothing from this entry VM for now; nothing was carried out.
struct EndpointCoolingDown
{
    VmId vm_;
    Duration left_{};
};

/// \brief An entry VM could not be reached.
struct PeerUnreachable
{
    EntryId peer_;
    std::string detail_;
};

/// \brief No answer within the time allowed; the effect is unknown.
struct TimedOut
{
    std::string operation_;
    Duration after_{};
};

/// \brief A message does not follow its protocol.
struct MalformedMessage
{
    std::string source_;
    std::string detail_;
};

/// \brief What was asked for does not exist.
struct NotFound
{
    std::string what_;
};
/// \}

/// \brief Any error of the library.
using Error
    = std::variant<StoreUnavailable, StoreAnswerLost, StoreThrottled, StoreConflict, LeaseLost,
                   ConfigConflict, InvalidInput, EndpointUnreachable, EndpointRefused,
                   EndpointCoolingDown, PeerUnreachable, TimedOut, MalformedMessage, NotFound>;

/// \brief Short name of the kind, for logs and metrics, such as "store-unavailable".
[[nodiscard]] std::string_view kindOf(const Error &error);

/// \brief What happened, one line.
[[nodiscard]] std::string messageOf(const Error &error);

/// \brief What the reader can do about it, one line.
[[nodiscard]] std::string remedyOf(const Error &error);

std::ostream &operator<<(std::ostream &out, const Error &error);

} // namespace cardamombay
