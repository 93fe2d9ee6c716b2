#include <cardamombay/overload/held_queue.hpp>

#include "overload/work_time.hpp"

#include <tuple>

namespace cardamombay::overload {

namespace {

/// Work of one request beyond this is an error of the profile; the limit keeps sums of a queue in
/// the range of Duration.
constexpr double maxWork = 24 * 3600;

Duration limitedWork(const HeldRequest &request)
{
    return fromSeconds(std::min(impl::validWork(request.work_), maxWork));
}

} // namespace

bool isServedBefore(const HeldRequest &left, const HeldRequest &right)
{
    const auto key = [](const HeldRequest &request) {
        return std::tuple(std::min(request.rank_, maxRank), !request.hasReturned_,
                          request.arrivedAt_);
    };
    const auto leftKey = key(left);
    const auto rightKey = key(right);
    return leftKey != rightKey ? leftKey < rightKey : left.id_ < right.id_;
}

double workAhead(std::span<const HeldRequest> queue, const HeldRequest &request)
{
    Duration ahead{};
    for (const auto &held : queue) {
        if (isServedBefore(held, request))
            ahead += limitedWork(held);
    }
    return toSeconds(ahead);
}

std::optional<std::size_t> displacedBy(std::span<const HeldRequest> queue,
                                       const HeldRequest &arrival)
{
    if (queue.size() < maxHeldPerModel)
        return std::nullopt;
    std::optional<std::size_t> last;
    for (std::size_t i = 0; i < queue.size(); ++i) {
        const bool canBeRefused = !queue[i].mayHaveRun_;
        if (canBeRefused && (!last || isServedBefore(queue[*last], queue[i])))
            last = i;
    }
    return last && isServedBefore(arrival, queue[*last]) ? last : std::nullopt;
}

bool isRefusedByFullQueue(std::span<const HeldRequest> queue, const HeldRequest &arrival)
{
    return queue.size() >= maxHeldPerModel && !arrival.mayHaveRun_
           && !displacedBy(queue, arrival).has_value();
}

} // namespace cardamombay::overload
