/// \file
/// \brief Interface for looking up endpoints' request rate limits.
#pragma once

#include <cardamombay/serving/endpoint.hpp>

#include <optional>
#include <vector>

namespace cardamombay::serving {

/// \brief Rate limits of endpoints, queried by the reservation coordinator.
class SendRates
{
public:
    SendRates() = default;
    SendRates(const SendRates &) = default;
    SendRates(SendRates &&) = default;
    SendRates &operator=(const SendRates &) = default;
    SendRates &operator=(SendRates &&) = default;
    virtual ~SendRates() = default;

    /// \returns requests per second from all entry VMs together; no value if unlimited.
    [[nodiscard]] virtual std::optional<double>
    perSecond(const EndpointIncarnation &endpoint) const = 0;
};

/// \brief Combines several sources and returns the lowest rate.
class LowestRate final : public SendRates
{
public:
    /// \param sources must outlive this object.
    explicit LowestRate(std::vector<const SendRates *> sources);

    [[nodiscard]] std::optional<double>
    perSecond(const EndpointIncarnation &endpoint) const override;

private:
    std::vector<const SendRates *> sources_;
};

} // namespace cardamombay::serving
