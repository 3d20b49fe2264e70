// Guards against servers whose bytes never end: every call ends by its deadline at the latest, and keeps little of what was sent.
// The calls are those of all clients: entry VMs to engines, agents to engines and to each other, readers to the store.
#include "daemon/answer_relay.h"
#include "daemon/http_client.h"
#include "daemon/task.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>
#include <sys/resource.h>

using namespace rampgap;

namespace {

namespace asio = boost::asio;
constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
constexpr milliseconds deadline { 1'000 };
// How much later than its deadline a call may end.
constexpr milliseconds grace { 500 };
// Of what the server sends, a call may keep its body, up to this, and a head.
constexpr std::size_t bodyLimit = 1'048'576;
constexpr std::size_t memoryLimit = 8'388'608;

// Answers each request with `begin` and then, for ever, with `repeated`; with an empty `repeated` it keeps the connection.
class endless_server {
public:
    endless_server(process_context& context, std::string begin, std::string repeated)
        : m_context(context)
        , m_acceptor(context.io(), { asio::ip::address_v4::loopback(), 0 })
        , m_begin(std::move(begin))
    {
        while (!repeated.empty() && m_repeated.size() < 65'536)
            m_repeated += repeated;
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port()); }

    awaitable<void> serve()
    {
        for (;;) {
            auto [refused, socket] = co_await m_acceptor.async_accept(asTuple);
            startTask(m_context, "answer", answer(std::move(socket)));
        }
    }

    bool closed() const { return m_closed; }

private:
    awaitable<void> answer(tcp::socket socket)
    {
        std::string request(1'024, '\0');
        co_await socket.async_read_some(asio::buffer(request), asTuple);
        auto [error, size] = co_await asio::async_write(socket, asio::buffer(m_begin), asTuple);
        while (!error && !m_repeated.empty())
            std::tie(error, size) = co_await asio::async_write(socket, asio::buffer(m_repeated), asTuple);
        if (!error)
            co_await socket.async_read_some(asio::buffer(request), asTuple);
        m_closed = true;
    }

    process_context& m_context;
    tcp::acceptor m_acceptor;
    std::string m_begin;
    std::string m_repeated;
    bool m_closed = false;
};

std::size_t peakMemory()
{
    rusage used {};
    getrusage(RUSAGE_SELF, &used);
    return static_cast<std::size_t>(used.ru_maxrss) * 1'024;
}

struct fetched {
    std::optional<result<http_response>> answer;
    duration took {};
};

awaitable<void> fetch(http_client& client, std::string address, fetched& outcome)
{
    const instant began = boot_clock::now();
    http_request request { http::verb::get, "/api", 11 };
    auto answer = co_await client.fetch(std::move(address), std::move(request), deadline, bodyLimit);
    outcome.took = boot_clock::now() - began;
    outcome.answer.emplace(std::move(answer));
}

fetched fetchFrom(const std::string& begin, const std::string& repeated)
{
    process_context context { "p", "z", "entry" };
    http_client client(context);
    endless_server server(context, begin, repeated);
    fetched outcome;
    startTask(context, "serve", server.serve());
    startTask(context, "fetch", fetch(client, server.address(), outcome));
    context.io().run_for(deadline + grace);
    if (outcome.answer && !outcome.answer->has_value())
        CHECK(server.closed());
    return outcome;
}

const std::string head = "HTTP/1.1 200 OK\r\n";
const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";

} // namespace

TEST_CASE("bytes without end, in whatever part of an answer, end the call and its connection, and are not kept")
{
    const std::pair<std::string, std::string> kinds[] = {
        { "HTTP/1.1 200 ", "a" },
        { head + "X-Long: ", "a" },
        { head, "X-Line: a\r\n" },
        { "", "HTTP/1.1 100 Continue\r\n\r\n" },
        { "", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" },
        { "", "\x16\x03\x01garbage" },
        { chunked, "0" },
        { chunked + "1;x=", "a" },
        { chunked, "1;x=aaaaaaaa\r\nb\r\n" },
        { chunked + "1\r\na\r\n0\r\nX-Long: ", "a" },
        { chunked + "1\r\na\r\n0\r\n", "X-Line: a\r\n" },
        { chunked, "4\r\naaaa\r\n" },
        { head + "\r\n", "a" },
        { head + "Content-Length: 18446744073709551615\r\n\r\n", "a" },
    };
    const std::size_t before = peakMemory();
    for (const auto& [begin, repeated] : kinds) {
        const auto outcome = fetchFrom(begin, repeated);
        INFO(begin << " and then " << repeated);
        REQUIRE(outcome.answer);
        CHECK_FALSE(outcome.answer->has_value());
        CHECK((outcome.took <= deadline + grace));
    }
    CHECK(peakMemory() - before < memoryLimit);
}

TEST_CASE("interim answers are skipped, a few of them, and a change of protocol that nobody asked for is none")
{
    const std::string interim = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n";
    const std::string last = head + "Content-Length: 2\r\n\r\nok";
    const auto skipped = fetchFrom(interim + last, "");
    REQUIRE(skipped.answer);
    REQUIRE(skipped.answer->has_value());
    CHECK(skipped.answer->value().result_int() == 200);
    CHECK(skipped.answer->value().body() == "ok");
    std::string many;
    for (int i = 0; i < 5; ++i)
        many += interim;
    const auto tooMany = fetchFrom(many + last, "");
    REQUIRE(tooMany.answer);
    CHECK_FALSE(tooMany.answer->has_value());
    const auto switched = fetchFrom("HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n" + last, "");
    REQUIRE(switched.answer);
    REQUIRE_FALSE(switched.answer->has_value());
    CHECK((switched.answer->error().ran == verdict::may_have_run));
}

TEST_CASE("a share of a budget is given back, and small ones are had whatever the others hold")
{
    const auto budget = std::make_shared<byte_budget>(100);
    held_bytes first(budget, 10);
    CHECK(first.resize(110));
    CHECK(budget->used() == 100);
    {
        held_bytes second(budget, 10);
        CHECK(second.resize(10));
        CHECK_FALSE(second.resize(11));
        CHECK(first.resize(60));
        CHECK(second.resize(60));
        CHECK(budget->used() == 100);
    }
    CHECK(budget->used() == 50);
}
