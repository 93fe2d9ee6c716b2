/// \file
/// \brief Seams to whoever knows how configurations and endpoint entries are written.
#pragma once

#include <cardamombay/core/result.hpp>
#include <cardamombay/serving/configuration.hpp>
#include <cardamombay/serving/endpoint.hpp>

#include <optional>
#include <string_view>

namespace cardamombay::serving {

/// \brief Decodes what operators and endpoints wrote into the platform's store.
class StoreFormat
{
public:
    StoreFormat() = default;
    StoreFormat(const StoreFormat &) = delete;
    StoreFormat &operator=(const StoreFormat &) = delete;
    virtual ~StoreFormat() = default;

    /// \brief The table and key under which operators keep the configuration.
    [[nodiscard]] virtual std::string_view configurationTable() const = 0;
    [[nodiscard]] virtual std::string_view configurationKey() const = 0;

    /// \brief The table in which endpoints register themselves under their ids.
    [[nodiscard]] virtual std::string_view endpointTable() const = 0;

    /// \brief The availability zone that a row beside the configuration evacuates while it exists.
    /// \returns nothing if the row of that key is about something else.
    [[nodiscard]] virtual std::optional<AvailabilityZone>
    evacuatedZone(std::string_view key) const = 0;

    /// \returns the configuration, or MalformedMessage.
    [[nodiscard]] virtual Result<Configuration> configuration(std::string_view text) const = 0;

    /// \returns the endpoint, or MalformedMessage.
    [[nodiscard]] virtual Result<Endpoint> endpoint(const VmId &id,
                                                    std::string_view text) const = 0;
};

} // namespace cardamombay::serving
