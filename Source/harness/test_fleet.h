// A small fleet of real processes on loopback with stand-ins for what is outside.
#pragma once

#include "harness/child_process.h"
#include "harness/test_client.h"
#include "policy/configuration/declaration.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace rampgap::test {

inline const std::string smallKey = "key-of-small";
inline const std::string largeKey = "key-of-large";
inline const std::string operatorKey = "key-of-operators";

// Where a backend or entry VM of the test stands and what it runs.
struct backend_plan {
    std::string name;
    std::string zone;
    std::string serves;
    int slots = 8;
    std::vector<std::string> standinFlags {};
    // Address of an engine that runs already; empty starts one.
    std::string engine {};
};

class test_fleet {
public:
    test_fleet();

    void addBackend(const backend_plan&);
    void addEntry(const std::string& name, const std::string& zone);
    // Backend servers a0, a1, … of the model in two zones in turn, and an entry VM in each: e1, e2.
    void addTwoZones(int backends);
    // Starts a backend's agent anew, on the same ports, with empty memory.
    void restartAgent(const std::string& name);
    void restartEntry(const std::string& name);
    // Ends a backend's engine and starts another at its address.
    void restartEngine(const std::string& name);

    // The INI text of the body of a declaration for this fleet. `extra` is added to the
    // named backends' sections, for example "draining = yes".
    std::string declarationBody(const std::map<std::string, std::string>& extra = {}) const;
    // Confirms the body on the base of the last published one and publishes it.
    std::uint64_t publish(const std::string& body);
    // Publishes the VM list with all processes that were added.
    void publishVms();
    // Publishes both and waits until each process has them in force.
    void startServing(const std::map<std::string, std::string>& extra = {});
    bool waitRevision(std::uint64_t revision);
    // Waits until each agent has settled with its pool, so that ids may run there.
    bool waitProven(const std::string& service);

    child_process& platform() { return *m_platform; }
    child_process& engine(const std::string& name) { return *m_engines.at(name); }
    child_process& agent(const std::string& name) { return *m_agents.at(name); }
    child_process& entry(const std::string& name) { return *m_entries.at(name); }
    std::vector<std::string> entryNames() const;
    std::vector<std::string> agentNames() const;
    // Cuts two processes off from each other, both ways, and from nothing else.
    void cut(const std::vector<std::string>& oneSide, const std::vector<std::string>& otherSide, bool alsoPlatform = false);
    void heal();

    // Engines that still answer.
    int enginesAlive();
    // Switches faults of all engines: the query of their page of faults.
    void setEngineFaults(const std::string& query);
    // Times that the engine or service of a backend ran the id; and over all backends.
    int runsOf(const std::string& workspace, const std::string& key);
    std::int64_t totalRuns();
    std::uint64_t revision(const std::string& address) const;
    // Further flags for the agents and entry VMs that are started from now on.
    void setAgentFlags(std::vector<std::string> flags) { m_agentFlags = std::move(flags); }
    void setEntryFlags(std::vector<std::string> flags) { m_entryFlags = std::move(flags); }
    void setRules(const std::string& rules) { m_rules = rules; }
    // Entry VMs reach the agent's requests by this address.
    void setWayTo(const std::string& agent, const std::string& address) { m_ways[agent] = address; }
    // Further sections of the declaration.
    void setExtraSections(const std::string& sections) { m_extraSections = sections; }
    const declaration& lastPublished() const { return m_published; }

private:
    std::vector<std::string> settingFlags(const std::string& name, const std::string& zone, int httpPort, int peerPort) const;
    child_process& process(const std::string& name);
    void startEngine(const backend_plan&, const std::string& listen);
    void startAgent(const std::string& name, int httpPort, int peerPort);
    void startEntry(const std::string& name, int httpPort, int peerPort);

    std::unique_ptr<child_process> m_platform;
    std::vector<backend_plan> m_backends;
    std::map<std::string, std::string> m_entryZones;
    std::map<std::string, std::unique_ptr<child_process>> m_engines;
    std::map<std::string, std::unique_ptr<child_process>> m_agents;
    std::map<std::string, std::unique_ptr<child_process>> m_entries;
    std::string m_rules = "[rules]\nid_life_ms = 600\n";
    std::vector<std::string> m_agentFlags;
    std::vector<std::string> m_entryFlags;
    std::string m_extraSections;
    std::map<std::string, std::string> m_ways;
    declaration m_published;
    std::uint64_t m_vmVersion = 0;
};

// Looks at the condition until it holds; false after a generous bound.
bool eventually(const std::function<bool()>& condition, std::chrono::milliseconds bound = std::chrono::seconds(20));

// A completion request to `model` for `prompt`, as the caller with `key`.
test_request completion(const std::string& key, const std::string& model, const std::string& prompt, int tokens, bool stream);
// The text that the engine stand-in answers to `prompt`.
std::string expectedText(const std::string& prompt, int tokens);
// The text in a completion's answer, streamed or whole.
std::string answeredText(const test_answer&);
// A call of the service under `path` that may run at most once.
test_request onceCall(const std::string& key, const std::string& path, const std::string& id, const std::string& body);

} // namespace rampgap::test
