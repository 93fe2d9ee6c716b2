/// \file
/// \brief Seam to whoever knows how many requests a second endpoints take from all entry VMs.
#pragma once

#include <cardamombay/serving/endpoint.hpp>

#include <optional>
#include <vector>

namespace cardamombay::serving {

/// \brief What a reservation desk asks about endpoints.
class SendRates
{
public:
    SendRates() = default;
    SendRates(const SendRates &) = default;
    SendRates(SendRates &&) = default;
    SendRates &operator=(const SendRates &) = default;
    SendRates &operator=(SendRates &&) = default;
    virtual ~SendRates() = default;

    /// \returns requests a second from all entry VMs together; nothing if the rate is not bounded.
    [[nodiscard]] virtual std::optional<double>
    perSecond(const EndpointIncarnation &endpoint) const = 0;
};

/// \brief The lowest rate that any of several sources names.
class LowestRate final : public SendRates
{
public:
    /// \param sources outlive the object.
    explicit LowestRate(std::vector<const SendRates *> sources);

    [[nodiscard]] std::optional<double>
    perSecond(const EndpointIncarnation &endpoint) const override;

private:
    std::vector<const SendRates *> sources_;
};

} // namespace cardamombay::serving
