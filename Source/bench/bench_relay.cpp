// What the relay of an event stream costs: processor time an event, memory a stream.

#include "bench/bench_flags.h"
#include "bench/benchmarks.h"
#include "bench/process_figures.h"
#include "daemon/answer_relay.h"
#include "daemon/http_client.h"

#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <ctime>
#include <iostream>
#include <unistd.h>

namespace rampgap::bench {

namespace {

    namespace asio = boost::asio;
    constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
    constexpr milliseconds deadline { 120'000 };
    constexpr int quickFactor = 10;

    std::string chunkOf(const std::string& text)
    {
        std::ostringstream chunk;
        chunk << std::hex << text.size() << "\r\n"
              << text << "\r\n";
        return chunk.str();
    }

    // Answers one request on each of its connections with a stream of events, so many of them a chunk.
    awaitable<void> serveStream(tcp::acceptor& acceptor, int events, int eventsPerChunk)
    {
        auto [refused, socket] = co_await acceptor.async_accept(asTuple);
        std::array<char, 1'024> request {};
        co_await socket.async_read_some(asio::buffer(request), asTuple);
        const std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
        co_await asio::async_write(socket, asio::buffer(head), asTuple);
        std::string text;
        for (int event = 1; event <= events; ++event) {
            text += "id: " + std::to_string(event) + "\ndata: {\"text\":\"four tokens of an answer\",\"index\":0}\n\n";
            if (event % eventsPerChunk != 0)
                continue;
            const std::string chunk = chunkOf(std::exchange(text, {}));
            co_await asio::async_write(socket, asio::buffer(chunk), asTuple);
        }
        const std::string last = "0\r\n\r\n";
        co_await asio::async_write(socket, asio::buffer(last), asTuple);
    }

    // Takes an answer and forgets it.
    class sink_exchange : public http_exchange {
    public:
        const http_request& request() const override { return m_request; }
        instant receivedAt() const override { return m_receivedAt; }
        awaitable<bool> send(http_response) override { co_return true; }
        awaitable<bool> begin(http_head) override { co_return true; }
        awaitable<bool> write(std::string_view) override { co_return true; }
        awaitable<bool> finish() override { co_return true; }
        void closeAfterAnswer() override { }
        void abort() override { }
        bool begun() const override { return false; }
        bool callerGone() const override { return false; }
        void onCallerGone(std::function<void()>) override { }

    private:
        instant m_receivedAt = boot_clock::now();
        http_request m_request;
    };

    awaitable<void> relayOne(http_client& client, std::string address, std::uint64_t& relayed)
    {
        http_call call(client);
        http_request request { http::verb::get, "/", 11 };
        auto head = co_await call.start(std::move(address), std::move(request), boot_clock::now() + deadline);
        if (!head)
            co_return;
        sink_exchange exchange;
        relay_progress progress;
        relay_options options;
        options.wholeEvents = true;
        options.contract = event_contract::numbered;
        options.checkContinuation = true;
        co_await relayAnswer(call, std::move(head.value()), exchange, progress, options);
        relayed += progress.events;
    }

    struct relay_run {
        int streams = 1;
        int events = 0;
        int eventsPerChunk = 1;
    };

    void measure(const relay_run& run)
    {
        process_context context { "bench", "a", "bench" };
        http_client client(context);
        tcp::acceptor acceptor(context.io(), { asio::ip::address_v4::loopback(), 0 });
        const std::string address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
        std::uint64_t relayed = 0;
        for (int stream = 0; stream < run.streams; ++stream) {
            asio::co_spawn(context.io(), serveStream(acceptor, run.events, run.eventsPerChunk), asio::detached);
            asio::co_spawn(context.io(), relayOne(client, address, relayed), asio::detached);
        }
        const double before = residentMb(getpid());
        const std::clock_t begin = std::clock();
        context.io().run_for(deadline);
        const double seconds = static_cast<double>(std::clock() - begin) / CLOCKS_PER_SEC;
        std::cout << "streams=" << run.streams << " events_per_chunk=" << run.eventsPerChunk << " relayed=" << relayed
                  << " events_per_core_second=" << static_cast<std::int64_t>(static_cast<double>(relayed) / seconds)
                  << " kb_per_stream=" << (residentMb(getpid()) - before) * 1024 / run.streams << "\n";
    }

} // namespace

int benchRelay(const bench_flags& flags)
{
    const int part = flags.quick ? quickFactor : 1;
    for (const int eventsPerChunk : { 1, 4, 100 })
        measure({ 1, 1'000'000 / part, eventsPerChunk });
    measure({ 500, 2'000 / part, 1 });
    return 0;
}

} // namespace rampgap::bench
