// Tests callers that read their streams slowly or not at all.
#include "support/paced_streams.hpp"

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::serving;
using namespace cardamombay::support;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against a stream that is never read on once its caller had 256 KB outstanding: it stood
// still until its time was over.
Test(slow_readers, stream_is_read_on_when_its_caller_reads_again)
{
    PacedFixture fixture(1, 1'000'000'000);
    const auto caller = fixture.ask();
    const auto call = fixture.upstream_.calls_.front();
    while (call->send(16))
        fixture.pass(milliseconds(20));
    const auto sent = call->nextEvent_ - 1;
    caller->readAll();
    fixture.pass(milliseconds(40));
    cr_assert(call->send(16), "after %zu events", sent);
    caller->readAll();
    call->end();
    caller->readAll();
    cr_assert(caller->isFinished_);
    cr_assert_eq(caller->received_, pacedEvents(1, sent + 16));
    cr_assert_eq(fixture.upstream_.calls_.size(), 1);
}
