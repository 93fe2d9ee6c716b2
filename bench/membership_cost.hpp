/// \file
/// \brief What the benches of membership and watching share: sizes, cost of messages, fits.
#pragma once

#include "support/fake_fleet.hpp"

#include <cardamombay/rpc/digest_codec.hpp>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <cstdio>
#include <ctime>
#include <string>
#include <vector>

#include <malloc.h>

namespace cardamombay::bench {

/// \name Bytes around a digest, counted from the text that client and listener write
/// \{
constexpr std::size_t requestOverhead = 140 + 55;  ///< HTTP head, JSON-RPC envelope.
constexpr std::size_t responseOverhead = 110 + 35; ///< HTTP head, JSON-RPC envelope.
/// \}

/// \brief The fleets that are measured: a site has about 23 entry VMs at the two-year size.
inline std::vector<support::FleetShape> shapes(const std::string &charts)
{
    return {{7, 3, 1, charts},
            {35, 3, 1, charts},
            {70, 3, 1, charts},
            {140, 6, 2, charts},
            {340, 15, 4, charts}};
}

/// \brief Processor time of this thread.
inline double processorSeconds()
{
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

/// \brief Bytes allocated by this process.
inline double heapBytes()
{
    return static_cast<double>(mallinfo2().uordblks);
}

/// \brief Counts messages; encodes and decodes each as the two ends would.
class MessageMeter
{
public:
    void attach(support::FakePeerNetwork &network)
    {
        network.setObserver([this](const EntryId &, const membership::Digest &digest,
                                   bool isAnswer) { take(digest, isAnswer); });
    }
    void reset() { *this = MessageMeter(); }

    std::uint64_t messages_ = 0;
    std::uint64_t bytes_ = 0;
    std::uint64_t digestBytes_ = 0;
    std::uint64_t malformed_ = 0;

private:
    void take(const membership::Digest &digest, bool isAnswer)
    {
        const std::string text = rpc::encodeDigest(digest);
        ++messages_;
        digestBytes_ += text.size();
        bytes_ += text.size() + (isAnswer ? responseOverhead : requestOverhead);
        if (!isOk(rpc::decodeDigest(text, "bench")))
            ++malformed_;
    }
};

/// \brief Straight line through points, by least squares.
struct LinearFit
{
    double intercept_ = 0;
    double slope_ = 0;
    double residual_ = 0; ///< Root of the mean square.
};

inline LinearFit fit(const std::vector<double> &x, const std::vector<double> &y)
{
    const auto n = static_cast<double>(x.size());
    double sumX = 0;
    double sumY = 0;
    double sumXx = 0;
    double sumXy = 0;
    for (std::size_t i = 0; i < x.size(); ++i) {
        sumX += x[i];
        sumY += y[i];
        sumXx += x[i] * x[i];
        sumXy += x[i] * y[i];
    }
    LinearFit line;
    line.slope_ = (n * sumXy - sumX * sumY) / (n * sumXx - sumX * sumX);
    line.intercept_ = (sumY - line.slope_ * sumX) / n;
    double squares = 0;
    for (std::size_t i = 0; i < x.size(); ++i) {
        const double error = y[i] - line.intercept_ - line.slope_ * x[i];
        squares += error * error;
    }
    line.residual_ = std::sqrt(squares / n);
    return line;
}

inline void printFit(const char *what, const std::vector<double> &x, const std::vector<double> &y)
{
    const LinearFit line = fit(x, y);
    std::printf("fit,%s,intercept=%.4g,slope=%.4g,rms_residual=%.4g\n", what, line.intercept_,
                line.slope_, line.residual_);
}

/// \brief The value below which the share \p part of \p values lies.
inline double percentile(std::vector<double> values, double part)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    const auto index = static_cast<std::size_t>(part * static_cast<double>(values.size() - 1));
    return values[index];
}

} // namespace cardamombay::bench
