// Fault: more requests than the backend can serve.

#include "harness/test_fleet.h"

#include <atomic>
#include <doctest/doctest.h>
#include <thread>

using namespace rampgap::test;

TEST_CASE("what cannot be served in time is refused at once, as not run, with a time to come back")
{
    test_fleet fleet;
    fleet.addBackend({ "a1", "lac", "assistant", 2, {} });
    fleet.addEntry("e1", "lac");
    fleet.startServing();
    // Teaches the agent how long a run takes: 50 steps of 2 ms.
    for (int i = 0; i < 5; ++i)
        CHECK(test_client(fleet.entry("e1").address()).send(completion(smallKey, "assistant", "teach", 50, false)).status == 200);
    std::atomic<int> served { 0 };
    std::atomic<int> refused { 0 };
    std::atomic<int> other { 0 };
    std::vector<std::thread> threads;
    for (int i = 0; i < 40; ++i) {
        threads.emplace_back([&, i] {
            auto request = completion(smallKey, "assistant", "o" + std::to_string(i), 50, false);
            request.headers.emplace_back("Rampgap-Timeout-Ms", "600");
            const auto answer = test_client(fleet.entry("e1").address()).send(request);
            if (answer.status == 200)
                ++served;
            else if (answer.status == 503 && answer.header("Rampgap-Verdict") == "not_run" && !answer.header("Retry-After").empty())
                ++refused;
            else
                ++other;
        });
    }
    for (auto& thread : threads)
        thread.join();
    MESSAGE("served " << served.load() << ", refused " << refused.load() << ", other " << other.load());
    CHECK(served >= 2);
    CHECK(refused >= 10);
    CHECK(other == 0);
}

TEST_CASE("rate limits answer 429 with a time to come back")
{
    test_fleet fleet;
    fleet.addBackend({ "a1", "lac", "assistant", 8, {} });
    fleet.addEntry("e1", "lac");
    std::string body = fleet.declarationBody();
    body.insert(body.find("[workspace small]") + 17, "\nrequests_per_second = 5");
    fleet.publishVms();
    REQUIRE(fleet.waitRevision(fleet.publish(body)));
    test_client client(fleet.entry("e1").address());
    int limited = 0;
    for (int i = 0; i < 20; ++i) {
        const auto answer = client.send(completion(smallKey, "assistant", "r", 1, false));
        if (answer.status == 429) {
            ++limited;
            CHECK(answer.header("Rampgap-Verdict") == "not_run");
            CHECK(!answer.header("Retry-After").empty());
        }
    }
    CHECK(limited >= 10);
    CHECK(client.send(completion(largeKey, "assistant", "r", 1, false)).status == 200);
}
