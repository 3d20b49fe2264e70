// An answer with neither a length nor chunks ends with its connection: it must be passed on as it comes and be complete,
// and it must not look complete if the server broke it off, by a reset, inside an event, or by ending itself.
#include "daemon/answer_relay.h"
#include "daemon/http_client.h"

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
const std::string streamHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n";
const std::string plainHead = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nConnection: close\r\n\r\n";

// Answers one request with the given bytes, and then closes or resets the connection.
class one_answer_server {
public:
    one_answer_server(asio::io_context& io, std::string bytes, bool resets)
        : m_acceptor(io, { asio::ip::address_v4::loopback(), 0 })
        , m_bytes(std::move(bytes))
        , m_resets(resets)
    {
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port()); }

    awaitable<void> serve()
    {
        auto [refused, socket] = co_await m_acceptor.async_accept(asTuple);
        std::array<char, 1'024> request {};
        const auto [unread, size] = co_await socket.async_read_some(asio::buffer(request), asTuple);
        const auto [unsent, written] = co_await asio::async_write(socket, asio::buffer(m_bytes), asTuple);
        CHECK_FALSE((refused || unread || unsent));
        if (m_resets)
            socket.set_option(asio::socket_base::linger(true, 0));
        socket.close();
    }

private:
    tcp::acceptor m_acceptor;
    std::string m_bytes;
    bool m_resets;
};

class recorded_exchange : public http_exchange {
public:
    const http_request& request() const override { return m_request; }
    instant receivedAt() const override { return m_receivedAt; }
    awaitable<bool> send(http_response response) override
    {
        body = response.body();
        finished = true;
        co_return true;
    }
    awaitable<bool> begin(http_head) override { co_return true; }
    awaitable<bool> write(std::string_view bytes) override
    {
        body += bytes;
        co_return true;
    }
    awaitable<bool> finish() override
    {
        finished = true;
        co_return true;
    }
    void closeAfterAnswer() override { }
    void abort() override { }
    bool begun() const override { return false; }
    bool callerGone() const override { return false; }
    void onCallerGone(std::function<void()>) override { }

    std::string body;
    bool finished = false;

private:
    instant m_receivedAt = boot_clock::now();
    http_request m_request;
};

struct relayed {
    relay_end end = relay_end::complete;
    std::string body;
    bool finished = false;
};

awaitable<void> relay(http_client& client, const std::string& address, recorded_exchange& exchange, bool isServerAlive, std::size_t heldAnswers, std::optional<relay_end>& end)
{
    http_call call(client);
    http_request request { http::verb::get, "/", 11 };
    auto head = co_await call.start(address, std::move(request), boot_clock::now() + maxWait);
    REQUIRE(head);
    relay_progress progress;
    relay_options options;
    options.wholeEvents = true;
    options.bufferUnframed = true;
    options.heldAnswers = std::make_shared<byte_budget>(heldAnswers);
    options.judgeEnd = [isServerAlive]() -> awaitable<answer_end_sign> { co_return isServerAlive ? answer_end_sign::server_answers : answer_end_sign::server_ended; };
    const auto outcome = co_await relayAnswer(call, std::move(head.value()), exchange, progress, std::move(options));
    end = outcome.end;
}

// `heldAnswers`: what all answers may hold together.
relayed relayFrom(const std::string& bytes, bool resets = false, bool isServerAlive = true, std::size_t heldAnswers = 1'048'576)
{
    process_context context { "entry", "a", "entry" };
    http_client client(context);
    one_answer_server server(context.io(), bytes, resets);
    recorded_exchange exchange;
    std::optional<relay_end> end;
    asio::co_spawn(context.io(), server.serve(), asio::detached);
    asio::co_spawn(context.io(), relay(client, server.address(), exchange, isServerAlive, heldAnswers, end), asio::detached);
    context.io().run_for(maxWait);
    REQUIRE(end);
    return { *end, exchange.body, exchange.finished };
}

} // namespace

TEST_CASE("an unframed stream that ends between two events is complete")
{
    const auto whole = relayFrom(streamHead + "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    CHECK((whole.end == relay_end::complete));
    CHECK(whole.finished);
    CHECK(whole.body == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
}

TEST_CASE("an unframed stream that ends inside an event is broken off, and its caller gets whole events only")
{
    for (const std::string rest : { "id: 2", "id: 2\ndata: b\n" }) {
        const auto broken = relayFrom(streamHead + "id: 1\ndata: a\n\n" + rest);
        CHECK((broken.end == relay_end::truncated));
        CHECK_FALSE(broken.finished);
        CHECK(broken.body == "id: 1\ndata: a\n\n");
    }
}

TEST_CASE("an unframed stream without any event is broken off")
{
    const auto broken = relayFrom(streamHead);
    CHECK((broken.end == relay_end::truncated));
    CHECK_FALSE(broken.finished);
}

TEST_CASE("an unframed stream that is reset between two events is broken off")
{
    const auto broken = relayFrom(streamHead + "id: 1\ndata: a\n\n", true);
    CHECK((broken.end == relay_end::truncated));
    CHECK_FALSE(broken.finished);
}

TEST_CASE("an unframed stream whose server has ended with it between two events is broken off")
{
    const auto broken = relayFrom(streamHead + "id: 1\ndata: a\n\n", false, false);
    CHECK((broken.end == relay_end::truncated));
    CHECK_FALSE(broken.finished);
    CHECK(broken.body == "id: 1\ndata: a\n\n");
}

TEST_CASE("an unframed plain answer is passed on whole, and not at all if it was reset or its server has ended")
{
    const auto whole = relayFrom(plainHead + "answer");
    CHECK((whole.end == relay_end::complete));
    CHECK(whole.body == "answer");
    for (const bool resets : { true, false }) {
        const auto broken = relayFrom(plainHead + "ans", resets, false);
        CHECK((broken.end == relay_end::truncated));
        CHECK(broken.body.empty());
    }
}

TEST_CASE("a stated length that no answer has ends the call at once, and its caller is not left without an end")
{
    for (const char* length : { "9223372036854775807", "9223372036854775808", "18446744073709551615" }) {
        const auto broken = relayFrom("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: " + std::string(length) + "\r\n\r\nid: 1\ndata: a\n\n");
        CHECK_MESSAGE((broken.end == relay_end::truncated), length);
        CHECK_FALSE(broken.finished);
    }
}

TEST_CASE("an unframed plain answer that is more than may be held is passed on as it comes, and whole")
{
    const std::string body(200'000, 'b');
    const auto whole = relayFrom(plainHead + body, false, true, 50'000);
    CHECK((whole.end == relay_end::complete));
    CHECK(whole.finished);
    CHECK(whole.body == body);
}

TEST_CASE("an event that is larger than may be held ends its stream after the last whole event")
{
    const std::string sound = "id: 1\ndata: a\n\n";
    const auto alone = relayFrom(streamHead + sound + "data: " + std::string(300'000, 'e') + "\n\n");
    CHECK((alone.end == relay_end::truncated));
    CHECK(alone.body == sound);
    // Others hold what all may hold; an event of a usual size is passed on all the same.
    const auto beside = relayFrom(streamHead + sound + "data: " + std::string(10'000, 'e') + "\n\n", false, true, 0);
    CHECK((beside.end == relay_end::complete));
    CHECK(beside.body.size() == sound.size() + 10'008);
}
