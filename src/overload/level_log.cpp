#include <cardamombay/overload/admission_controller.hpp>

#include <cmath>
#include <string>

namespace cardamombay::overload {

namespace {

constexpr Duration minInterval = std::chrono::seconds(1);

/// A smaller change of the admitted share is noise: the offered work of 1,000 requests in a
/// smoothing time of 0.4 s varies by about 3%.
constexpr double minShareChange = 0.05;

std::string rankText(const std::optional<Rank> &rank)
{
    return rank ? std::to_string(*rank) : "none";
}

std::vector<Detail> detailsOf(const ModelName &model, const AdmissionLevel &level,
                              std::optional<Duration> age)
{
    return {{"model", model.text()},
            {"divided-rank", rankText(level.dividedRank_)},
            {"share", std::to_string(level.dividedShare_)},
            {"limited-teams", std::to_string(level.teamShares_.size())},
            {"offered-groups", std::to_string(level.offered_)},
            {"room-groups", std::to_string(level.room_)},
            {"occupancy", std::to_string(level.occupancy_)},
            {"source", std::string(nameOf(level.source_))},
            {"age-ms", age ? std::to_string(toMilliseconds(*age)) : "none"}};
}

} // namespace

std::optional<std::vector<Detail>> LevelLog::note(const ModelName &model,
                                                  const AdmissionLevel &level,
                                                  std::optional<Duration> age, TimePoint now)
{
    if (last_ && now - last_->at_ < minInterval)
        return std::nullopt;
    const Line before = last_.value_or(Line{});
    const bool isSame = before.dividedRank_ == level.dividedRank_ && before.source_ == level.source_
                        && std::abs(before.share_ - level.dividedShare_) < minShareChange;
    if (isSame)
        return std::nullopt;
    last_ = Line{now, level.dividedRank_, level.dividedShare_, level.source_};
    return detailsOf(model, level, age);
}

} // namespace cardamombay::overload
