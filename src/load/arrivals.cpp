#include <cardamombay/load/arrivals.hpp>

#include <cardamombay/core/hash.hpp>

#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

namespace cardamombay::load {

namespace json = boost::json;

namespace {

constexpr std::array<std::string_view, 16> words{
    "breath", "slow",  "light", "room",  "voice", "hearing", "date", "office",
    "letter", "quiet", "water", "night", "clerk", "summary", "meet", "answer"};

/// Word \p index of a text; a pure function, so that equal prefixes are equal texts.
std::string_view wordOf(std::uint64_t text, std::uint32_t index)
{
    return words[stableHash(std::to_string(index), text) % words.size()];
}

void appendWords(std::string &prompt, std::uint64_t text, std::uint32_t count)
{
    for (std::uint32_t i = 0; i < count; ++i) {
        prompt += wordOf(text, i);
        prompt += ' ';
    }
}

/// Index of an item, drawn by its share.
template<typename Item>
std::size_t drawByShare(Random &random, const std::vector<Item> &items)
{
    double sum = 0;
    for (const auto &item : items)
        sum += item.share_;
    double left = random.unit() * sum;
    for (std::size_t i = 0; i < items.size(); ++i) {
        left -= items[i].share_;
        if (left < 0)
            return i;
    }
    return items.size() - 1;
}

/// Number in [0, count), k with weight 1 / (k + 1).
std::uint32_t drawRank(Random &random, std::uint32_t count)
{
    double sum = 0;
    for (std::uint32_t k = 1; k <= count; ++k)
        sum += 1.0 / k;
    double left = random.unit() * sum;
    for (std::uint32_t k = 1; k <= count; ++k) {
        left -= 1.0 / k;
        if (left < 0)
            return k - 1;
    }
    return count - 1;
}

} // namespace

Arrivals::Arrivals(Workload workload)
    : workload_(std::move(workload))
    , random_(workload_.seed_)
{
    for (const auto &point : workload_.profile_)
        highestRate_ = std::max(highestRate_, point.rate_);
}

double Arrivals::rateAt(Duration time) const
{
    const auto &profile = workload_.profile_;
    const double span = toSeconds(profile.back().at_ - profile.front().at_);
    const double share = toSeconds(time) / toSeconds(workload_.duration_);
    const double at = toSeconds(profile.front().at_) + share * span;
    for (std::size_t i = 1; i < profile.size(); ++i) {
        const double end = toSeconds(profile[i].at_);
        if (at > end)
            continue;
        const double start = toSeconds(profile[i - 1].at_);
        const double part = (at - start) / (end - start);
        return profile[i - 1].rate_ + part * (profile[i].rate_ - profile[i - 1].rate_);
    }
    return profile.back().rate_;
}

bool Arrivals::drawTime()
{
    if (highestRate_ <= 0)
        return false;
    do {
        const double gap = -std::log(1 - random_.unit()) / highestRate_;
        time_ += fromSeconds(gap);
        if (time_ >= workload_.duration_)
            return false;
    } while (random_.unit() * highestRate_ >= rateAt(time_));
    return true;
}

std::optional<Arrival> Arrivals::next()
{
    if (count_ == workload_.maxRequests_ || !drawTime())
        return std::nullopt;
    ++count_;
    Arrival arrival;
    arrival.at_ = time_;
    arrival.class_ = drawByShare(random_, workload_.requests_);
    arrival.team_ = drawByShare(random_, workload_.teams_);
    arrival.call_ = makeCall(workload_.requests_[arrival.class_], workload_.teams_[arrival.team_],
                             arrival.tokens_);
    return arrival;
}

std::uint32_t Arrivals::drawSize(SizeRange range)
{
    const double least = std::max(1.0, static_cast<double>(range.least_));
    const double most = std::max(least, static_cast<double>(range.most_));
    const double drawn = least * std::pow(most / least, random_.unit());
    const auto rounded = static_cast<std::uint32_t>(std::lround(drawn));
    return std::clamp(rounded, range.least_, range.most_);
}

Call Arrivals::makeCall(const RequestClass &request, const WorkloadTeam &team,
                        std::uint32_t &tokens)
{
    Call call;
    call.timeout_ = workload_.timeout_;
    if (request.kind_ == RequestKind::Plain) {
        call.method_ = request.method_;
        call.target_ = request.path_;
        call.body_.assign(drawSize(request.bodyBytes_), 'x');
    } else {
        tokens = drawSize(request.tokens_);
        const bool isChat = request.kind_ == RequestKind::Chat;
        call.target_ = isChat ? "/v1/chat/completions" : "/v1/completions";
        call.body_ = completionBody(request, tokens);
        call.fields_.push_back({"Content-Type", "application/json"});
    }
    if (team.token_.empty())
        call.fields_.push_back({"X-Team", team.name_});
    else
        call.fields_.push_back({"Authorization", "Bearer " + team.token_});
    if (request.isNonIdempotent_)
        call.fields_.push_back({"X-Non-Idempotent", "true"});
    if (request.isKeyed_)
        call.fields_.push_back({"Idempotency-Key", "load-" + std::to_string(random_.bits())});
    if (request.deadline_ > Duration::zero()) {
        call.fields_.push_back(
            {"X-Deadline-Ms", std::to_string(toMilliseconds(request.deadline_))});
    }
    return call;
}

std::string Arrivals::completionBody(const RequestClass &request, std::uint32_t tokens)
{
    json::object body{
        {"model", request.service_}, {"max_tokens", tokens}, {"stream", request.isStream_}};
    const std::string prompt = drawPrompt(request);
    if (request.kind_ == RequestKind::Chat)
        body["messages"] = json::array{json::object{{"role", "user"}, {"content", prompt}}};
    else
        body["prompt"] = prompt;
    body["user"] = "load-" + std::to_string(workload_.seed_) + "-" + std::to_string(count_);
    return json::serialize(body);
}

std::string Arrivals::drawPrompt(const RequestClass &request)
{
    std::string prompt;
    const std::uint32_t prefix = drawRank(random_, request.prefixes_);
    appendWords(prompt, stableHash(request.name_, prefix), request.prefixWords_);
    appendWords(prompt, random_.bits(), drawSize(request.promptWords_));
    return prompt;
}

} // namespace cardamombay::load
