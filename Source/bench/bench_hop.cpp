// What entry VM and agent add to a call: latency, processor time, memory, start-up.

#include "bench/bench_flags.h"
#include "bench/benchmarks.h"
#include "bench/percentiles.h"
#include "bench/process_figures.h"
#include "harness/test_fleet.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <iostream>
#include <thread>

namespace rampgap::bench {

namespace {

    using clock = std::chrono::steady_clock;

    double microsecondsSince(clock::time_point begin)
    {
        return std::chrono::duration<double, std::micro>(clock::now() - begin).count();
    }

    // Latencies of `count` calls, one after the other on one connection.
    std::vector<double> callInTurn(const std::string& address, const test::test_request& request, int count)
    {
        test::test_client client(address);
        std::vector<double> latencies;
        for (int i = 0; i < count; ++i) {
            const auto begin = clock::now();
            if (client.send(request).status == 200)
                latencies.push_back(microsecondsSince(begin));
        }
        return latencies;
    }

    void printLatencies(const std::string& name, const std::vector<double>& direct, const std::vector<double>& through)
    {
        for (const double part : { 0.5, 0.95, 0.99 }) {
            const int label = static_cast<int>(part * 100 + 0.5);
            std::cout << name << "_p" << label << "_us direct=" << percentile(direct, part) << " through=" << percentile(through, part)
                      << " added=" << percentile(through, part) - percentile(direct, part) << "\n";
        }
    }

    struct load_figures {
        double perSecond;
        double entryCores;
        double agentCores;
    };

    template <class Work>
    load_figures underLoad(test::test_fleet& fleet, int callers, Work work)
    {
        const double entryBefore = processorSeconds(fleet.entry("e1").id());
        const double agentBefore = processorSeconds(fleet.agent("s1").id());
        const auto begin = clock::now();
        std::vector<std::thread> threads;
        std::vector<double> done(static_cast<std::size_t>(callers), 0);
        for (int i = 0; i < callers; ++i)
            threads.emplace_back([&, i] { done[static_cast<std::size_t>(i)] = work(i); });
        for (auto& thread : threads)
            thread.join();
        const double seconds = microsecondsSince(begin) / 1e6;
        double total = 0;
        for (const double one : done)
            total += one;
        return { total / seconds, (processorSeconds(fleet.entry("e1").id()) - entryBefore) / seconds, (processorSeconds(fleet.agent("s1").id()) - agentBefore) / seconds };
    }

    void printLoad(const std::string& what, const load_figures& figures)
    {
        std::cout << what << "_per_second=" << figures.perSecond << " entry_cores=" << figures.entryCores << " agent_cores=" << figures.agentCores
                  << " per_entry_core=" << figures.perSecond / figures.entryCores << " per_agent_core=" << figures.perSecond / figures.agentCores << "\n";
    }

    // Opens streams and leaves them unread.
    std::vector<std::unique_ptr<boost::asio::ip::tcp::socket>> openStreams(boost::asio::io_context& io, const std::string& address, int count)
    {
        std::vector<std::unique_ptr<boost::asio::ip::tcp::socket>> sockets;
        const auto colon = address.rfind(':');
        const boost::asio::ip::tcp::endpoint endpoint(boost::asio::ip::make_address(address.substr(0, colon)), static_cast<unsigned short>(std::stoi(address.substr(colon + 1))));
        for (int i = 0; i < count; ++i) {
            auto socket = std::make_unique<boost::asio::ip::tcp::socket>(io);
            socket->connect(endpoint);
            const std::string body = R"({"model":"assistant","prompt":"stream )" + std::to_string(i) + R"(","max_tokens":100000,"stream":true})";
            boost::asio::write(*socket, boost::asio::buffer("POST /v1/completions HTTP/1.1\r\nAuthorization: Bearer " + test::smallKey + "\r\nRampgap-Timeout-Ms: 600000\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body));
            sockets.push_back(std::move(socket));
        }
        return sockets;
    }

} // namespace

int benchHop(const bench_flags& flags)
{
    const int calls = flags.quick ? 2'000 : 20'000;
    std::cout << describeRun(flags) << " calls=" << calls << "\n";
    test::test_fleet fleet;
    fleet.addBackend({ "s1", "lac", "filings", 64, { "--step-ms", "0" }, "" });
    fleet.addBackend({ "a1", "lac", "assistant", 1'100, { "--step-ms", "20" }, "" });
    const auto begin = clock::now();
    fleet.addEntry("e1", "lac");
    std::cout << "startup_ms entry=" << microsecondsSince(begin) / 1'000 << "\n";
    fleet.setRules("[rules]\nid_life_ms = 1000\n");
    fleet.startServing();
    std::cout << "idle_mb entry=" << residentMb(fleet.entry("e1").id()) << " agent=" << residentMb(fleet.agent("a1").id()) << "\n";

    const std::string entry = fleet.entry("e1").address();
    const std::string engine = fleet.engine("s1").address();
    const test::test_request plain { boost::beast::http::verb::get, "/filings/status", "", { { "Authorization", "Bearer " + test::smallKey } } };
    callInTurn(entry, plain, 500);
    callInTurn(engine, plain, 500);
    printLatencies("plain_call", callInTurn(engine, plain, calls), callInTurn(entry, plain, calls));

    const auto saturated = underLoad(fleet, 16, [&](int) { return static_cast<double>(callInTurn(entry, plain, calls / 16).size()); });
    printLoad("requests", saturated);

    // Half load: other callers keep the path half busy while one measures.
    std::vector<double> half;
    const auto pause = std::chrono::duration<double>(8 / (saturated.perSecond / 2));
    underLoad(fleet, 9, [&](int number) {
        if (number == 0) {
            half = callInTurn(entry, plain, calls / 4);
            return static_cast<double>(half.size());
        }
        test::test_client client(entry);
        auto next = clock::now();
        for (int i = 0; i < calls / 16; ++i) {
            client.send(plain);
            next += std::chrono::duration_cast<clock::duration>(pause);
            std::this_thread::sleep_until(next);
        }
        return static_cast<double>(calls) / 16;
    });
    printLatencies("half_load", callInTurn(engine, plain, calls / 4), half);

    const double agentBefore = processorSeconds(fleet.agent("a1").id());
    const auto streamBegin = clock::now();
    const auto streams = underLoad(fleet, 64, [&](int number) {
        test::test_client client(entry);
        double tokens = 0;
        for (int i = 0; i < 2; ++i)
            tokens += client.send(test::completion(test::smallKey, "assistant", std::to_string(number), 100, true)).status == 200 ? 100 : 0;
        return tokens;
    });
    const double agentCores = (processorSeconds(fleet.agent("a1").id()) - agentBefore) / (microsecondsSince(streamBegin) / 1e6);
    std::cout << "tokens_per_second=" << streams.perSecond << " entry_cores=" << streams.entryCores << " agent_cores=" << agentCores
              << " per_entry_core=" << streams.perSecond / streams.entryCores << " per_agent_core=" << streams.perSecond / agentCores << "\n";

    constexpr int manyStreams = 1'000;
    boost::asio::io_context io;
    const auto sockets = openStreams(io, entry, manyStreams);
    const bool open = test::eventually([&] { return test::get(fleet.engine("a1").address(), "/standin/runs").body.find("\"in_batch\":1000") != std::string::npos; });
    std::cout << "streams_open=" << (open ? manyStreams : -1) << " mb entry=" << residentMb(fleet.entry("e1").id()) << " agent=" << residentMb(fleet.agent("a1").id()) << "\n";
    return open ? 0 : 1;
}

} // namespace rampgap::bench
