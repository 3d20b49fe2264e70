// An engine that asks its agent to back off, or says that it leaves, gets nothing more; callers are served elsewhere.
#include "harness/test_fleet.h"

#include <doctest/doctest.h>

using namespace rampgap::test;

namespace {

constexpr int asked = 60;

// A number that the engine behind a backend tells of itself.
int countAt(test_fleet& fleet, const std::string& name, const std::string& count)
{
    const std::string body = get(fleet.engine(name).address(), "/standin/runs").body;
    return std::atoi(body.c_str() + body.find(':', body.find('"' + count + '"')) + 1);
}

// Prompts that no engine has seen, so that none is preferred for having kept one.
void serve(test_fleet& fleet)
{
    static int prompts = 0;
    for (const auto& name : fleet.entryNames()) {
        test_client client(fleet.entry(name).address());
        for (int i = 0; i < asked; ++i)
            CHECK(client.send(completion(smallKey, "assistant", "prompt " + std::to_string(++prompts), 1, false)).status == 200);
    }
}

void startTwo(test_fleet& fleet)
{
    fleet.addBackend({ "a1", "lac", "assistant", 8, {} });
    fleet.addBackend({ "a2", "lac", "assistant", 8, {} });
    fleet.addEntry("e1", "lac");
    fleet.addEntry("e2", "lac");
    fleet.startServing();
}

} // namespace

TEST_CASE("an engine that asked to back off gets nothing until its end")
{
    test_fleet fleet;
    startTwo(fleet);
    post(fleet.engine("a1").address(), "/standin/faults?backoff=1.5");
    serve(fleet);
    CHECK(countAt(fleet, "a1", "turned_away") >= 1);
    // One of each entry VM may be under way as the first is turned away.
    CHECK(countAt(fleet, "a1", "turned_away") <= 2);
    post(fleet.engine("a1").address(), "/standin/faults?backoff=none");
    const int before = countAt(fleet, "a1", "total");
    CHECK(eventually([&] {
        serve(fleet);
        return countAt(fleet, "a1", "total") > before;
    }));
}

TEST_CASE("an engine that says that it leaves gets nothing more until it was started again")
{
    test_fleet fleet;
    startTwo(fleet);
    post(fleet.engine("a1").address(), "/standin/faults?leaving=1");
    serve(fleet);
    const int before = countAt(fleet, "a1", "total");
    serve(fleet);
    CHECK(countAt(fleet, "a1", "total") == before);
    fleet.restartEngine("a1");
    CHECK(eventually([&] {
        serve(fleet);
        return countAt(fleet, "a1", "total") > 0;
    }));
}
