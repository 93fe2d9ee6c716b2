/// \file
/// \brief Interface to the encoding of configurations and endpoint entries.
#pragma once

#include <cardamombay/core/result.hpp>
#include <cardamombay/serving/configuration.hpp>
#include <cardamombay/serving/endpoint.hpp>

#include <optional>
#include <string_view>

namespace cardamombay::serving {

/// \brief Decodes rows that operators and endpoints write to the platform's store.
class StoreFormat
{
public:
    StoreFormat() = default;
    StoreFormat(const StoreFormat &) = delete;
    StoreFormat &operator=(const StoreFormat &) = delete;
    virtual ~StoreFormat() = default;

    /// \brief Table and key of the configuration.
    [[nodiscard]] virtual std::string_view configurationTable() const = 0;
    [[nodiscard]] virtual std::string_view configurationKey() const = 0;

    /// \brief The table in which endpoints register themselves, keyed by their id.
    [[nodiscard]] virtual std::string_view endpointTable() const = 0;

    /// \brief The availability zone that is evacuated while a row with \p key exists in the
    /// configuration table.
    /// \returns nothing if \p key does not denote an evacuation.
    [[nodiscard]] virtual std::optional<AvailabilityZone>
    evacuatedZone(std::string_view key) const = 0;

    /// \returns the configuration, or MalformedMessage.
    [[nodiscard]] virtual Result<Configuration> configuration(std::string_view text) const = 0;

    /// \returns the endpoint, or MalformedMessage.
    [[nodiscard]] virtual Result<Endpoint> endpoint(const VmId &id,
                                                    std::string_view text) const = 0;
};

} // namespace cardamombay::serving
