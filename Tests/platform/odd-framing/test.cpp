// Guards against an answer whose framing says two things, or a thing that is not known here: its bytes may be those of another answer, or
// coded ones that its caller takes for the body. What is accepted, and whether the connection is used again, is listed case by case.
#include "daemon/answer_relay.h"
#include "daemon/http_client.h"
#include "daemon/task.h"
#include "support/recorded_exchange.h"
#include "support/scripted_server.h"

#include <doctest/doctest.h>
#include <optional>

using namespace rampgap;
using namespace rampgap::test;

namespace {

constexpr milliseconds maxWait { 2'000 };
const std::string next = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nnext";
const std::string ok = "HTTP/1.1 200 OK\r\n";

struct seen_answer {
    // Empty: the answer was refused, or broke off.
    std::optional<std::string> body;
    unsigned status = 0;
    http_head head;
    // Body of the answer to the next request to the server.
    std::string nextBody;
    bool sameConnection = false;
    bool judged = false;
};

awaitable<void> relayTwo(http_client& client, std::string address, http::verb method, seen_answer& seen, bool& ended)
{
    {
        recorded_exchange exchange(method);
        http_call call(client);
        http_request request { method, "/odd", 11 };
        auto head = co_await call.start(address, std::move(request), boot_clock::now() + maxWait);
        if (head) {
            relay_progress progress;
            relay_options options;
            options.wholeEvents = true;
            options.bufferUnframed = true;
            options.judgeEnd = [&seen]() -> awaitable<answer_end_sign> {
                seen.judged = true;
                co_return answer_end_sign::server_answers;
            };
            const auto outcome = co_await relayAnswer(call, std::move(head.value()), exchange, progress, std::move(options));
            seen.head = exchange.head;
            seen.status = exchange.head.result_int();
            if (outcome.end == relay_end::complete && exchange.finished)
                seen.body = exchange.body;
        }
    }
    http_call call(client);
    http_request request { http::verb::get, "/next", 11 };
    auto head = co_await call.start(std::move(address), std::move(request), boot_clock::now() + maxWait);
    seen.sameConnection = !call.firstOnConnection();
    if (head) {
        const auto body = co_await call.readAll(1'024);
        seen.nextBody = body ? body.value() : "";
    }
    ended = true;
}

seen_answer relayOdd(const std::string& bytes, after_answer then = after_answer::keep, http::verb method = http::verb::get)
{
    scripted_server server([&](const http_request& request, int) {
        return request.target() == "/next" ? scripted_answer { next, after_answer::keep } : scripted_answer { bytes, then };
    });
    process_context context { "entry", "a", "entry" };
    http_client client(context);
    seen_answer seen;
    bool ended = false;
    startTask(context, "relay", relayTwo(client, server.address(), method, seen, ended));
    while (!ended && context.io().run_one_for(maxWait + maxWait) > 0) { }
    REQUIRE(ended);
    return seen;
}

// Refused, and the next request gets its own answer.
void checkRefused(const std::string& bytes, after_answer then = after_answer::close)
{
    const auto seen = relayOdd(bytes, then);
    INFO(bytes);
    CHECK_FALSE(seen.body.has_value());
    CHECK(seen.nextBody == "next");
    CHECK_FALSE(seen.sameConnection);
}

void checkPassedOn(const std::string& bytes, const std::string& body, bool sameConnection, after_answer then = after_answer::keep, http::verb method = http::verb::get)
{
    const auto seen = relayOdd(bytes, then, method);
    INFO(bytes);
    REQUIRE(seen.body.has_value());
    CHECK(*seen.body == body);
    CHECK(seen.nextBody == "next");
    CHECK(seen.sameConnection == sameConnection);
}

} // namespace

TEST_CASE("a head that is not HTTP's is refused")
{
    checkRefused("HTTP/1.1 200\r\nContent-Length: 4\r\n\r\nbody");
    checkRefused("HTTP/1.1 200 OK\nContent-Length: 4\n\nbody");
    checkRefused("HTTP/1.1 200 OK\r\nContent-Length: 4\n\r\nbody");
    checkRefused("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\nbody");
    checkRefused("HTTP/1.1 2x0 OK\r\nContent-Length: 4\r\n\r\nbody");
    checkRefused("HTTP/1.1 20 OK\r\nContent-Length: 4\r\n\r\nbody");
    checkRefused("HTTP/1.1 2000 OK\r\nContent-Length: 4\r\n\r\nbody");
    checkRefused("HTTP/2 200 OK\r\nContent-Length: 4\r\n\r\nbody");
    checkRefused("HTTP/0.9 200 OK\r\nContent-Length: 4\r\n\r\nbody");
    checkRefused(ok + "No colon\r\nContent-Length: 4\r\n\r\nbody");
    checkRefused(ok + "X-Blank : a\r\nContent-Length: 4\r\n\r\nbody");
    checkRefused(ok + ": a\r\nContent-Length: 4\r\n\r\nbody");
    checkRefused("\r\n" + ok + "Content-Length: 4\r\n\r\nbody");
}

TEST_CASE("a control byte in a header is not passed on")
{
    for (const char byte : { '\0', '\x01', '\b', '\n', '\r', '\x1b', '\x7f' }) {
        checkRefused(ok + "X-Odd: a" + std::string(1, byte) + "b\r\nContent-Length: 4\r\n\r\nbody");
        checkRefused("HTTP/1.1 200 O" + std::string(1, byte) + "K\r\nContent-Length: 4\r\n\r\nbody");
    }
}

TEST_CASE("an answer without a reason, with the same length twice or with blanks around it is passed on")
{
    checkPassedOn("HTTP/1.1 200 \r\nContent-Length: 4\r\n\r\nbody", "body", true);
    checkPassedOn(ok + "Content-Length: 4\r\nContent-Length: 4\r\n\r\nbody", "body", true);
    checkPassedOn(ok + "Content-Length: 4, 4\r\n\r\nbody", "body", true);
    checkPassedOn(ok + "content-LENGTH: \t 4 \r\n\r\nbody", "body", true);
    checkPassedOn("HTTP/1.0 200 OK\r\nContent-Length: 4\r\n\r\nbody", "body", false);
}

TEST_CASE("a length that is none, or two that differ, is refused")
{
    checkRefused(ok + "Content-Length: 4\r\nContent-Length: 5\r\n\r\nbody!");
    checkRefused(ok + "Content-Length: 4, 5\r\n\r\nbody!");
    for (const char* length : { "-4", "+4", "0x4", "4.0", "4a", "", "99999999999999999999", "4;5" })
        checkRefused(ok + "Content-Length: " + length + "\r\n\r\nbody");
}

TEST_CASE("a length and a transfer coding together are refused, in either order")
{
    checkRefused(ok + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n");
    checkRefused(ok + "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n4\r\nbody\r\n0\r\n\r\n");
    checkRefused(ok + "Content-Length: 4\r\nTransfer-Encoding: gzip\r\n\r\nbody");
    checkRefused(ok + "Transfer-Encoding: gzip\r\nContent-Length: 4\r\n\r\nbody");
}

TEST_CASE("a transfer coding other than chunks is refused: the relay would drop its name and pass the coded bytes on as the body")
{
    for (const char* coding : { "gzip", "deflate", "gzip, chunked", "chunked, gzip", "chunked, chunked", "identity", "chunke", "chunked;a=b", "" })
        checkRefused(ok + "Transfer-Encoding: " + coding + "\r\n\r\n4\r\nbody\r\n0\r\n\r\n");
    checkRefused(ok + "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n");
    checkRefused(ok + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n");
    checkPassedOn(ok + "transfer-encoding: CHUNKED\r\n\r\n4\r\nbody\r\n0\r\n\r\n", "body", true);
}

TEST_CASE("a status below 100 is no interim answer: what follows it is not read as the answer")
{
    checkRefused("HTTP/1.1 099 Odd\r\nContent-Length: 44\r\n\r\n" + ok + "Content-Length: 4\r\n\r\nbody");
    checkRefused("HTTP/1.1 000 Odd\r\n\r\n" + ok + "Content-Length: 4\r\n\r\nbody");
    checkRefused("HTTP/1.1 101 Switching Protocols\r\n\r\n" + ok + "Content-Length: 4\r\n\r\nbody");
    checkPassedOn("HTTP/1.1 199 Odd\r\n\r\n" + ok + "Content-Length: 4\r\n\r\nbody", "body", true);
}

TEST_CASE("chunks that are none break the answer off")
{
    const std::string chunked = ok + "Transfer-Encoding: chunked\r\n\r\n";
    for (const char* bytes : { "x\r\nbody\r\n0\r\n\r\n", "-4\r\nbody\r\n0\r\n\r\n", "0x4\r\nbody\r\n0\r\n\r\n", "4\nbody\r\n0\r\n\r\n", "4\r\nbody0\r\n\r\n", "4\r\nbody!\r\n0\r\n\r\n",
             "5\r\nbody\r\n0\r\n\r\n", "4\r\nbody\r\n\r\n", "4\r\nbody\r\n0\r\nContent-Length: 4\r\n\r\n", "4\r\nbody\r\n0\r\nno trailer\r\n\r\n", "10000000000000004\r\nbody\r\n0\r\n\r\n" })
        checkRefused(chunked + bytes);
}

TEST_CASE("an answer without a body is whole with its head: bytes after it are not passed on, and not read as the next answer")
{
    for (const std::string status : { "204 No Content", "304 Not Modified" }) {
        const std::string head = "HTTP/1.1 " + status + "\r\n";
        checkPassedOn(head + "\r\n", "", true);
        checkPassedOn(head + "\r\nbody", "", false);
        checkPassedOn(head + "Content-Length: 4\r\n\r\n", "", true);
        checkPassedOn(head + "Content-Length: 4\r\n\r\nbody", "", false);
        checkPassedOn(head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", "", false);
        checkPassedOn(head + "Content-Length: 4\r\n\r\n" + ok + "Content-Length: 5\r\n\r\nother", "", false);
        const auto seen = relayOdd(head + "Connection: close\r\n\r\n", after_answer::close);
        CHECK_MESSAGE((seen.body.has_value() && !seen.judged), std::string(status));
    }
}

TEST_CASE("an answer to HEAD has no body, whatever follows it")
{
    const auto method = http::verb::head;
    checkPassedOn(ok + "Content-Length: 4\r\n\r\n", "", true, after_answer::keep, method);
    checkPassedOn(ok + "Content-Length: 4\r\n\r\nbody", "", false, after_answer::keep, method);
    checkPassedOn(ok + "Transfer-Encoding: chunked\r\n\r\n", "", true, after_answer::keep, method);
    checkPassedOn(ok + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", "", false, after_answer::keep, method);
    checkPassedOn(ok + "\r\n", "", true, after_answer::keep, method);
    checkPassedOn(ok + "\r\n" + ok + "Content-Length: 5\r\n\r\nother", "", false, after_answer::keep, method);
}

TEST_CASE("bytes after a complete answer are not read as the next one")
{
    checkPassedOn(ok + "Content-Length: 4\r\n\r\nbody!", "body", false);
    checkPassedOn(ok + "Content-Length: 4\r\n\r\nbody" + ok + "Content-Length: 5\r\n\r\nother", "body", false);
    checkPassedOn(ok + "Content-Length: 0\r\n\r\nbody", "", false);
    checkPassedOn(ok + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\nx", "body", false);
    checkRefused(ok + "Content-Length: 5\r\n\r\nbody");
}

TEST_CASE("a time for which a connection is kept that is no time does not keep it, and one beyond all bounds is no fault")
{
    for (const char* time : { "0", "-1", "x", "", "-99999999999999999999" })
        checkPassedOn(ok + "Keep-Alive: timeout=" + time + "\r\nContent-Length: 4\r\n\r\nbody", "body", false);
    for (const char* time : { "5", "9223372036854775807", "99999999999999999999", "9223372036854776" })
        checkPassedOn(ok + "Keep-Alive: timeout=" + time + "\r\nContent-Length: 4\r\n\r\nbody", "body", true);
}

TEST_CASE("fields of an answer that concern its connection only are not passed on")
{
    const auto seen = relayOdd(ok + "Connection: keep-alive, X-Hop\r\nConnection: x-other\r\nX-Hop: a\r\nX-Other: b\r\nKeep-Alive: timeout=5\r\nProxy-Connection: keep-alive\r\nUpgrade: h2c\r\nTE: trailers\r\nTrailer: X-Sum\r\nX-Kept: c\r\nSet-Cookie: d\r\nLocation: /e\r\nContent-Length: 4\r\n\r\nbody");
    REQUIRE(seen.body.has_value());
    for (const char* name : { "X-Hop", "X-Other", "Keep-Alive", "Proxy-Connection", "Upgrade", "TE", "Trailer" })
        CHECK_MESSAGE(seen.head.count(name) == 0, std::string(name));
    CHECK(seen.head["X-Kept"] == "c");
    CHECK(seen.head["Set-Cookie"] == "d");
    CHECK(seen.head["Location"] == "/e");
}

TEST_CASE("a trailer does not become a header")
{
    const auto seen = relayOdd(ok + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX-Late: a\r\n\r\n");
    REQUIRE(seen.body.has_value());
    CHECK(seen.head.count("X-Late") == 0);
}
