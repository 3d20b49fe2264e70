// Guards against an agent that takes an earlier report of its engine for the present one, or an order for carried out that the
// engine's report does not show: other ranks would switch their map without this one.
#include "daemon/http_client.h"
#include "discovery/rank_engine.h"

#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

using namespace rampgap;

namespace {

namespace asio = boost::asio;
constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
constexpr milliseconds maxWait { 2'000 };

std::string reportWith(map_id staged)
{
    const std::string body = R"({"step":7,"committed_map":1,"committed_step":2,"staged_map":)" + std::to_string(staged) + R"(,"staged_step":9})";
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Carries out orders, and sends the answer before once more in front of each further answer on a connection.
class engine {
public:
    explicit engine(asio::io_context& io)
        : m_acceptor(io, { asio::ip::address_v4::loopback(), 0 })
    {
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port()); }

    awaitable<void> serve()
    {
        for (;;) {
            auto [error, socket] = co_await m_acceptor.async_accept(asTuple);
            if (error)
                co_return;
            asio::co_spawn(m_acceptor.get_executor(), answer(std::move(socket)), asio::detached);
        }
    }

    bool ignoresOrders = false;

private:
    awaitable<void> answer(tcp::socket socket)
    {
        std::string before;
        for (;;) {
            std::array<char, 2'048> request {};
            const auto [error, size] = co_await socket.async_read_some(asio::buffer(request), asTuple);
            if (error)
                co_return;
            if (std::string_view(request.data(), size).starts_with("POST") && !ignoresOrders)
                m_staged = 5;
            const std::string own = reportWith(m_staged);
            co_await asio::async_write(socket, asio::buffer(before + own), asTuple);
            before = own;
        }
    }

    tcp::acceptor m_acceptor;
    map_id m_staged = 0;
};

struct setting {
    process_context context { "test", "a", "agent" };
    engine server { context.io() };
    http_client client { context };
    std::unique_ptr<rank_engine> ranks = rank_engine::makeHttp(client, server.address());

    template <class Work>
    void run(Work work)
    {
        asio::co_spawn(context.io(), server.serve(), asio::detached);
        asio::co_spawn(
            context.io(), [&]() -> awaitable<void> {
                co_await work();
                context.io().stop();
            },
            asio::detached);
        context.io().run_for(maxWait);
    }
};

constexpr engine_order stage { engine_order_kind::stage, 5, 9 };

} // namespace

TEST_CASE("a copy of the report before an order is not taken for the one after it")
{
    setting run;
    std::optional<rank_report> after;
    run.run([&]() -> awaitable<void> {
        co_await run.ranks->report();
        const auto report = co_await run.ranks->carryOut(stage, {}, 1);
        if (report)
            after = report.value();
    });
    REQUIRE(after.has_value());
    CHECK(after->state.stagedMap == stage.map);
}

TEST_CASE("an order that the engine's report does not show is not confirmed")
{
    setting run;
    run.server.ignoresOrders = true;
    bool confirmed = true;
    run.run([&]() -> awaitable<void> { confirmed = (co_await run.ranks->carryOut(stage, {}, 1)).has_value(); });
    CHECK_FALSE(confirmed);
}
