/// \file
/// \brief Decides whether engines should switch from one model to another.
/// \details The configured shares describe the demand at the first start; the actual demand may
/// shift later. The decision is a pure function of capacity and demand. The planner selects the
/// engines.
#pragma once

#include <cardamombay/serving/configuration.hpp>

#include <optional>
#include <span>

namespace cardamombay::serving {

/// \brief Capacity and demand of one model.
struct ModelLoad
{
    const Model *model_ = nullptr;
    double groups_ = 0; ///< Serving or being formed; a group across fabric domains counts less.
    double demand_ = 0; ///< Demand, in groups.

    /// \returns the ratio of capacity to demand after the loss of one group; below 1 requests
    /// queue.
    /// \param more number of groups to add, or to remove if negative.
    [[nodiscard]] double coverageAfterLoss(double more = 0) const;
};

/// \brief Conversion of one group of a model into groups of another.
struct Conversion
{
    const Model *from_ = nullptr;
    const Model *to_ = nullptr;

    /// \returns the number of groups of \p to_ that the engines of one group of \p from_ form; 0 if
    /// engines would be left over.
    [[nodiscard]] std::size_t groupsMade() const;
};

/// \brief Policy that selects the next conversion.
class ModelMix
{
public:
    ModelMix() = default;
    ModelMix(const ModelMix &) = delete;
    ModelMix &operator=(const ModelMix &) = delete;
    virtual ~ModelMix() = default;

    /// \returns the most beneficial conversion; nothing if none is beneficial.
    [[nodiscard]] virtual std::optional<Conversion>
    next(std::span<const ModelLoad> models) const = 0;

    /// \returns the most beneficial conversion if hosts have the other model staged, so that a
    /// conversion takes seconds instead of a load; nothing if none is beneficial.
    [[nodiscard]] virtual std::optional<Conversion>
    nextPrepared(std::span<const ModelLoad> models) const = 0;
};

/// \brief Never converts: engines keep their initial models.
class FixedMix final : public ModelMix
{
public:
    [[nodiscard]] std::optional<Conversion> next(std::span<const ModelLoad> models) const override;
    [[nodiscard]] std::optional<Conversion>
    nextPrepared(std::span<const ModelLoad> models) const override;
};

/// \brief Converts groups of a model with spare capacity into groups of a model that lacks
/// capacity.
class DemandMix final : public ModelMix
{
public:
    [[nodiscard]] std::optional<Conversion> next(std::span<const ModelLoad> models) const override;
    [[nodiscard]] std::optional<Conversion>
    nextPrepared(std::span<const ModelLoad> models) const override;
};

} // namespace cardamombay::serving
