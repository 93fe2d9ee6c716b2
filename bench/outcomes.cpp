// Processor time of the decisions on one token event and one whole attempt.
#include <cardamombay/outcomes/attempt.hpp>
#include <cardamombay/outcomes/stream_continuity.hpp>

#include <benchmark/benchmark.h>

using namespace cardamombay;
using namespace cardamombay::outcomes;

namespace {

AttemptProgramPtr program()
{
    static const AttemptProgramPtr shared
        = valueOf(makeAttemptProgram(valueOf(chart::ChartFolder("charts").load("attempt"))));
    return shared;
}

const AttemptId id("0f3c9a7712d84e51-42.1.17");

void tokenEvent(benchmark::State &state)
{
    Attempt attempt(program(), id, {});
    StreamContinuity stream({true, {}, true});
    stream.begin(id);
    (void)attempt.startSending();
    (void)attempt.takeHead({200, id.text(), false});
    std::uint64_t index = 0;
    for (auto _ : state) {
        benchmark::DoNotOptimize(attempt.takeEvent(id.text()));
        benchmark::DoNotOptimize(stream.accept(id, index++));
    }
}
BENCHMARK(tokenEvent);

void wholeAttempt(benchmark::State &state)
{
    const auto shared = program();
    for (auto _ : state) {
        Attempt attempt(shared, id, {});
        attempt.connectStarted();
        benchmark::DoNotOptimize(attempt.startSending());
        benchmark::DoNotOptimize(attempt.takeHead({200, id.text(), false}));
        benchmark::DoNotOptimize(attempt.takeData());
        attempt.endMarker();
        benchmark::DoNotOptimize(attempt.verdict());
    }
}
BENCHMARK(wholeAttempt);

} // namespace

BENCHMARK_MAIN();
