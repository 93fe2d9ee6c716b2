#include <cardamombay/trace/trace_context.hpp>
#include <cardamombay/trace/tracer.hpp>

#include <string>
#include <vector>

#include <criterion/criterion.h>

using namespace cardamombay;

namespace {

constexpr auto callersTraceparent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";

class LinesInMemory final : public trace::SpanSink
{
public:
    void write(std::string_view line) override { lines_.emplace_back(line); }
    std::vector<std::string> lines_;
};

bool contains(const std::string &text, std::string_view part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

Test(trace, traceparent_survives_reading_and_writing)
{
    const auto context = trace::parseTraceparent(callersTraceparent);

    cr_assert(context.has_value());
    cr_assert(context->isSampled_);
    cr_assert_eq(trace::traceparentOf(*context), callersTraceparent);
}

Test(trace, malformed_traceparents_are_refused)
{
    for (const auto *text : {"", "00", "00-0AF7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01",
                             "00-00000000000000000000000000000000-b7ad6b7169203331-01",
                             "00-0af7651916cd43dd8448eb211c80319c-0000000000000000-01",
                             "ff-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01",
                             "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01-more"})
        cr_assert_not(trace::parseTraceparent(text).has_value(), "%s", text);
}

Test(trace, each_hop_is_one_line_below_the_callers_span)
{
    auto sink = std::make_shared<LinesInMemory>();
    const trace::Tracer tracer("entry-1", sink);

    auto request = tracer.start("request", callersTraceparent);
    auto attempt = request.child("attempt");
    attempt.setTag("group", "lm/pa/1");
    const auto outgoing = trace::parseTraceparent(attempt.traceparent());
    attempt.finish();
    request.finish();

    cr_assert_eq(sink->lines_.size(), 2u);
    cr_assert(contains(sink->lines_[0], R"("traceId":"0af7651916cd43dd8448eb211c80319c")"));
    cr_assert(contains(sink->lines_[0], R"("value":{"stringValue":"lm/pa/1"})"));
    cr_assert(contains(sink->lines_[0], trace::spanIdOf(outgoing->span_)));
    cr_assert(contains(sink->lines_[1], R"("parentSpanId":"b7ad6b7169203331")"));
}

Test(trace, unsampled_trace_writes_nothing_but_goes_on_to_the_endpoint)
{
    auto sink = std::make_shared<LinesInMemory>();
    const trace::Tracer tracer("entry-1", sink);

    auto request
        = tracer.start("request", "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-00");
    const auto outgoing = trace::parseTraceparent(request.traceparent());
    request.finish();

    cr_assert(sink->lines_.empty());
    cr_assert(outgoing.has_value());
    cr_assert_not(outgoing->isSampled_);
}
