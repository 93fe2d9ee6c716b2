#include <cardamombay/config/config_parser.hpp>

#include "config/draft.hpp"

#include <algorithm>
#include <set>

namespace cardamombay::config {

namespace {

using impl::Draft;
using impl::Problems;
using impl::ServiceDraft;

void checkFileNames(const ConfigSources &sources, Problems &problems)
{
    std::set<std::string> names{sources.base_.baseName()};
    for (const auto &overlay : sources.overlays_) {
        if (!names.insert(overlay.baseName()).second)
            problems.add({overlay.file_, 1, 1}, "",
                         "another file is named " + overlay.baseName() + " too",
                         "give every file a name of its own, such as the site's");
    }
}

void checkCapacity(const Draft &draft, const std::string &file, Problems &problems)
{
    for (const ServiceDraft &item : draft.services_) {
        const auto &capacity = item.service_.capacity_;
        const bool hasAny
            = std::any_of(capacity.begin(), capacity.end(),
                          [](const SiteCapacity &site) { return site.replicas_ != 0; });
        if (hasAny)
            continue;
        SourcePosition position = item.position_;
        position.file_ = file;
        problems.add(position, "services." + item.service_.name_.text(),
                     "the service has no replica at any site",
                     "give replicas here or in an overlay, or remove the service");
    }
}

Configuration read(const ConfigSources &sources, Problems &problems)
{
    checkFileNames(sources, problems);
    const auto base = impl::parseToml(sources.base_.text_, sources.base_.file_, problems);
    if (!base)
        return {};
    Draft draft = impl::readBase(*base, sources.base_.file_, problems);
    for (const auto &overlay : sources.overlays_) {
        if (const auto document = impl::parseToml(overlay.text_, overlay.file_, problems))
            impl::readOverlay(*document, overlay.file_, draft, problems);
    }
    if (sources.overlays_.empty())
        problems.add({sources.base_.file_, 1, 1}, "", "there is no site",
                     "give one overlay with 'site' and 'region' for each site");
    else
        checkCapacity(draft, sources.base_.file_, problems);
    for (auto &item : draft.services_)
        draft.configuration_.services_.push_back(std::move(item.service_));
    return std::move(draft.configuration_);
}

} // namespace

Result<Configuration> parse(const ConfigSources &sources, ConfigVersion version)
{
    Problems problems;
    Configuration configuration = read(sources, problems);
    if (!problems.isEmpty())
        return Error(problems.sorted().front());
    configuration.version_ = version;
    return configuration;
}

std::vector<InvalidInput> check(const ConfigSources &sources)
{
    Problems problems;
    static_cast<void>(read(sources, problems));
    return problems.sorted();
}

} // namespace cardamombay::config
