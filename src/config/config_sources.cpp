#include <cardamombay/config/config_sources.hpp>

#include <cardamombay/config/text_file.hpp>

#include <boost/json.hpp>

#include <algorithm>

namespace cardamombay::config {

namespace json = boost::json;

namespace {

json::object toJson(const SourceFile &source)
{
    return {{"file", source.baseName()}, {"text", source.text_}};
}

SourceFile sourceOf(const json::value &value)
{
    const json::object &object = value.as_object();
    return {json::value_to<std::string>(object.at("file")),
            json::value_to<std::string>(object.at("text"))};
}

} // namespace

std::string SourceFile::baseName() const
{
    const auto slash = file_.rfind('/');
    return slash == std::string::npos ? file_ : file_.substr(slash + 1);
}

Result<ConfigSources> loadSources(const std::string &base, std::vector<std::string> overlays)
{
    std::sort(overlays.begin(), overlays.end());
    ConfigSources sources;
    auto text = readTextFile(base);
    if (!isOk(text))
        return errorOf(text);
    sources.base_ = {base, valueOf(std::move(text))};
    for (const auto &file : overlays) {
        text = readTextFile(file);
        if (!isOk(text))
            return errorOf(text);
        sources.overlays_.push_back({file, valueOf(std::move(text))});
    }
    return sources;
}

std::string encode(const ConfigSources &sources)
{
    auto overlays = sources.overlays_;
    std::sort(overlays.begin(), overlays.end(),
              [](const SourceFile &a, const SourceFile &b) { return a.baseName() < b.baseName(); });
    json::array list;
    for (const auto &overlay : overlays)
        list.push_back(toJson(overlay));
    return json::serialize(json::object{{"base", toJson(sources.base_)}, {"overlays", list}});
}

Result<ConfigSources> decodeSources(std::string_view text)
{
    try {
        const json::value document = json::parse(text);
        ConfigSources sources;
        sources.base_ = sourceOf(document.as_object().at("base"));
        for (const auto &overlay : document.as_object().at("overlays").as_array())
            sources.overlays_.push_back(sourceOf(overlay));
        return sources;
    } catch (const std::exception &error) {
        return Error(MalformedMessage{"configuration sources", error.what()});
    }
}

} // namespace cardamombay::config
