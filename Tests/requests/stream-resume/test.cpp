// Fault: an engine or an agent dies in the middle of a stream.

#include "harness/test_fleet.h"

#include <doctest/doctest.h>
#include <thread>

using namespace rampgap::test;

TEST_CASE("a cut stream is resumed on another engine without a missing or doubled token")
{
    constexpr int tokens = 60;
    test_fleet fleet;
    // Each request needs a retry here.
    fleet.setRules("[rules]\nretry_percent = 100\n");
    fleet.addBackend({ "a1", "lac", "assistant", 8, {} });
    fleet.addBackend({ "a2", "lac", "assistant", 8, {} });
    fleet.addEntry("e1", "lac");
    fleet.startServing();
    test_client client(fleet.entry("e1").address());

    SUBCASE("the engine breaks its stream")
    {
        post(fleet.engine("a1").address(), "/standin/faults?break_after=7");
        for (int i = 0; i < 10; ++i) {
            const std::string prompt = "resume " + std::to_string(i);
            const auto answer = client.send(completion(smallKey, "assistant", prompt, tokens, true));
            CHECK(answer.status == 200);
            CHECK(answeredText(answer) == expectedText(prompt, tokens));
        }
    }
    SUBCASE("the agent is killed")
    {
        const std::string prompt = "killed";
        test_answer answer;
        auto request = completion(smallKey, "assistant", prompt, 300, true);
        std::thread caller([&] { answer = client.send(request); });
        std::string busy;
        REQUIRE(eventually([&] {
            for (const auto& name : fleet.agentNames()) {
                if (get(fleet.engine(name).address(), "/standin/runs").body.find("\"in_batch\":1") != std::string::npos)
                    busy = name;
            }
            return !busy.empty();
        }));
        fleet.agent(busy).kill();
        caller.join();
        CHECK(answer.status == 200);
        CHECK(answeredText(answer) == expectedText(prompt, 300));
    }
}
