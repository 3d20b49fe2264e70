// Slopes of decisions and state: cost against size, for docs/CAPACITY.md.

#include "bench/bench_flags.h"
#include "bench/benchmarks.h"
#include "bench/percentiles.h"
#include "bench/process_figures.h"
#include "discovery/vm_list.h"
#include "entry/fleet_snapshot.h"
#include "policy/configuration/change_plan.h"
#include "policy/configuration/revision_chain.h"
#include "policy/requests/execution_guard.h"
#include "policy/routing/routing_policy.h"

#include <chrono>
#include <iostream>
#include <random>

namespace rampgap::bench {

namespace {

    using clock = boot_clock;

    double nsSince(clock::time_point begin)
    {
        return std::chrono::duration<double, std::nano>(clock::now() - begin).count();
    }

    // A declaration of `engines` backends over 24 models, 200 workspaces and 6 zones.
    declaration fleetOf(int engines)
    {
        constexpr int models = 24;
        constexpr int workspaces = 200;
        std::string text = "[rules]\nid_life_ms = 600000\n";
        for (int i = 0; i < models; ++i)
            text += "[model m" + std::to_string(i) + "]\n";
        for (int i = 0; i < workspaces; ++i)
            text += "[workspace w" + std::to_string(i) + "]\nkey_digest = " + sha256Hex(std::to_string(i)) + "\nrequests_per_second = 50\nuses = m" + std::to_string(i % models) + ", m" + std::to_string((i + 7) % models) + "\n";
        for (int i = 0; i < engines; ++i) {
            const std::string host = "10." + std::to_string(i % 6) + "." + std::to_string(i / 250) + "." + std::to_string(i % 250 + 1);
            text += "[backend engine-" + std::to_string(i) + "]\nzone = zone-" + std::to_string(i % 6) + "\naddress = " + host + ":8100\npeer_address = " + host + ":8101\nserves = m" + std::to_string(i % models) + "\nslots = 32\n";
        }
        return change_plan::makeFirst(declaration::parse(text, "bench").value()).declared();
    }

    void measureRouting(const declaration& declared, int engines, std::uint64_t seed)
    {
        // One model with all engines is the worst case for a decision.
        std::string text = "[model m]\n";
        for (const auto& backend : declared.backends())
            text += "[backend " + backend.name + "]\nzone = " + backend.zone + "\naddress = " + backend.address + "\npeer_address = " + backend.peerAddress + "\nserves = m\n";
        const declaration onePool = declaration::parse(text, "bench").value();
        std::mt19937_64 random(seed);
        const instant now = clock::now();
        for (const std::string name : { "scored", "random_two", "least_outstanding" }) {
            backend_table table("zone-0");
            table.apply(onePool, now);
            const auto policy = std::move(routing_policy::make(name).value());
            const std::string service = "m";
            std::vector<double> samples;
            for (int i = 0; i < 50'000; ++i) {
                const std::uint64_t prefix = random() % 5'000 + 1;
                const auto begin = clock::now();
                const backend_id chosen = policy->choose({ service, prefix, {}, now }, table, random);
                policy->recordPlacement(prefix, chosen, now);
                samples.push_back(nsSince(begin));
                table.recordSent(chosen);
                if (i > 2'000)
                    table.recordEnded(static_cast<backend_id>(random() % static_cast<std::uint64_t>(engines)));
            }
            std::cout << "what=routing_decision policy=" << name << " engines=" << engines << " ns_p50=" << percentile(samples, 0.5) << " ns_p99=" << percentile(samples, 0.99) << "\n";
        }
    }

    void measureDeclaration(const declaration& declared, int engines)
    {
        const std::string text = declared.canonicalText();
        const double before = residentMb(getpid());
        const auto begin = clock::now();
        auto parsed = std::make_shared<const declaration>(declaration::parse(text, "bench").value());
        const double parseMs = nsSince(begin) / 1e6;
        const auto chainBegin = clock::now();
        revision_chain chain;
        chain.offer(text, document_source::service);
        const double chainMs = nsSince(chainBegin) / 1e6;
        const auto snapshotBegin = clock::now();
        const auto snapshot = fleet_snapshot::make(parsed);
        const double snapshotMs = nsSince(snapshotBegin) / 1e6;
        backend_table table("zone-0");
        const auto tableBegin = clock::now();
        table.apply(*parsed, clock::now());
        std::cout << "what=declaration engines=" << engines << " bytes=" << text.size() << " parse_ms=" << parseMs << " accept_ms=" << chainMs
                  << " snapshot_ms=" << snapshotMs << " table_ms=" << nsSince(tableBegin) / 1e6 << " state_mb=" << residentMb(getpid()) - before << "\n";
    }

    void measureVms(int processes)
    {
        vm_list list;
        list.version = 1;
        for (int i = 0; i < processes; ++i)
            list.vms.push_back({ "vm-" + std::to_string(i), "zone-" + std::to_string(i % 6), vm_role::agent, vm_state::live, "10.0.0.1:8100", "10.0.0.1:8101" });
        const std::string text = toJson(list);
        const auto begin = clock::now();
        const auto parsed = parseVmList(text);
        std::cout << "what=vm_list processes=" << processes << " bytes=" << text.size() << " parse_ms=" << nsSince(begin) / 1e6 << " ok=" << parsed.has_value() << "\n";
    }

    void measureLedger(int ids)
    {
        const double before = residentMb(getpid());
        ledger_limits limits;
        limits.maxIds = static_cast<std::size_t>(ids) + 1;
        request_ledger ledger(limits);
        const instant now = clock::now();
        const auto begin = clock::now();
        for (int i = 0; i < ids; ++i) {
            const request_id id { "w", "s", std::to_string(i) };
            if (ledger.claim(id, 0, now))
                ledger.finish(id, { 200, "text/plain", "short answer" }, now);
        }
        std::cout << "what=ledger ids=" << ids << " ns_per_id=" << nsSince(begin) / ids << " mb=" << residentMb(getpid()) - before << "\n";
    }

} // namespace

int benchControl(const bench_flags& flags)
{
    std::cout << describeRun(flags) << "\n";
    for (const int engines : { 100, 500, 1'000, 2'000 }) {
        const declaration declared = fleetOf(engines);
        measureDeclaration(declared, engines);
        measureRouting(declared, engines, flags.seed);
    }
    for (const int processes : { 100, 500, 1'000, 2'390 })
        measureVms(processes);
    for (const int ids : { 10'000, 30'000, 65'000 })
        measureLedger(ids);
    return 0;
}

} // namespace rampgap::bench
