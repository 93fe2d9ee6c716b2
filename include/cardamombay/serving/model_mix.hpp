/// \file
/// \brief Decides whether engines of one model should serve another one.
/// \details Operators' shares hold for the work at the first start; callers ask for another mix
/// later. Pure: takes what serves and what is asked for. Which engines change is the planner's.
#pragma once

#include <cardamombay/serving/configuration.hpp>

#include <optional>
#include <span>

namespace cardamombay::serving {

/// \brief What serves a model, and what callers ask of it.
struct ModelLoad
{
    const Model *model_ = nullptr;
    double groups_ = 0; ///< That serve or will; one over fabric domains counts less.
    double demand_ = 0; ///< Groups' worth of work.

    /// \returns groups per group's worth of work once one of them is lost; below 1 callers wait for
    /// each other.
    /// \param more groups that are added, or taken away if it is negative.
    [[nodiscard]] double coverageAfterLoss(double more = 0) const;
};

/// \brief A group of one model becomes groups of another.
struct Conversion
{
    const Model *from_ = nullptr;
    const Model *to_ = nullptr;

    /// \returns groups of \p to_ that the engines of a group of \p from_ make; none if engines
    /// would be left over.
    [[nodiscard]] std::size_t groupsMade() const;
};

/// \brief Chooses the conversion that is due.
class ModelMix
{
public:
    ModelMix() = default;
    ModelMix(const ModelMix &) = delete;
    ModelMix &operator=(const ModelMix &) = delete;
    virtual ~ModelMix() = default;

    /// \returns the conversion that helps callers most; nothing if none does.
    [[nodiscard]] virtual std::optional<Conversion>
    next(std::span<const ModelLoad> models) const = 0;
};

/// \brief Engines keep the models that they began with.
class FixedMix final : public ModelMix
{
public:
    [[nodiscard]] std::optional<Conversion> next(std::span<const ModelLoad> models) const override;
};

/// \brief Groups of a model that is served better become groups of one that is served worse.
class DemandMix final : public ModelMix
{
public:
    [[nodiscard]] std::optional<Conversion> next(std::span<const ModelLoad> models) const override;
};

} // namespace cardamombay::serving
