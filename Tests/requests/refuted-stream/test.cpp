// Fault: an engine of the own interface sends bytes that are no event in the middle of its stream, and they reach the caller, or
// the stream ends as complete.
#include "harness/test_fleet.h"
#include "support/scripted_server.h"

#include <doctest/doctest.h>

using namespace rampgap;
using namespace rampgap::test;

namespace {

const std::string sound = "data: a\n\ndata: b\n\n";

scripted_answer streamOf(const std::string& body, bool chunked)
{
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n";
    if (!chunked)
        return { head + "Connection: close\r\n\r\n" + body, after_answer::close };
    std::string text = head + "Transfer-Encoding: chunked\r\n\r\n";
    for (const char byte : body)
        text.append("1\r\n").append(1, byte).append("\r\n");
    return { text + "0\r\n\r\n", after_answer::keep };
}

test_answer ask(const scripted_answer& stream)
{
    scripted_server engine([&stream](const http_request& request, int) {
        if (request.method() == http::verb::post)
            return stream;
        return scripted_answer { "HTTP/1.1 204 No Content\r\n\r\n", after_answer::keep };
    });
    test_fleet fleet;
    fleet.addBackend({ "a1", "lac", "assistant", 8, {}, engine.address() });
    fleet.addEntry("e1", "lac");
    fleet.startServing();
    return test_client(fleet.entry("e1").address()).send(completion(smallKey, "assistant", "refuted", 3, true));
}

} // namespace

TEST_CASE("garbage in the stream of an engine of the own interface does not reach the caller, and the stream is not complete")
{
    for (const bool chunked : { true, false }) {
        for (const std::string rest : { "", "data: c\n\n" }) {
            const auto refuted = ask(streamOf(sound + "busy: <html>\nbusy\n\n" + rest, chunked));
            CHECK(refuted.status == 0);
            CHECK(refuted.body.starts_with(sound));
            CHECK(refuted.body.find("busy") == std::string::npos);
        }
        const auto whole = ask(streamOf(sound + ": ping\n\nx-new: 1\ndata: c\n\ndata: [DONE]\n\n", chunked));
        CHECK(whole.status == 200);
        CHECK(whole.body == sound + ": ping\n\nx-new: 1\ndata: c\n\ndata: [DONE]\n\n");
    }
}
