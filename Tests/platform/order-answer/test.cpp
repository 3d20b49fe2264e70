// Guards against an answer that is taken for that of another order: an engine that sends an answer twice leaves a copy on a kept
// connection, where the next order would find it.
#include "platform/rank_client.h"

#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>
#include <list>

using namespace rampgap;

namespace {

namespace asio = boost::asio;
constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
constexpr milliseconds maxWait { 2'000 };

const std::string accepted = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
const std::string fenced = "HTTP/1.1 412 Precondition Failed\r\nContent-Length: 0\r\n\r\n";

std::string answerWith(const std::string& status, const std::string& body)
{
    return "HTTP/1.1 " + status + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

const std::string report = R"({"group":{"name":"g","epoch":1,"rank":0,"state":"open"},"size":1,"step":7})";

std::string state()
{
    return answerWith("200 OK", report);
}

// Refuses each order, and answers each query with its state.
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
            ++connections;
            asio::co_spawn(m_acceptor.get_executor(), answer(std::move(socket)), asio::detached);
        }
    }

    // Sent before the answer to each order, as an earlier answer's second copy that arrives late.
    std::string copy;
    // The copy alone answers the order, and the order's answer comes where that to the query is due.
    bool shifted = false;
    std::string orderAnswer = fenced;
    std::string stateAnswer = state();
    int connections = 0;

private:
    awaitable<void> answer(tcp::socket socket)
    {
        for (;;) {
            std::array<char, 2'048> request {};
            const auto [error, size] = co_await socket.async_read_some(asio::buffer(request), asTuple);
            if (error)
                co_return;
            const bool isOrder = std::string_view(request.data(), size).starts_with("POST");
            std::string sent = isOrder ? copy + orderAnswer : stateAnswer;
            if (shifted)
                sent = isOrder ? copy : orderAnswer;
            co_await asio::async_write(socket, asio::buffer(sent), asTuple);
        }
    }

    tcp::acceptor m_acceptor;
};

struct setting {
    process_context context { "test", "a", "agent" };
    engine server { context.io() };
    platform::rank_client client { context, "127.0.0.1" };

    // The state as the client reads it; empty if it cannot.
    std::optional<rank_view> read()
    {
        std::optional<rank_view> view;
        asio::co_spawn(context.io(), server.serve(), asio::detached);
        asio::co_spawn(
            context.io(), [&]() -> awaitable<void> {
                const auto answer = co_await client.state(server.address());
                if (answer)
                    view = answer.value();
                context.io().stop();
            },
            asio::detached);
        context.io().run_for(maxWait);
        return view;
    }

    order_answer order()
    {
        map_order sent;
        sent.kind = map_order_kind::disarm;
        sent.placement = 5;
        order_answer answer;
        asio::co_spawn(context.io(), server.serve(), asio::detached);
        asio::co_spawn(
            context.io(), [&]() -> awaitable<void> {
                answer = co_await client.order(server.address(), "i-1", sent);
                context.io().stop();
            },
            asio::detached);
        context.io().run_for(maxWait);
        return answer;
    }
};

} // namespace

TEST_CASE("a copy of an earlier answer is not taken for the answer to an order")
{
    for (const std::string& copy : { accepted, state() }) {
        setting run;
        run.server.copy = copy;
        CHECK((run.order().reply == order_reply::unanswered));
    }
}

TEST_CASE("an order's own answer counts, with a state that was read after it over the same connection")
{
    setting run;
    const auto answer = run.order();
    CHECK((answer.reply == order_reply::fenced));
    REQUIRE(answer.after.has_value());
    CHECK(answer.after->step == 7);
    CHECK(run.server.connections == 1);
}

TEST_CASE("the answer to an order is not taken for the state after it, whatever its body is")
{
    for (const char* body : { "{}", R"({"sequence":3})", R"({"error":"the step has begun"})" }) {
        setting run;
        run.server.orderAnswer = answerWith("200 OK", body);
        run.server.copy = accepted;
        run.server.shifted = true;
        const auto answer = run.order();
        CHECK_MESSAGE((answer.reply == order_reply::unanswered), std::string(body));
        CHECK_FALSE(answer.after.has_value());
    }
}

TEST_CASE("a report with a status of failure is no state, and shows nothing of an order")
{
    for (const char* status : { "500 Internal Server Error", "503 Service Unavailable", "421 Misdirected Request", "204 No Content", "404 Not Found" }) {
        setting run;
        run.server.stateAnswer = answerWith(status, report);
        CHECK_MESSAGE((run.order().reply == order_reply::unanswered), std::string(status));
        setting polled;
        polled.server.stateAnswer = answerWith(status, report);
        CHECK_MESSAGE(!polled.read().has_value(), std::string(status));
    }
    setting sound;
    const auto view = sound.read();
    REQUIRE(view.has_value());
    CHECK(view->step == 7);
}
