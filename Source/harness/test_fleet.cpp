#include "harness/test_fleet.h"

#include "discovery/vm_list.h"
#include "policy/common/digest.h"
#include <algorithm>
#include <boost/json.hpp>
#include <csignal>
#include <stdexcept>
#include <thread>

namespace rampgap::test {

namespace {

    constexpr std::chrono::milliseconds lookPause { 5 };

    std::string engineToken(const std::string& prompt, std::uint64_t index)
    {
        return std::to_string(hash64(prompt, index) % 100'000) + " ";
    }

} // namespace

bool eventually(const std::function<bool()>& condition, std::chrono::milliseconds bound)
{
    const auto end = std::chrono::steady_clock::now() + bound;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end)
            return false;
        std::this_thread::sleep_for(lookPause);
    }
    return true;
}

test_fleet::test_fleet()
    : m_platform(std::make_unique<child_process>("rampgap-standin", std::vector<std::string> { "platform" }))
{
}

std::vector<std::string> test_fleet::settingFlags(const std::string& name, const std::string& zone, int httpPort, int peerPort) const
{
    return {
        "--set",
        "process.name=" + name,
        "--set",
        "process.zone=" + zone,
        "--set",
        "process.listen=127.0.0.1:" + std::to_string(httpPort),
        "--set",
        "process.peer_listen=127.0.0.1:" + std::to_string(peerPort),
        "--set",
        "process.platform=" + m_platform->address(),
        "--set",
        "process.operator_key_digest=" + sha256Hex(operatorKey),
        "--set",
        "process.exchange_interval_ms=200",
        "--set",
        "process.linger_ms=300",
        "--set",
        "process.fault_switches=yes",
    };
}

void test_fleet::startAgent(const std::string& name, int httpPort, int peerPort)
{
    for (const auto& plan : m_backends) {
        if (plan.name != name)
            continue;
        auto flags = settingFlags(name, plan.zone, httpPort, peerPort);
        const std::string engine = plan.engine.empty() ? m_engines.at(name)->address() : plan.engine;
        flags.insert(flags.end(), { "--set", "agent.engine=" + engine, "--set", "agent.rebalance_interval_ms=100" });
        flags.insert(flags.end(), m_agentFlags.begin(), m_agentFlags.end());
        m_agents[name] = std::make_unique<child_process>("rampgap-agent", flags);
    }
}

void test_fleet::startEntry(const std::string& name, int httpPort, int peerPort)
{
    auto flags = settingFlags(name, m_entryZones.at(name), httpPort, peerPort);
    flags.insert(flags.end(), m_entryFlags.begin(), m_entryFlags.end());
    m_entries[name] = std::make_unique<child_process>("rampgap-entry", flags);
}

void test_fleet::startEngine(const backend_plan& plan, const std::string& listen)
{
    const bool isService = plan.serves == "filings";
    std::vector<std::string> flags { isService ? "service" : "engine", "--listen", listen, "--step-ms", "2", "--slots", std::to_string(plan.slots) };
    flags.insert(flags.end(), plan.standinFlags.begin(), plan.standinFlags.end());
    m_engines[plan.name] = std::make_unique<child_process>("rampgap-standin", flags);
}

void test_fleet::addBackend(const backend_plan& plan)
{
    if (plan.engine.empty())
        startEngine(plan, "127.0.0.1:0");
    m_backends.push_back(plan);
    startAgent(plan.name, 0, 0);
}

void test_fleet::restartEngine(const std::string& name)
{
    const std::string address = engine(name).address();
    m_engines.at(name).reset();
    for (const auto& plan : m_backends) {
        if (plan.name == name)
            startEngine(plan, address);
    }
}

void test_fleet::addEntry(const std::string& name, const std::string& zone)
{
    m_entryZones[name] = zone;
    startEntry(name, 0, 0);
}

void test_fleet::addTwoZones(int backends)
{
    for (int i = 0; i < backends; ++i)
        addBackend({ "a" + std::to_string(i), i % 2 == 0 ? "lac" : "charguia", "assistant", 8, {} });
    addEntry("e1", "lac");
    addEntry("e2", "charguia");
}

void test_fleet::restartAgent(const std::string& name)
{
    const int httpPort = agent(name).httpPort();
    const int peerPort = agent(name).peerPort();
    m_agents.at(name).reset();
    startAgent(name, httpPort, peerPort);
}

void test_fleet::restartEntry(const std::string& name)
{
    const int httpPort = entry(name).httpPort();
    const int peerPort = entry(name).peerPort();
    m_entries.at(name).reset();
    startEntry(name, httpPort, peerPort);
}

std::string test_fleet::declarationBody(const std::map<std::string, std::string>& extra) const
{
    std::string text = m_rules
        + "[workspace small]\nkey_digest = " + sha256Hex(smallKey) + "\nuses = assistant, filings\n"
        + "[workspace large]\nkey_digest = " + sha256Hex(largeKey) + "\nuses = assistant\n"
        + "[model assistant]\n[service filings]\npath = /filings\nnot_repeatable = yes\n";
    for (const auto& plan : m_backends) {
        const auto& agent = *m_agents.at(plan.name);
        text += "[backend " + plan.name + "]\nzone = " + plan.zone + "\naddress = " + (m_ways.contains(plan.name) ? m_ways.at(plan.name) : agent.address()) + "\npeer_address = " + agent.peerAddress()
            + "\nserves = " + plan.serves + "\nslots = " + std::to_string(plan.slots) + "\n";
        const auto added = extra.find(plan.name);
        if (added != extra.end())
            text += added->second + "\n";
    }
    return text + m_extraSections;
}

std::uint64_t test_fleet::publish(const std::string& body)
{
    auto parsed = declaration::parse(body, "test");
    if (!parsed)
        throw std::runtime_error(toString(parsed.error()));
    const std::string base = m_published.link().revision == 0 ? "" : m_published.digest();
    const std::uint64_t revision = m_published.link().revision + 1;
    m_published = parsed.value().withLink({ revision, revision - 1, base, planDigest(base, parsed.value().canonicalBody()) });
    put(m_platform->address(), "/v1/declarations/" + std::to_string(revision), m_published.canonicalText());
    return revision;
}

void test_fleet::publishVms()
{
    vm_list list;
    list.version = ++m_vmVersion;
    for (const auto& plan : m_backends)
        list.vms.push_back({ plan.name, plan.zone, vm_role::agent, vm_state::live, agent(plan.name).address(), agent(plan.name).peerAddress() });
    for (const auto& [name, zone] : m_entryZones)
        list.vms.push_back({ name, zone, vm_role::entry, vm_state::live, entry(name).address(), entry(name).peerAddress() });
    post(m_platform->address(), "/v1/vms", toJson(list));
}

void test_fleet::startServing(const std::map<std::string, std::string>& extra)
{
    publishVms();
    const std::uint64_t revision = publish(declarationBody(extra));
    if (!waitRevision(revision))
        throw std::runtime_error("the declaration did not come in force everywhere");
}

std::uint64_t test_fleet::revision(const std::string& address) const
{
    const auto answer = get(address, "/operator/status", operatorKey);
    if (answer.status != 200)
        return 0;
    const auto status = boost::json::parse(answer.body);
    return status.at("ready").as_bool() ? status.at("revision").to_number<std::uint64_t>() : 0;
}

bool test_fleet::waitRevision(std::uint64_t wanted)
{
    return eventually([&] {
        for (const auto& [name, process] : m_agents) {
            if (process && process->id() > 0 && revision(process->address()) < wanted)
                return false;
        }
        for (const auto& [name, process] : m_entries) {
            if (process && process->id() > 0 && revision(process->address()) < wanted)
                return false;
        }
        return true;
    });
}

// Ids are spread over the agents, so some hundred of them meet each one.
bool test_fleet::waitProven(const std::string& path)
{
    static int round = 0;
    ++round;
    test_client client(entry(entryNames().front()).address());
    for (int i = 0; i < 100; ++i) {
        const std::string id = "probe-" + std::to_string(round) + "-" + std::to_string(i);
        if (!eventually([&] { return client.send(onceCall(smallKey, path, id, "probe")).status == 200; }))
            return false;
    }
    return true;
}

std::vector<std::string> test_fleet::entryNames() const
{
    std::vector<std::string> names;
    for (const auto& [name, process] : m_entries)
        names.push_back(name);
    return names;
}

std::vector<std::string> test_fleet::agentNames() const
{
    std::vector<std::string> names;
    for (const auto& [name, process] : m_agents)
        names.push_back(name);
    return names;
}

child_process& test_fleet::process(const std::string& name)
{
    return m_agents.contains(name) ? agent(name) : entry(name);
}

void test_fleet::cut(const std::vector<std::string>& oneSide, const std::vector<std::string>& otherSide, bool alsoPlatform)
{
    const auto cutFrom = [&](const std::vector<std::string>& from, const std::vector<std::string>& to, bool platform) {
        std::string addresses = platform ? m_platform->address() : "";
        for (const auto& name : to)
            addresses += "," + process(name).address() + "," + process(name).peerAddress();
        for (const auto& name : from)
            post(process(name).address(), "/operator/cut", addresses, operatorKey);
    };
    cutFrom(oneSide, otherSide, alsoPlatform);
    cutFrom(otherSide, oneSide, false);
}

void test_fleet::heal()
{
    for (const auto& [name, process] : m_agents)
        post(process->address(), "/operator/cut", "", operatorKey);
    for (const auto& [name, process] : m_entries)
        post(process->address(), "/operator/cut", "", operatorKey);
}

int test_fleet::enginesAlive()
{
    return static_cast<int>(std::count_if(m_engines.begin(), m_engines.end(), [](const auto& engine) { return get(engine.second->address(), "/standin/runs").status == 200; }));
}

void test_fleet::setEngineFaults(const std::string& query)
{
    for (const auto& [name, engine] : m_engines)
        post(engine->address(), "/standin/faults?" + query);
}

int test_fleet::runsOf(const std::string& workspace, const std::string& key)
{
    int runs = 0;
    for (const auto& [name, process] : m_engines) {
        const auto answer = boost::json::parse(get(process->address(), "/standin/runs").body);
        const auto& counted = answer.at("runs").as_object();
        if (const auto* count = counted.if_contains(workspace + "/" + key))
            runs += count->to_number<int>();
    }
    return runs;
}

std::int64_t test_fleet::totalRuns()
{
    std::int64_t runs = 0;
    for (const auto& [name, process] : m_engines)
        runs += boost::json::parse(get(process->address(), "/standin/runs").body).at("total").to_number<std::int64_t>();
    return runs;
}

test_request completion(const std::string& key, const std::string& model, const std::string& prompt, int tokens, bool stream)
{
    const boost::json::object body { { "model", model }, { "prompt", prompt }, { "max_tokens", tokens }, { "stream", stream } };
    return { http::verb::post, "/v1/completions", boost::json::serialize(body), { { "Authorization", "Bearer " + key } } };
}

std::string expectedText(const std::string& prompt, int tokens)
{
    std::string text;
    for (int i = 0; i < tokens; ++i)
        text += engineToken(prompt, static_cast<std::uint64_t>(i));
    return text;
}

std::string answeredText(const test_answer& answer)
{
    const auto textIn = [](const std::string& json) {
        boost::system::error_code error;
        const auto value = boost::json::parse(json, error);
        if (error || !value.is_object() || !value.as_object().contains("choices"))
            return std::string();
        return std::string(value.at("choices").at(0).at("text").as_string());
    };
    if (!answer.body.starts_with("data:"))
        return textIn(answer.body);
    std::string text;
    for (auto at = answer.body.find("data: "); at != std::string::npos; at = answer.body.find("data: ", at + 1))
        text += textIn(answer.body.substr(at + 6, answer.body.find("\n\n", at) - at - 6));
    return text;
}

test_request onceCall(const std::string& key, const std::string& path, const std::string& id, const std::string& body)
{
    return { http::verb::post, path, body, { { "Authorization", "Bearer " + key }, { "Idempotency-Key", id }, { "Content-Type", "text/plain" } } };
}

} // namespace rampgap::test
