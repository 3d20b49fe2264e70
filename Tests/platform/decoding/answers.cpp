// Whatever a server answers and however a request fails: no caller gets the answer to another request,
// and no refusal claims that a request was not run unless that is known.
#include "platform/http_codec.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace rampgap;
using namespace rampgap::platform;

namespace {

const http_codec codec;

rc::Gen<std::string> anyId()
{
    return rc::gen::element<std::string>("", "id1", "id2", "id11");
}

bool guaranteesNotRun(unsigned status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

} // namespace

TEST_CASE("an answer is accepted only if it is signed, has no content encoding and belongs to the request")
{
    CHECK(rc::check([] {
        gateway_request request;
        request.id = "id1";
        http_head head;
        head.result(*rc::gen::element(200U, 204U, 400U, 421U, 429U, 500U, 503U, 504U));
        const std::string answered = *anyId();
        const bool isSigned = *rc::gen::arbitrary<bool>();
        const bool encoded = *rc::gen::arbitrary<bool>();
        const bool notExecuted = *rc::gen::arbitrary<bool>();
        if (!answered.empty())
            head.set("X-Attempt-Id", answered);
        if (isSigned)
            head.set("X-Server-Signature", "3e1b.07");
        if (encoded)
            head.set("Content-Encoding", "gzip");
        if (notExecuted)
            head.set("X-Not-Executed", "shed");
        const bool first = *rc::gen::arbitrary<bool>();
        const reply_kind kind = codec.classify(head, request, first).kind;
        // A second copy of an earlier reply may come where this one is due: whatever it says is about another request.
        if (kind != reply_kind::unreadable)
            RC_ASSERT(answered == "id1" || (answered.empty() && first));
        if (kind == reply_kind::answer) {
            RC_ASSERT(isSigned);
            RC_ASSERT(!encoded);
            RC_ASSERT(!notExecuted);
            RC_ASSERT(answered.empty() || answered == "id1");
        }
        // Only after these two may a request that must not run twice be sent again.
        if (kind == reply_kind::not_executed)
            RC_ASSERT(notExecuted);
        if (kind == reply_kind::wrong_server)
            RC_ASSERT(head.result_int() == 421U);
    }));
}

TEST_CASE("a refusal states that a request was not run only if that is known, says when to retry, and is never signed")
{
    CHECK(rc::check([] {
        failure failed;
        failed.reason = static_cast<failure_reason>(*rc::gen::inRange(0, static_cast<int>(failure_reason::backend_error) + 1));
        failed.ran = *rc::gen::element(verdict::not_run, verdict::may_have_run, verdict::ran);
        if (*rc::gen::arbitrary<bool>())
            failed.retryAfter = milliseconds(*rc::gen::inRange(0, 5'000));
        const http_response answer = codec.makeRefusal(failed, "id1");
        RC_ASSERT(answer.result_int() >= 400U);
        RC_ASSERT(answer.count("X-Server-Signature") == 0U);
        RC_ASSERT(answer["X-Attempt-Id"] == "id1");
        if (failed.ran != verdict::not_run)
            RC_ASSERT(!guaranteesNotRun(answer.result_int()));
        if (answer.result_int() == 503U || answer.result_int() == 429U)
            RC_ASSERT(answer.count("Retry-After") == 1U);
    }));
}
