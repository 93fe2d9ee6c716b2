#include <cardamombay/metrics/registry.hpp>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace cardamombay::metrics {

namespace {

prometheus::Labels labelsOf(const std::vector<Detail> &details)
{
    prometheus::Labels labels;
    for (const auto &detail : details)
        labels.emplace(detail.key_, detail.value_);
    return labels;
}

} // namespace

void Counter::increment(double by) const
{
    counter_->Increment(by);
}

double Counter::value() const
{
    return counter_->Value();
}

void Gauge::set(double value) const
{
    gauge_->Set(value);
}

void Gauge::add(double by) const
{
    gauge_->Increment(by);
}

double Gauge::value() const
{
    return gauge_->Value();
}

void Histogram::observe(double value) const
{
    histogram_->Observe(value);
}

Registry::Registry()
    : registry_(std::make_unique<prometheus::Registry>())
{
}

Registry::~Registry() = default;

Counter Registry::counter(const std::string &name, const std::string &help,
                          const std::vector<Detail> &labels)
{
    auto &family = prometheus::BuildCounter().Name(name).Help(help).Register(*registry_);
    return Counter(family.Add(labelsOf(labels)));
}

Gauge Registry::gauge(const std::string &name, const std::string &help,
                      const std::vector<Detail> &labels)
{
    auto &family = prometheus::BuildGauge().Name(name).Help(help).Register(*registry_);
    return Gauge(family.Add(labelsOf(labels)));
}

Histogram Registry::histogram(const std::string &name, const std::string &help,
                              const std::vector<double> &buckets, const std::vector<Detail> &labels)
{
    auto &family = prometheus::BuildHistogram().Name(name).Help(help).Register(*registry_);
    return Histogram(family.Add(labelsOf(labels), buckets));
}

std::string Registry::text() const
{
    const prometheus::TextSerializer serializer;
    return serializer.Serialize(registry_->Collect());
}

} // namespace cardamombay::metrics
