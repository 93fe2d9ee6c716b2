/// \file
/// \brief Metrics of the daemon: counters, gauges and histograms, shown in Prometheus' text format.
/// \details Handles are cheap to copy and may be used from any thread while the registry lives.
#pragma once

#include <cardamombay/core/decision_log.hpp>

#include <memory>
#include <string>
#include <vector>

namespace prometheus {
class Counter;
class Gauge;
class Histogram;
class Registry;
} // namespace prometheus

namespace cardamombay::metrics {

/// \brief Number that only rises.
class Counter
{
public:
    void increment(double by = 1) const;
    [[nodiscard]] double value() const;

private:
    friend class Registry;
    explicit Counter(prometheus::Counter &counter)
        : counter_(&counter)
    {
    }
    prometheus::Counter *counter_;
};

/// \brief Number that rises and falls.
class Gauge
{
public:
    void set(double value) const;
    void add(double by) const;
    [[nodiscard]] double value() const;

private:
    friend class Registry;
    explicit Gauge(prometheus::Gauge &gauge)
        : gauge_(&gauge)
    {
    }
    prometheus::Gauge *gauge_;
};

/// \brief Distribution over fixed buckets.
class Histogram
{
public:
    void observe(double value) const;

private:
    friend class Registry;
    explicit Histogram(prometheus::Histogram &histogram)
        : histogram_(&histogram)
    {
    }
    prometheus::Histogram *histogram_;
};

/// \brief Owner of all metrics.
/// \code
/// metrics::Registry registry;
/// const auto finished = registry.counter("cardamombay_requests_total", "Requests.", {});
/// finished.increment();
/// \endcode
class Registry
{
public:
    Registry();
    Registry(const Registry &) = delete;
    Registry &operator=(const Registry &) = delete;
    ~Registry();

    /// \name Metrics by name and labels; the same name and labels give the same metric
    /// \{
    Counter counter(const std::string &name, const std::string &help,
                    const std::vector<Detail> &labels = {});
    Gauge gauge(const std::string &name, const std::string &help,
                const std::vector<Detail> &labels = {});
    /// \param buckets upper bounds, rising.
    Histogram histogram(const std::string &name, const std::string &help,
                        const std::vector<double> &buckets, const std::vector<Detail> &labels = {});
    /// \}

    /// \brief All metrics in Prometheus' text format.
    [[nodiscard]] std::string text() const;

private:
    std::unique_ptr<prometheus::Registry> registry_;
};

} // namespace cardamombay::metrics
