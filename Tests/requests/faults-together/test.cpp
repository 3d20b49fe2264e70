// Faults: kill, freeze, cut and change of declaration, several at once, under load.

#include "harness/test_fleet.h"

#include <atomic>
#include <csignal>
#include <doctest/doctest.h>
#include <random>
#include <thread>

using namespace rampgap::test;

TEST_CASE("no id runs twice while agents die, entry VMs freeze, zones part and backends drain")
{
    constexpr int idsPerCaller = 60;
    constexpr int callers = 6;
    test_fleet fleet;
    fleet.setRules("[rules]\nid_life_ms = 4000\n");
    fleet.addBackend({ "s1", "lac", "filings", 8, {} });
    fleet.addBackend({ "s2", "charguia", "filings", 8, {} });
    fleet.addBackend({ "s3", "ariana", "filings", 8, {} });
    fleet.addEntry("e1", "lac");
    fleet.addEntry("e2", "ariana");
    fleet.startServing();
    REQUIRE(fleet.waitProven("/filings"));

    std::atomic<int> served { 0 };
    std::atomic<bool> stop { false };
    std::atomic<int> finished { 0 };
    std::vector<std::thread> threads;
    for (int number = 0; number < callers; ++number) {
        threads.emplace_back([&, number] {
            std::mt19937 random(static_cast<unsigned>(number));
            for (int i = 0; i < idsPerCaller; ++i) {
                const std::string id = std::to_string(number) + "-" + std::to_string(i);
                // Each id is sent up to three times, by either entry VM.
                for (int repeat = 0; repeat < 3; ++repeat) {
                    auto request = onceCall(smallKey, "/filings", id, "x");
                    request.headers.emplace_back("Rampgap-Timeout-Ms", "300");
                    const auto answer = test_client(fleet.entry(random() % 2 ? "e1" : "e2").address()).send(request);
                    served += answer.status == 200 ? 1 : 0;
                }
            }
            ++finished;
        });
    }
    std::mt19937 random(7);
    const std::vector<std::string> agents = fleet.agentNames();
    bool draining = false;
    for (int round = 0; finished < callers; ++round) {
        switch (round % 5) {
        case 0:
            fleet.entry("e2").signal(SIGSTOP);
            std::this_thread::sleep_for(std::chrono::milliseconds(1'200));
            fleet.entry("e2").signal(SIGCONT);
            break;
        case 1:
            fleet.cut({ "e2", "s3" }, { "e1", "s1", "s2" });
            std::this_thread::sleep_for(std::chrono::milliseconds(300));
            fleet.heal();
            break;
        case 2:
            draining = !draining;
            fleet.publish(fleet.declarationBody(draining ? std::map<std::string, std::string> { { "s2", "draining = yes" } } : std::map<std::string, std::string> {}));
            break;
        case 3:
            fleet.agent("s1").signal(SIGSTOP);
            std::this_thread::sleep_for(std::chrono::milliseconds(300));
            fleet.agent("s1").signal(SIGCONT);
            break;
        default:
            // Killed once, late: with the long life its ids stay refused afterwards.
            if (round == 9)
                fleet.agent("s1").kill();
            if (round == 9)
                fleet.restartAgent("s1");
        }
    }
    for (auto& thread : threads)
        thread.join();
    int twice = 0;
    for (const auto& name : agents) {
        const std::string runs = get(fleet.engine(name).address(), "/standin/runs").body;
        twice += runs.find("\"most_per_key\":1") == std::string::npos && runs.find("\"most_per_key\":0") == std::string::npos ? 1 : 0;
    }
    int most = 0;
    int ran = 0;
    for (int number = 0; number < callers; ++number) {
        for (int i = 0; i < idsPerCaller; i += 1) {
            const int runs = fleet.runsOf("small", std::to_string(number) + "-" + std::to_string(i));
            most = std::max(most, runs);
            ran += runs;
        }
    }
    MESSAGE("answers: " << served.load() << " of " << callers * idsPerCaller * 3 << ", ids run: " << ran);
    CHECK(twice == 0);
    CHECK(most == 1);
    CHECK(served > 0);
}
