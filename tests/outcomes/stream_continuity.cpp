#include <cardamombay/outcomes/stream_continuity.hpp>

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::outcomes;

namespace {

const AttemptId first("r-1.1.9");
const AttemptId second("r-1.2.9");

endpoint::ModelSpec model(const char *version = "3")
{
    return {ModelName("lm"), ModelVersion(version), {}};
}

StreamContinuity makeStream(bool isIdempotent = true, bool hasSeed = true)
{
    StreamContinuity stream({isIdempotent, model(), hasSeed});
    stream.begin(first);
    return stream;
}

void deliver(StreamContinuity &stream, const AttemptId &attempt, std::uint64_t count)
{
    for (std::uint64_t i = 0; i < count; ++i)
        cr_assert(stream.accept(attempt, stream.nextIndex()) == Acceptance::Deliver);
}

} // namespace

Test(stream_continuity, resumed_stream_is_complete_without_repeated_or_missing_tokens)
{
    auto stream = makeStream();
    deliver(stream, first, 3);
    cr_assert(stream.continuation(model(), false) == Continuation::Resume);
    cr_assert_eq(stream.nextIndex(), 3);

    stream.begin(second);
    cr_assert(stream.accept(second, 2) == Acceptance::Duplicate);
    deliver(stream, second, 2);

    cr_assert(stream.end(second));
    cr_assert_eq(stream.nextIndex(), 5);
}

Test(stream_continuity, gap_breaks_the_attempt_and_its_end_marker)
{
    auto stream = makeStream();
    deliver(stream, first, 1);

    cr_assert(stream.accept(first, 2) == Acceptance::Gap);

    cr_assert(stream.accept(first, 1) == Acceptance::Foreign);
    cr_assert_not(stream.end(first));
    cr_assert_not(stream.isWhole());
}

Test(stream_continuity, events_and_end_marker_of_an_earlier_attempt_are_foreign)
{
    auto stream = makeStream();
    deliver(stream, first, 1);
    stream.begin(second);

    cr_assert(stream.accept(first, 1) == Acceptance::Foreign);
    cr_assert_not(stream.end(first));
    deliver(stream, second, 1);
}

Test(stream_continuity, nothing_follows_the_end_marker)
{
    auto stream = makeStream();
    deliver(stream, first, 1);
    cr_assert(stream.end(first));

    cr_assert(stream.accept(first, 1) == Acceptance::Foreign);
    cr_assert_not(stream.end(first));
    cr_assert(stream.continuation(model(), false) == Continuation::Fail);
}

Test(stream_continuity, other_model_version_or_free_seed_cannot_resume)
{
    auto stream = makeStream();
    deliver(stream, first, 1);
    cr_assert(stream.continuation(model("4"), false) == Continuation::Fail);

    auto unseeded = makeStream(true, false);
    deliver(unseeded, first, 1);
    cr_assert(unseeded.continuation(model(), false) == Continuation::Fail);
}

Test(stream_continuity, stream_without_a_delivered_token_restarts_on_any_version)
{
    cr_assert(makeStream(true, false).continuation(model("4"), false) == Continuation::Restart);
}

Test(stream_continuity, non_idempotent_stream_goes_on_only_if_nothing_ran)
{
    cr_assert(makeStream(false).continuation(model(), false) == Continuation::Fail);
    cr_assert(makeStream(false).continuation(model(), true) == Continuation::Restart);
}
