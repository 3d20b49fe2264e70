// Goodput at and above the capacity of a backend, with and without shedding.

#include "bench/bench_flags.h"
#include "bench/benchmarks.h"
#include "bench/percentiles.h"
#include "harness/test_fleet.h"

#include <atomic>
#include <chrono>
#include <iostream>
#include <mutex>
#include <thread>

namespace rampgap::bench {

namespace {

    using clock = std::chrono::steady_clock;

    constexpr int slots = 8;
    constexpr int stepMs = 5;
    constexpr int tokens = 18;
    constexpr int prefillSteps = 2;
    constexpr double capacityPerSecond = slots * 1'000.0 / (stepMs * (tokens + prefillSteps));
    constexpr int timeoutMs = 500;

    struct overload_figures {
        int sent = 0;
        int good = 0;
        int refused = 0;
        int late = 0;
        std::vector<double> refusalMs;
    };

    // Requests come at a fixed rate, whatever happens to the earlier ones.
    overload_figures offerLoad(const std::string& entry, double factor, double seconds)
    {
        const double rate = factor * capacityPerSecond;
        const int total = static_cast<int>(rate * seconds);
        const int callers = static_cast<int>(rate * timeoutMs / 1'000) + 16;
        std::atomic<int> next { 0 };
        std::mutex lock;
        overload_figures figures;
        const auto begin = clock::now();
        std::vector<std::thread> threads;
        for (int i = 0; i < callers; ++i) {
            threads.emplace_back([&] {
                test::test_client client(entry);
                for (int number = next++; number < total; number = next++) {
                    std::this_thread::sleep_until(begin + std::chrono::duration_cast<clock::duration>(std::chrono::duration<double>(number / rate)));
                    auto request = test::completion(test::smallKey, "assistant", "o" + std::to_string(number), tokens, false);
                    request.headers.emplace_back("Rampgap-Timeout-Ms", std::to_string(timeoutMs));
                    const auto sentAt = clock::now();
                    const auto answer = client.send(request);
                    const double ms = std::chrono::duration<double, std::milli>(clock::now() - sentAt).count();
                    const std::lock_guard<std::mutex> guard(lock);
                    ++figures.sent;
                    if (answer.status == 200 && ms <= timeoutMs)
                        ++figures.good;
                    else if (answer.status == 503) {
                        ++figures.refused;
                        figures.refusalMs.push_back(ms);
                    } else
                        ++figures.late;
                }
            });
        }
        for (auto& thread : threads)
            thread.join();
        return figures;
    }

} // namespace

int benchOverload(const bench_flags& flags)
{
    const double seconds = flags.quick ? 3 : 10;
    std::cout << describeRun(flags) << " capacity_per_second=" << capacityPerSecond << " timeout_ms=" << timeoutMs << " seconds=" << seconds << "\n";
    for (const std::string shedding : { "yes", "no" }) {
        test::test_fleet fleet;
        fleet.setAgentFlags({ "--set", "agent.shedding=" + shedding });
        fleet.addBackend({ "a1", "lac", "assistant", slots, { "--step-ms", std::to_string(stepMs), "--prefill-steps", std::to_string(prefillSteps) }, "" });
        fleet.addEntry("e1", "lac");
        fleet.startServing();
        for (const double factor : { 1.0, 2.0, 5.0 }) {
            const auto figures = offerLoad(fleet.entry("e1").address(), factor, seconds);
            std::cout << "shedding=" << shedding << " load=" << factor << " sent=" << figures.sent << " good=" << figures.good << " refused=" << figures.refused << " late=" << figures.late
                      << " goodput_per_second=" << figures.good / seconds << " refusal_ms_p50=" << percentile(figures.refusalMs, 0.5) << " refusal_ms_p99=" << percentile(figures.refusalMs, 0.99) << std::endl;
        }
    }
    return 0;
}

} // namespace rampgap::bench
