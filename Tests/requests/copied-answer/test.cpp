// Guards against another caller's answer: an engine that sends an answer twice leaves a copy on a kept connection, and engines' answers
// do not name their requests.
#include "harness/test_fleet.h"
#include "support/scripted_server.h"

#include <doctest/doctest.h>

using namespace rampgap;
using namespace rampgap::test;

namespace {

// Echoes the request.
std::string answerTo(const http_request& request)
{
    return "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: " + std::to_string(request.body().size()) + "\r\n\r\n" + request.body();
}

// Sends the copy of an answer where the next one on the connection is due.
class copying_engine {
public:
    std::string address() const { return m_server.address(); }

private:
    scripted_answer answer(const http_request& request, int earlier)
    {
        const std::string own = answerTo(request);
        const std::string copy = earlier > 0 ? m_last : "";
        m_last = own;
        return { copy + own };
    }

    // Of the server's thread.
    std::string m_last;
    scripted_server m_server { [this](const http_request& request, int earlier) { return answer(request, earlier); } };
};

} // namespace

TEST_CASE("the second copy of an engine's answer reaches no other caller")
{
    copying_engine engine;
    test_fleet fleet;
    fleet.addBackend({ "a1", "lac", "assistant", 8, {}, engine.address() });
    fleet.addEntry("e1", "lac");
    fleet.startServing();
    for (int i = 0; i < 5; ++i) {
        const auto request = completion(i % 2 == 0 ? smallKey : largeKey, "assistant", "prompt " + std::to_string(i), 1, false);
        const auto answer = test_client(fleet.entry("e1").address()).send(request);
        CHECK(answer.status == 200);
        CHECK(answer.body == request.body);
    }
}
