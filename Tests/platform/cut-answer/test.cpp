// Guards against an answer that its server broke off and that its caller gets as a whole one: the server stops after any of its bytes,
// in the head of an interim answer, in its own head, in a line of a chunk, in a trailer or in the body, and closes or resets.
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

constexpr milliseconds maxWait { 5'000 };
const std::string ok = "HTTP/1.1 200 OK\r\nX-Server-Signature: s\r\n";
const std::string plain = ok + "Content-Type: text/plain\r\n";
const std::string stream = ok + "Content-Type: text/event-stream\r\n";
const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";
const std::string events = "id: 2\ndata: b\n\nid: 3\ndata: c\n\n";
const std::string sound = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nsound";

struct answer_kind {
    const char* name;
    std::string bytes;
    std::string body;
    http::verb method = http::verb::get;
    // Ends with its connection.
    bool unframed = false;
};

std::vector<answer_kind> kinds()
{
    const std::string large(70'000, 'b');
    return {
        { "length", plain + "Content-Length: 6\r\n\r\nanswer", "answer" },
        { "length, POST", plain + "Content-Length: 6\r\n\r\nanswer", "answer", http::verb::post },
        { "empty", plain + "Content-Length: 0\r\n\r\n", "" },
        { "large", plain + "Content-Length: 70000\r\n\r\n" + large, large },
        { "chunks", plain + "Trailer: X-Sum\r\n" + chunked + "3;a=\"b\"\r\nans\r\n3\r\nwer\r\n0;last\r\nX-Sum: 1\r\nX-More: 2\r\n\r\n", "answer" },
        { "interim", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + plain + "Content-Length: 6\r\n\r\nanswer", "answer" },
        { "interim, chunks", "HTTP/1.1 100 Continue\r\n\r\n" + plain + chunked + "6\r\nanswer\r\n0\r\n\r\n", "answer" },
        { "stream with a length", stream + "Content-Length: " + std::to_string(events.size()) + "\r\n\r\n" + events, events },
        { "stream in chunks", stream + chunked + "f\r\n" + events.substr(0, 15) + "\r\nf;a\r\n" + events.substr(15) + "\r\n0\r\n\r\n", events },
        { "stream, unframed", stream + "\r\n" + events, events, http::verb::get, true },
        { "plain, unframed", plain + "\r\nanswer", "answer", http::verb::get, true },
        { "HEAD", plain + "Content-Length: 6\r\n\r\n", "", http::verb::head },
        { "no content", "HTTP/1.1 204 No Content\r\nX-Server-Signature: s\r\n\r\n", "" },
    };
}

// The ways in which processes relay: the platform's entry VM, the own one and the own agent.
enum class relay_kind {
    platform_entry,
    own_entry,
    own_agent,
};

relay_options optionsOf(relay_kind kind, bool unframedStream, bool isServerAlive)
{
    relay_options options;
    options.wholeEvents = kind != relay_kind::own_agent || unframedStream;
    options.checkContinuation = kind == relay_kind::platform_entry;
    options.bufferUnframed = kind == relay_kind::platform_entry;
    options.finishWithoutCaller = kind == relay_kind::own_agent;
    options.recordLimit = kind == relay_kind::own_agent ? 262'144 : 0;
    options.judgeEnd = [isServerAlive]() -> awaitable<answer_end_sign> { co_return isServerAlive ? answer_end_sign::server_answers : answer_end_sign::server_ended; };
    return options;
}

struct relayed {
    // The head was read.
    bool headRead = false;
    bool complete = false;
    bool finished = false;
    bool recorded = false;
    std::string body;
};

struct relay_case {
    answer_kind answer;
    // Of the answer's bytes.
    std::size_t sent;
    after_answer then;
    bool keptConnection;
    relay_kind relay = relay_kind::platform_entry;
    bool resumed = false;
    bool isServerAlive = false;
};

awaitable<void> relay(http_client& client, std::string address, relay_case asked, recorded_exchange& exchange, std::optional<relayed>& outcome)
{
    if (asked.keptConnection) {
        http_request first { http::verb::get, "/first", 11 };
        const auto answer = co_await client.fetch(address, std::move(first), maxWait);
        CHECK(answer.has_value());
    }
    http_call call(client);
    http_request request { asked.answer.method, "/", 11 };
    auto head = co_await call.start(std::move(address), std::move(request), boot_clock::now() + maxWait);
    relayed seen;
    seen.headRead = head.has_value();
    if (head) {
        relay_progress progress;
        progress.begun = asked.resumed;
        progress.events = asked.resumed ? 1 : 0;
        progress.lastEventId = asked.resumed ? "1" : "";
        relay_options options = optionsOf(asked.relay, asked.answer.unframed, asked.isServerAlive);
        auto ended = co_await relayAnswer(call, std::move(head.value()), exchange, progress, std::move(options));
        seen.complete = ended.end == relay_end::complete;
        seen.recorded = ended.recorded.has_value();
    }
    seen.finished = exchange.finished;
    seen.body = exchange.body;
    outcome = std::move(seen);
}

// Relays one answer after the other from one server.
class relay_bench {
public:
    relayed run(const relay_case& asked)
    {
        m_asked = asked;
        process_context context { "entry", "a", "entry" };
        http_client client(context);
        recorded_exchange exchange(asked.answer.method);
        std::optional<relayed> outcome;
        startTask(context, "relay", relay(client, m_server.address(), asked, exchange, outcome));
        while (!outcome && context.io().run_one_for(maxWait) > 0) { }
        REQUIRE(outcome);
        return *outcome;
    }

private:
    scripted_answer answer(const http_request& request) const
    {
        if (request.target() == "/first")
            return { sound, after_answer::keep };
        return { m_asked->answer.bytes.substr(0, m_asked->sent), m_asked->then };
    }

    // Changed only while no request is under way.
    std::optional<relay_case> m_asked;
    scripted_server m_server { [this](const http_request& request, int) { return answer(request); } };
};

// All positions of the head, and of a body those near its ends.
std::vector<std::size_t> cutsOf(const answer_kind& kind)
{
    constexpr std::size_t nearEnd = 400;
    std::vector<std::size_t> cuts;
    for (std::size_t at = 0; at < kind.bytes.size(); ++at) {
        if (at < nearEnd || at + nearEnd > kind.bytes.size())
            cuts.push_back(at);
    }
    return cuts;
}

std::string nameOf(const relay_case& asked)
{
    return std::string(asked.answer.name) + ", cut after " + std::to_string(asked.sent) + (asked.then == after_answer::reset ? ", reset" : ", closed") + (asked.keptConnection ? ", kept" : ", fresh") + ", relay " + std::to_string(static_cast<int>(asked.relay)) + (asked.resumed ? ", resumed" : "");
}

void checkCut(relay_bench& bench, const relay_case& asked)
{
    const auto seen = bench.run(asked);
    INFO(nameOf(asked));
    CHECK_FALSE(seen.complete);
    CHECK_FALSE(seen.finished);
    CHECK_FALSE(seen.recorded);
    CHECK(asked.answer.body.starts_with(seen.body));
}

} // namespace

TEST_CASE("an answer that is cut after any of its bytes is not complete, closed or reset, on a new or a kept connection")
{
    relay_bench bench;
    for (const auto& kind : kinds()) {
        for (const std::size_t cut : cutsOf(kind)) {
            for (const bool kept : { false, true }) {
                checkCut(bench, { kind, cut, after_answer::close, kept });
                checkCut(bench, { kind, cut, after_answer::reset, kept });
            }
        }
    }
}

TEST_CASE("a cut answer is not complete on the own interface either, and is not kept for a repeat of its request")
{
    relay_bench bench;
    for (const auto& kind : kinds()) {
        for (const std::size_t cut : cutsOf(kind)) {
            for (const auto relay : { relay_kind::own_entry, relay_kind::own_agent })
                checkCut(bench, { kind, cut, after_answer::close, true, relay });
        }
    }
}

TEST_CASE("a cut run that resumes a stream does not complete it")
{
    relay_bench bench;
    for (const auto& kind : kinds()) {
        if (kind.body != events)
            continue;
        for (const std::size_t cut : cutsOf(kind))
            checkCut(bench, { kind, cut, after_answer::close, false, relay_kind::platform_entry, true });
    }
}

TEST_CASE("a head that is cut is no answer, whatever is known of its server")
{
    relay_bench bench;
    for (const auto& kind : kinds()) {
        // Of an interim answer and the one after it, the latter's.
        const std::size_t headEnd = kind.bytes.find("\r\n\r\n", kind.bytes.find("200 OK") == std::string::npos ? 0 : kind.bytes.find("200 OK")) + 4;
        for (std::size_t cut = 0; cut < headEnd; ++cut) {
            const relay_case asked { kind, cut, after_answer::close, false, relay_kind::platform_entry, false, true };
            const auto seen = bench.run(asked);
            CHECK_MESSAGE((!seen.headRead && !seen.finished), nameOf(asked));
        }
    }
}

TEST_CASE("an answer with all of its bytes is complete, also if its server closes then")
{
    relay_bench bench;
    for (const auto& kind : kinds()) {
        for (const auto relay : { relay_kind::platform_entry, relay_kind::own_entry, relay_kind::own_agent }) {
            for (const auto then : { after_answer::close, after_answer::keep }) {
                if (kind.unframed && then == after_answer::keep)
                    continue;
                const relay_case asked { kind, kind.bytes.size(), then, true, relay, false, kind.unframed };
                const auto seen = bench.run(asked);
                INFO(nameOf(asked));
                CHECK(seen.complete);
                CHECK(seen.finished);
                CHECK(seen.body == kind.body);
            }
        }
    }
}
