// 10,000 requests through 2 entry VMs and 3 agents in 3 zones: each answer is its request's own.

#include "harness/test_fleet.h"

#include <atomic>
#include <doctest/doctest.h>
#include <thread>

using namespace rampgap::test;

TEST_CASE("10,000 requests through 2 entries and 3 agents each get their own answer")
{
    constexpr int callers = 20;
    constexpr int requestsPerCaller = 500;
    constexpr int tokens = 2;
    test_fleet fleet;
    fleet.addBackend({ "a1", "lac", "assistant", 16, {} });
    fleet.addBackend({ "a2", "charguia", "assistant", 16, {} });
    fleet.addBackend({ "a3", "ariana", "assistant", 16, {} });
    fleet.addEntry("e1", "lac");
    fleet.addEntry("e2", "charguia");
    fleet.startServing();

    std::atomic<int> right { 0 };
    std::vector<std::thread> threads;
    for (int caller = 0; caller < callers; ++caller) {
        threads.emplace_back([&, caller] {
            test_client client(fleet.entry(caller % 2 == 0 ? "e1" : "e2").address());
            for (int i = 0; i < requestsPerCaller; ++i) {
                const std::string prompt = "letter " + std::to_string(caller) + "/" + std::to_string(i);
                const auto answer = client.send(completion(smallKey, "assistant", prompt, tokens, i % 2 == 0));
                if (answer.status == 200 && answeredText(answer) == expectedText(prompt, tokens))
                    ++right;
            }
        });
    }
    for (auto& thread : threads)
        thread.join();
    CHECK(right == callers * requestsPerCaller);
    CHECK(fleet.totalRuns() == callers * requestsPerCaller);
}
