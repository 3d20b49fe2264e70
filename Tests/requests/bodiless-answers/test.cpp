// Guards against bytes on a caller's connection that belong to no answer: after the head of an answer that has no body, the caller
// reads what follows as its next answer.
#include "harness/test_fleet.h"
#include "support/scripted_server.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

using namespace rampgap;
using namespace rampgap::test;

namespace {

std::string requestText(const std::string& method, const std::string& target, const std::string& key, bool last)
{
    return method + " " + target + " HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer " + key + "\r\nContent-Length: 0\r\n" + (last ? "Connection: close\r\n\r\n" : "\r\n");
}

// What is left after the first head, and then after the whole second answer.
struct two_answers {
    std::string first;
    std::string rest;
};

// Sends both requests on one connection, and reads until the server closes it.
two_answers sendBoth(const std::string& entry, const std::string& first, const std::string& second)
{
    boost::asio::io_context io;
    tcp::socket socket(io);
    socket.connect(parseEndpoint(entry).value());
    boost::asio::write(socket, boost::asio::buffer(first + second));
    std::string bytes;
    boost::system::error_code end;
    boost::asio::read(socket, boost::asio::dynamic_buffer(bytes), end);
    const auto headEnd = bytes.find("\r\n\r\n");
    REQUIRE(headEnd != std::string::npos);
    return { bytes.substr(0, headEnd + 4), bytes.substr(headEnd + 4) };
}

// One engine of given bytes behind the own interface.
struct setting {
    explicit setting(std::string engineAnswer)
        : engine([answer = std::move(engineAnswer)](const http_request& request, int) -> scripted_answer {
            if (request.method() == http::verb::options)
                return { "HTTP/1.1 204 No Content\r\n\r\n" };
            if (request.target() == "/filings/next")
                return { "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nnext" };
            return { answer };
        })
    {
        fleet.addBackend({ "s1", "lac", "filings", 8, {}, engine.address() });
        fleet.addEntry("e1", "lac");
        fleet.startServing();
    }

    two_answers ask(const std::string& method, const std::string& key = smallKey)
    {
        const std::string entry = fleet.entry("e1").address();
        return sendBoth(entry, requestText(method, "/filings/odd", key, false), requestText("GET", "/filings/next", smallKey, true));
    }

    scripted_server engine;
    test_fleet fleet;
};

void checkNextIsRead(const two_answers& seen, const std::string& status)
{
    INFO(seen.first << seen.rest);
    CHECK(seen.first.starts_with("HTTP/1.1 " + status));
    CHECK(seen.rest.starts_with("HTTP/1.1 200"));
    CHECK(seen.rest.find("next") != std::string::npos);
}

} // namespace

TEST_CASE("an answer that never has a body is followed by the next answer, with a length or without one")
{
    for (const std::string status : { "204", "304" }) {
        for (const std::string length : { "", "Content-Length: 0\r\n", "Content-Length: 100000\r\n", "Content-Type: text/event-stream\r\n", "Transfer-Encoding: chunked\r\n" }) {
            setting run("HTTP/1.1 " + status + " Odd\r\n" + length + "\r\n");
            const auto seen = run.ask("GET");
            checkNextIsRead(seen, status);
            CHECK_MESSAGE(seen.first.find("Transfer-Encoding") == std::string::npos, seen.first);
        }
    }
}

TEST_CASE("an answer to HEAD is followed by the next answer, also a refusal")
{
    setting run("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n");
    const auto own = run.ask("HEAD");
    checkNextIsRead(own, "200");
    CHECK(own.first.find("Content-Length: 4") != std::string::npos);
    checkNextIsRead(run.ask("HEAD", "nobody"), "401");
    const std::string entry = run.fleet.entry("e1").address();
    for (const std::string page : { "/healthz", "/metrics", "/elsewhere" }) {
        const auto seen = sendBoth(entry, requestText("HEAD", page, smallKey, false), requestText("GET", "/filings/next", smallKey, true));
        CHECK_MESSAGE(seen.rest.starts_with("HTTP/1.1 200"), page);
    }
}
