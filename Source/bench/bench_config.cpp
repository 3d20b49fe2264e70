// Distribution of declarations over growing fleets of processes.

#include "bench/bench_flags.h"
#include "bench/benchmarks.h"
#include "bench/percentiles.h"
#include "bench/process_figures.h"
#include "harness/test_fleet.h"

#include <boost/json.hpp>
#include <chrono>
#include <csignal>
#include <iostream>
#include <thread>

namespace rampgap::bench {

namespace {

    using wall = std::chrono::system_clock;

    std::int64_t wallNs()
    {
        return std::chrono::duration_cast<std::chrono::nanoseconds>(wall::now().time_since_epoch()).count();
    }

    double metricOf(const std::string& address, const std::string& name)
    {
        const std::string page = test::get(address, "/metrics").body;
        const auto at = page.find("\n" + name + " ");
        return at == std::string::npos ? 0 : std::stod(page.substr(at + name.size() + 2));
    }

    // When the process put the revision in force, by its own time line.
    std::int64_t inForceAt(const std::string& address, std::uint64_t revision)
    {
        const auto page = boost::json::parse(test::get(address, "/operator/timeline", test::operatorKey).body);
        const std::string wanted = "revision=" + std::to_string(revision) + " ";
        for (const auto& event : page.at("events").as_array()) {
            if (event.at("kind").as_string() == "revision_in_force" && std::string(event.at("detail").as_string()).starts_with(wanted))
                return event.at("wall_ns").to_number<std::int64_t>();
        }
        return 0;
    }

    // Milliseconds until each live process had the revision.
    std::vector<double> spreadTimes(test::test_fleet& fleet, std::uint64_t revision, std::int64_t publishedAt)
    {
        std::vector<double> times;
        for (const auto& name : fleet.entryNames()) {
            if (fleet.entry(name).id() <= 0)
                continue;
            std::int64_t at = 0;
            test::eventually([&] { return (at = inForceAt(fleet.entry(name).address(), revision)) != 0; });
            times.push_back(static_cast<double>(at - publishedAt) / 1e6);
        }
        return times;
    }

    double reads(test::test_fleet& fleet)
    {
        return std::stod(test::get(fleet.platform().address(), "/standin/reads").body);
    }

    void printSpread(const std::string& what, int processes, const std::vector<double>& times)
    {
        std::cout << "processes=" << processes << " event=" << what << " in_force_ms_p50=" << percentile(times, 0.5) << " p95=" << percentile(times, 0.95) << " max=" << percentile(times, 1) << std::endl;
    }

    // Callers who move on to another entry VM right after one has shown them a change: how
    // many are answered by an older revision, without and with the revision that they saw.
    void measureSessions(test::test_fleet& fleet, int processes)
    {
        constexpr int changes = 20;
        constexpr std::size_t followed = 10;
        const auto names = fleet.entryNames();
        for (const bool carried : { false, true }) {
            int asked = 0;
            int stale = 0;
            int refused = 0;
            std::vector<double> waits;
            for (int i = 0; i < changes; ++i) {
                const auto revision = fleet.publish(fleet.declarationBody({ { "a1", i % 2 ? "checks_fencing = yes" : "" } }));
                test::eventually([&] { return fleet.revision(fleet.entry(names.front()).address()) >= revision; });
                for (std::size_t other = 1; other <= followed && other < names.size(); ++other) {
                    auto request = test::completion(test::smallKey, "assistant", "session", 1, false);
                    if (carried)
                        request.headers.emplace_back("Rampgap-Revision-Seen", std::to_string(revision));
                    const auto begin = std::chrono::steady_clock::now();
                    const auto answer = test::test_client(fleet.entry(names[other]).address()).send(request);
                    waits.push_back(std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - begin).count());
                    ++asked;
                    refused += answer.status == 503 ? 1 : 0;
                    stale += answer.status == 200 && std::stoull("0" + answer.header("Rampgap-Revision")) < revision ? 1 : 0;
                }
            }
            std::cout << "processes=" << processes << " event=session revision_carried=" << (carried ? "yes" : "no") << " asked=" << asked << " stale_answers=" << stale
                      << " refused=" << refused << " answer_ms_p50=" << percentile(waits, 0.5) << " p99=" << percentile(waits, 0.99) << std::endl;
        }
    }

    // One zone is cut off from the others and from the service while a change comes.
    void measureCut(test::test_fleet& fleet, int processes)
    {
        std::vector<std::string> cutOff;
        std::vector<std::string> others { "a1" };
        const auto names = fleet.entryNames();
        for (const auto& name : names)
            (std::stoi(name.substr(1)) % 3 == 2 ? cutOff : others).push_back(name);
        fleet.cut(cutOff, others, true);
        const auto published = wallNs();
        const auto revision = fleet.publish(fleet.declarationBody({ { "a1", "checks_fencing = yes\ndraining = no" } }));
        std::vector<double> times;
        for (const auto& name : others) {
            if (name == "a1")
                continue;
            std::int64_t at = 0;
            test::eventually([&] { return (at = inForceAt(fleet.entry(name).address(), revision)) != 0; });
            times.push_back(static_cast<double>(at - published) / 1e6);
        }
        std::cout << "processes=" << processes << " event=change_while_a_zone_is_cut in_force_ms_p50=" << percentile(times, 0.5) << " p95=" << percentile(times, 0.95) << " max=" << percentile(times, 1) << std::endl;
        const auto healed = wallNs();
        fleet.heal();
        times.clear();
        for (const auto& name : cutOff) {
            std::int64_t at = 0;
            test::eventually([&] { return (at = inForceAt(fleet.entry(name).address(), revision)) != 0; });
            times.push_back(static_cast<double>(at - healed) / 1e6);
        }
        std::cout << "processes=" << processes << " event=cut_zone_after_healing in_force_ms_p50=" << percentile(times, 0.5) << " p95=" << percentile(times, 0.95) << " max=" << percentile(times, 1) << std::endl;
    }

    void measure(int processes, double idleSeconds)
    {
        test::test_fleet fleet;
        fleet.setEntryFlags({ "--set", "process.exchange_interval_ms=2000" });
        fleet.addBackend({ "a1", "z0", "assistant", 8, {}, "" });
        for (int i = 0; i < processes; ++i)
            fleet.addEntry("e" + std::to_string(i), "z" + std::to_string(i % 3));
        fleet.startServing();
        const auto change = [&](int number) {
            const auto at = wallNs();
            const auto revision = fleet.publish(fleet.declarationBody({ { "a1", number % 2 ? "checks_fencing = yes" : "" } }));
            return spreadTimes(fleet, revision, at);
        };
        std::vector<double> all;
        for (int i = 0; i < 5; ++i) {
            const auto times = change(i + 1);
            all.insert(all.end(), times.begin(), times.end());
        }
        printSpread("change", processes, all);

        // Idle cost of the control path.
        const std::string sample = fleet.entry("e1").address();
        const pid_t process = fleet.entry("e1").id();
        const double readsBefore = reads(fleet);
        const double bytesBefore = metricOf(sample, "rampgap_exchange_bytes_total");
        const double messagesBefore = metricOf(sample, "rampgap_exchanges_sent_total") + metricOf(sample, "rampgap_exchanges_received_total");
        const double cpuBefore = processorSeconds(process);
        std::this_thread::sleep_for(std::chrono::duration<double>(idleSeconds));
        const double messages = metricOf(sample, "rampgap_exchanges_sent_total") + metricOf(sample, "rampgap_exchanges_received_total") - messagesBefore;
        std::cout << "processes=" << processes << " event=idle reads_per_second=" << (reads(fleet) - readsBefore) / idleSeconds
                  << " bytes_per_second_node=" << (metricOf(sample, "rampgap_exchange_bytes_total") - bytesBefore) / idleSeconds
                  << " messages_per_second_node=" << messages / idleSeconds << " core_share_node=" << (processorSeconds(process) - cpuBefore) / idleSeconds
                  << " mb_node=" << residentMb(process) << std::endl;

        measureSessions(fleet, processes);
        measureCut(fleet, processes);

        // All readers of all zones die at once, and the list of VMs does not say so.
        int killed = 0;
        for (const auto& name : fleet.entryNames()) {
            const bool reader = test::get(fleet.entry(name).address(), "/operator/status", test::operatorKey).body.find("\"reader\":true") != std::string::npos;
            if (!reader || name == "e1")
                continue;
            fleet.entry(name).kill();
            ++killed;
        }
        printSpread("change_after_" + std::to_string(killed) + "_readers_killed", processes, change(7));

        // The service is down for two seconds; the change is published in between.
        test::post(fleet.platform().address(), "/standin/faults?down=1");
        const auto published = wallNs();
        const auto revision = fleet.publish(fleet.declarationBody({ { "a1", "" } }));
        std::this_thread::sleep_for(std::chrono::seconds(2));
        test::post(fleet.platform().address(), "/standin/faults?down=0");
        printSpread("change_during_2000_ms_outage", processes, spreadTimes(fleet, revision, published));
    }

} // namespace

int benchConfig(const bench_flags& flags)
{
    std::cout << describeRun(flags) << "\n";
    const std::vector<int> sizes = flags.quick ? std::vector<int> { 10, 30 } : std::vector<int> { 10, 50, 100, 200 };
    for (const int processes : sizes)
        measure(processes, flags.quick ? 5 : 20);
    return 0;
}

} // namespace rampgap::bench
