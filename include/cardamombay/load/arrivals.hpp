/// \file
/// \brief Seeded arrivals of a workload: the same seed gives the same requests at the same times.
#pragma once

#include <cardamombay/core/random.hpp>
#include <cardamombay/load/http_caller.hpp>
#include <cardamombay/load/workload.hpp>

#include <optional>
#include <vector>

namespace cardamombay::load {

/// \brief One request to be sent, whatever became of those before it.
struct Arrival
{
    Duration at_{};            ///< Since the start of the run.
    std::size_t class_ = 0;    ///< Index into Workload::requests_.
    std::size_t team_ = 0;     ///< Index into Workload::teams_.
    std::uint32_t tokens_ = 0; ///< Asked for; zero for plain calls.
    Call call_;                ///< Without an address.
};

/// \brief Open-loop arrivals: a Poisson process whose rate follows the profile.
/// \details Times are drawn by thinning: candidates at the highest rate of the profile, each kept
/// with the share that its own rate has of the highest. Free of I/O and time.
/// \code
/// Arrivals arrivals(workload);
/// while (auto arrival = arrivals.next())
///     plan(std::move(*arrival));
/// \endcode
class Arrivals
{
public:
    explicit Arrivals(Workload workload);

    /// \brief The next arrival; none when the duration or the request count is used up.
    [[nodiscard]] std::optional<Arrival> next();

    /// \brief Rate of the profile at \p time of the run, in requests a second.
    [[nodiscard]] double rateAt(Duration time) const;

private:
    [[nodiscard]] bool drawTime();
    [[nodiscard]] std::uint32_t drawSize(SizeRange range);
    [[nodiscard]] Call makeCall(const RequestClass &request, const WorkloadTeam &team,
                                std::uint32_t &tokens);
    [[nodiscard]] std::string completionBody(const RequestClass &request, std::uint32_t tokens);
    [[nodiscard]] std::string drawPrompt(const RequestClass &request);

    Workload workload_;
    Random random_;
    double highestRate_ = 0;
    Duration time_{};
    std::uint32_t count_ = 0;
};

} // namespace cardamombay::load
