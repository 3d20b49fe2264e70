// Bytes of a server that are no event of its stream were passed on as if they were one, and streams that ended with them
// looked complete.
#include "daemon/answer_relay.h"
#include "support/recorded_exchange.h"
#include "support/scripted_server.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <doctest/doctest.h>
#include <sstream>

using namespace rampgap;
using namespace rampgap::test;

namespace {

constexpr milliseconds maxWait { 2'000 };
const std::string fiveEvents = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\nid: 4\ndata: d\n\nid: 5\ndata: e\n\n";

enum class framing {
    length,
    chunks,
    none,
};
constexpr std::array allFramings { framing::length, framing::chunks, framing::none };

// One byte a chunk, so that each event comes in many pieces.
std::string inChunks(const std::string& body)
{
    std::string text;
    for (const char byte : body)
        text.append("1\r\n").append(1, byte).append("\r\n");
    return text + "0\r\n\r\n";
}

scripted_answer answerOf(const std::string& body, framing kind, const std::string& type = "text/event-stream", const std::string& status = "200 OK")
{
    const std::string head = "HTTP/1.1 " + status + "\r\nContent-Type: " + type + "\r\n";
    if (kind == framing::length)
        return { head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body, after_answer::keep };
    if (kind == framing::chunks)
        return { head + "Transfer-Encoding: chunked\r\n\r\n" + inChunks(body), after_answer::keep };
    return { head + "Connection: close\r\n\r\n" + body, after_answer::close };
}

struct relayed {
    relay_outcome outcome;
    std::string body;
    bool finished = false;
    relay_progress progress;
};

awaitable<void> relayOnce(http_client& client, std::string address, recorded_exchange& exchange, relay_options options, relay_progress& progress, std::optional<relay_outcome>& outcome)
{
    http_call call(client);
    http_request request { http::verb::get, "/", 11 };
    auto head = co_await call.start(std::move(address), std::move(request), boot_clock::now() + maxWait);
    REQUIRE(head);
    auto ended = co_await relayAnswer(call, std::move(head.value()), exchange, progress, std::move(options));
    outcome = std::move(ended);
}

relay_options platformOptions()
{
    relay_options options;
    options.wholeEvents = true;
    options.contract = event_contract::numbered;
    options.checkContinuation = true;
    options.bufferUnframed = true;
    return options;
}

relayed relay(const scripted_answer& answer, relay_options options, relay_progress progress = {})
{
    scripted_server server([&answer](const http_request&, int) { return answer; });
    process_context context { "entry", "a", "entry" };
    http_client client(context);
    recorded_exchange exchange;
    std::optional<relay_outcome> outcome;
    boost::asio::co_spawn(context.io(), relayOnce(client, server.address(), exchange, std::move(options), progress, outcome), boost::asio::detached);
    context.io().run_for(maxWait);
    REQUIRE(outcome);
    return { std::move(*outcome), exchange.body, exchange.finished, progress };
}

} // namespace

TEST_CASE("bytes of a server that are no event of its stream do not reach the caller, and the stream does not look complete")
{
    const std::vector<std::pair<std::string, stream_violation>> garbage {
        { "<html>busy</html>\n\n", stream_violation::no_field },
        { std::string("\x80\x00\xff\n\n", 5), stream_violation::no_field },
        { "id:\ndata: x\n\n", stream_violation::empty_id },
        { "data: x\n\n", stream_violation::no_id },
        { "id: 3\ndata: x\n\n", stream_violation::not_rising },
        { "4711\nid: 6\ndata: x\n\n", stream_violation::no_field },
        { "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx", stream_violation::no_field },
        { "id: 900\ndata: x\n\nid: 6\ndata: f\n\n", stream_violation::far_id },
    };
    for (const auto kind : allFramings) {
        for (const auto& [bytes, violation] : garbage) {
            for (const std::string rest : { "", "id: 7\ndata: g\n\n" }) {
                CAPTURE(bytes);
                const auto result = relay(answerOf(fiveEvents + bytes + rest, kind), platformOptions());
                CHECK((result.outcome.end == relay_end::truncated));
                CHECK_FALSE(result.finished);
                CHECK(result.body == fiveEvents);
                REQUIRE(result.progress.run.violation);
                CHECK(toString(result.progress.run.violation->violation) == toString(violation));
                CHECK(result.progress.run.violation->previousId == (violation == stream_violation::far_id ? "900" : "5"));
                // Another server is asked to go on after the last sound event.
                CHECK(result.progress.lastEventId == "5");
                CHECK(result.progress.mayGoOn);
            }
        }
    }
}

TEST_CASE("garbage before the first event, and an answer that says where it ends and ends inside an event, do not look complete")
{
    for (const auto kind : allFramings) {
        const auto first = relay(answerOf("busy\n\n" + fiveEvents, kind), platformOptions());
        CHECK((first.outcome.end == relay_end::truncated));
        CHECK(first.body.empty());
        CHECK(first.progress.mayGoOn);
        const auto unfinished = relay(answerOf(fiveEvents + "id: 6\ndata: f\n", kind), platformOptions());
        CHECK((unfinished.outcome.end == relay_end::truncated));
        CHECK_FALSE(unfinished.finished);
        CHECK(unfinished.body == fiveEvents);
    }
}

TEST_CASE("sound streams are passed on byte for byte, whatever their framing")
{
    const std::string sound = "\xEF\xBB\xBF: hello\r\n\r\nx-weight-versions: 3\r\nid: 1\r\ndata: a\r\n\r\n\n\nretry: 1000\n\nevent: x\nid: 4\ndata\n\nid: 5\rdata: e\rx-new: 1\r\r: bye\n\n";
    // The last id is far above the one before, and nothing comes after it.
    const std::string farEnd = fiveEvents + "id: 900\ndata: x\n\n: bye\n\n";
    for (const auto kind : allFramings) {
        for (const std::string& body : { sound, farEnd, fiveEvents }) {
            const auto result = relay(answerOf(body, kind), platformOptions());
            CHECK((result.outcome.end == relay_end::complete));
            CHECK(result.finished);
            CHECK(result.body == body);
            CHECK_FALSE(result.progress.run.violation);
        }
    }
}

TEST_CASE("where nothing is promised of ids, streams without ids and their marks of the end are passed on, and garbage is not")
{
    relay_options options;
    for (const auto kind : allFramings) {
        for (const std::string body : { "data: a\n\ndata: b\n\ndata: [DONE]\n\n", "id: a\ndata: a\n\nid: a\ndata: b\n\n", "data: no end" }) {
            const auto result = relay(answerOf(body, kind), options);
            CHECK((result.outcome.end == relay_end::complete));
            CHECK(result.body == body);
        }
        const auto marked = relay(answerOf(fiveEvents + "data: [DONE]\n\n", kind), options);
        CHECK(marked.body == fiveEvents + "data: [DONE]\n\n");
        const auto refuted = relay(answerOf("data: a\n\nbusy\n\n", kind), options);
        CHECK((refuted.outcome.end == relay_end::truncated));
        CHECK(refuted.body == "data: a\n\n");
    }
}

TEST_CASE("an event that is too large to be held is passed on as it comes where its caller may get a part of one")
{
    const std::string large = "data: a\n\nid: 1\ndata: " + std::string(600'000, 'x') + "\ndata: y\n\ndata: b\n\n";
    for (const auto kind : { framing::length, framing::none }) {
        const auto result = relay(answerOf(large, kind), {});
        CHECK((result.outcome.end == relay_end::complete));
        CHECK((result.body == large));
        CHECK(result.progress.events == 3);
    }
    const auto garbage = relay(answerOf("data: a\n\n" + std::string(600'000, 'x') + "\n\n", framing::none), {});
    CHECK((garbage.outcome.end == relay_end::truncated));
    CHECK(garbage.body == "data: a\n\n");
    CHECK((relay(answerOf(large, framing::none), platformOptions()).outcome.end == relay_end::truncated));
}

TEST_CASE("a refuted answer is not kept as the answer to a repeat of its request")
{
    relay_options options;
    options.finishWithoutCaller = true;
    options.recordLimit = 65'536;
    const auto refuted = relay(answerOf("data: a\n\nbusy\n\n", framing::chunks), options);
    CHECK_FALSE(refuted.outcome.recorded);
    const auto whole = relay(answerOf("data: a\n\ndata: b", framing::chunks), options);
    CHECK(whole.outcome.recorded == "data: a\n\ndata: b");
}

TEST_CASE("the body of an answer that is no stream, or no success, is not joined to a stream that has begun")
{
    relay_progress begun;
    begun.begun = true;
    begun.lastEventId = "5";
    for (const auto kind : allFramings) {
        for (const auto& answer : { answerOf("x", kind, "text/plain"), answerOf("id: 6\ndata: f\n\n", kind, "text/event-stream", "500 x") }) {
            for (const auto& options : { platformOptions(), relay_options {} }) {
                const auto result = relay(answer, options, begun);
                CHECK((result.outcome.end == relay_end::truncated));
                CHECK(result.body.empty());
            }
        }
        // The type's name has no letter case, and may be followed by parameters.
        const auto goesOn = relay(answerOf("id: 6\ndata: f\n\n", kind, "Text/Event-Stream;charset=utf-8"), platformOptions(), begun);
        CHECK(goesOn.body == "id: 6\ndata: f\n\n");
    }
}

TEST_CASE("a byte order mark at the start of a run that goes on does not hide the id of its first event")
{
    relay_progress begun;
    begun.begun = true;
    begun.lastEventId = "5";
    const std::string marked = "\xEF\xBB\xBFid: 6\ndata: f\n\n";
    CHECK(relay(answerOf(marked, framing::chunks), platformOptions(), begun).body == marked);
    begun.bytes = 1;
    for (const auto kind : allFramings)
        CHECK(relay(answerOf(marked, kind), platformOptions(), begun).body == "id: 6\ndata: f\n\n");
}

TEST_CASE("the body of an error that has the type of a stream is not judged by the rules of events, but passed on unchanged")
{
    for (const auto kind : { framing::length, framing::chunks }) {
        for (const std::string status : { "400 x", "500 x" }) {
            for (const std::string body : { "busy", "event: error\ndata: too long\n\n" }) {
                CAPTURE(body);
                const auto result = relay(answerOf(body, kind, "text/event-stream", status), platformOptions());
                CHECK((result.outcome.end == relay_end::complete));
                CHECK(result.finished);
                CHECK(result.body == body);
            }
        }
    }
}

TEST_CASE("an event that is too large to be held does not overtake the event that waits for it")
{
    const std::string ids = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";
    const std::string answer = ids + "data: mark\n\ndata: " + std::string(600'000, 'x') + "\n\n";
    for (const auto kind : { framing::length, framing::none }) {
        const auto result = relay(answerOf(answer, kind), {});
        CHECK(result.body.starts_with(ids));
        CHECK(answer.starts_with(result.body));
    }
}
