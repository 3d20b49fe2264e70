// Fault: every process is stopped and started again, one after the other, under load.

#include "harness/test_fleet.h"

#include <atomic>
#include <csignal>
#include <doctest/doctest.h>
#include <mutex>
#include <thread>

using namespace rampgap::test;

namespace {

// As the platform's balancer does: sends to an entry VM that says it is ready.
class balanced_caller {
public:
    explicit balanced_caller(std::vector<std::string> addresses)
        : m_addresses(std::move(addresses))
    {
    }

    test_answer send(const test_request& request)
    {
        for (;;) {
            const std::string& address = m_addresses[m_next++ % m_addresses.size()];
            if (get(address, "/readyz").status == 200)
                return test_client(address).send(request);
        }
    }

private:
    std::vector<std::string> m_addresses;
    std::size_t m_next = 0;
};

} // namespace

TEST_CASE("rolling restart of all agents and entry VMs: no request fails, none runs twice")
{
    test_fleet fleet;
    fleet.setRules("[rules]\nid_life_ms = 4000\n");
    for (const std::string name : { "a1", "a2" })
        fleet.addBackend({ name, "lac", "assistant", 8, {} });
    for (const std::string name : { "s1", "s2", "s3" })
        fleet.addBackend({ name, "lac", "filings", 8, {} });
    fleet.addEntry("e1", "lac");
    fleet.addEntry("e2", "lac");
    fleet.startServing();
    REQUIRE(fleet.waitProven("/filings"));

    const std::vector<std::string> entries { fleet.entry("e1").address(), fleet.entry("e2").address() };
    std::atomic<bool> stop { false };
    std::atomic<int> sent { 0 };
    std::mutex lock;
    std::vector<std::string> failures;
    const auto caller = [&](int number) {
        balanced_caller callers(entries);
        for (int i = 0; !stop; ++i) {
            const std::string id = std::to_string(number) + "-" + std::to_string(i);
            const bool once = i % 2 == 0;
            const auto answer = callers.send(once ? onceCall(smallKey, "/filings", id, id) : completion(smallKey, "assistant", id, 20, true));
            const bool right = answer.status == 200 && (once ? answer.body == "echo:" + id : answeredText(answer) == expectedText(id, 20));
            ++sent;
            if (right)
                continue;
            const std::lock_guard<std::mutex> guard(lock);
            failures.push_back((once ? "id " : "model ") + std::to_string(answer.status) + " " + answer.header("Rampgap-Reason") + " " + answer.header("Rampgap-Verdict") + " " + answer.body.substr(0, 200));
        }
    };
    std::vector<std::thread> threads;
    for (int number = 0; number < 4; ++number)
        threads.emplace_back(caller, number);
    for (const auto& name : fleet.agentNames()) {
        fleet.agent(name).signal(SIGTERM);
        CHECK(fleet.agent(name).wait() == 0);
        fleet.restartAgent(name);
        fleet.waitRevision(1);
    }
    for (const auto& name : fleet.entryNames()) {
        fleet.entry(name).signal(SIGTERM);
        CHECK(fleet.entry(name).wait() == 0);
        fleet.restartEntry(name);
        fleet.waitRevision(1);
    }
    const int soFar = sent;
    eventually([&] { return sent > soFar + 50; });
    stop = true;
    for (auto& thread : threads)
        thread.join();
    MESSAGE("requests: " << sent.load() << ", failed: " << failures.size());
    if (!failures.empty())
        MESSAGE(failures.front() << " ... " << failures.back());
    CHECK(failures.empty());
}
