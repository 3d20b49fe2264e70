#include "bench/routing_lab.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <list>
#include <queue>

namespace rampgap::bench {

namespace {

    constexpr int zones = 3;
    constexpr int engineCount = 12;
    constexpr int entryCount = 6;
    constexpr int slots = 16;
    constexpr double stepMs = 5;
    constexpr double prefillMs = 40;
    constexpr double zoneDelayMs = 1.5;
    constexpr double utilisation = 0.75;
    constexpr std::size_t cachedPrefixes = 48;
    const std::string service = "m";

    struct lab_request {
        std::uint64_t prefix;
        int tokens;
        int entry;
        double sentAt;
    };

    // An engine with a batch, a queue and a cache of prefixes.
    class lab_engine {
    public:
        double slow = 1;
        int running = 0;
        std::vector<lab_request> waiting;

        bool cached(std::uint64_t prefix)
        {
            const auto found = std::find(m_prefixes.begin(), m_prefixes.end(), prefix);
            const bool hit = found != m_prefixes.end();
            if (hit)
                m_prefixes.erase(found);
            m_prefixes.push_front(prefix);
            if (m_prefixes.size() > cachedPrefixes)
                m_prefixes.pop_back();
            return hit;
        }

        // A fuller batch takes longer for a step.
        double stepTime() const { return slow * stepMs * (1 + 0.5 * running / slots); }

    private:
        std::list<std::uint64_t> m_prefixes;
    };

    struct lab_event {
        double at;
        std::uint64_t order;
        std::function<void()> action;

        bool operator>(const lab_event& other) const { return at != other.at ? at > other.at : order > other.order; }
    };

    class routing_lab {
    public:
        routing_lab(const routing_case& what, const std::string& policy)
            : m_case(what)
            , m_random(what.seed)
            , m_engines(engineCount)
        {
            std::string text = "[model m]\n";
            for (int i = 0; i < engineCount; ++i)
                text += "[backend b" + std::to_string(i) + "]\nzone = z" + std::to_string(i % zones) + "\naddress = 10.0.0.1:1\npeer_address = 10.0.0.1:2\nserves = m\nslots = " + std::to_string(slots) + "\n";
            const auto declared = declaration::parse(text, "lab").value();
            for (int i = 0; i < entryCount; ++i) {
                m_tables.emplace_back("z" + std::to_string(i % zones));
                m_tables.back().apply(declared, at(0));
                m_policies.push_back(std::move(routing_policy::make(policy).value()));
            }
            if (what.fault == "slow_engine")
                m_engines[2].slow = 3;
        }

        routing_figures run()
        {
            const double meanTokens = 60;
            const double meanMs = prefillMs / 2 + meanTokens * stepMs * 1.4;
            const double gapMs = meanMs / (engineCount * slots * utilisation);
            std::exponential_distribution<double> gap(1 / gapMs);
            double now = 0;
            for (int i = 0; i < m_case.requests; ++i) {
                // Arrivals swell and ebb by a fifth over the run.
                const double swell = 1 + 0.2 * std::sin(6.283 * i / (m_case.requests / 3.0));
                now += gap(m_random) / swell;
                plan(now, [this, now] { arrive(now); });
            }
            while (!m_events.empty()) {
                const lab_event next = m_events.top();
                m_events.pop();
                m_now = next.at;
                next.action();
            }
            m_figures.hitRate = static_cast<double>(m_hits) / std::max(1, m_started);
            m_figures.failedShare = static_cast<double>(m_failed) / m_case.requests;
            return std::move(m_figures);
        }

    private:
        static instant at(double ms) { return instant() + std::chrono::hours(24) + std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(ms)); }
        void plan(double when, std::function<void()> action) { m_events.push({ when, m_order++, std::move(action) }); }

        // The agency: long shared prefixes of a few large workspaces. Plakanet: many small.
        std::uint64_t drawPrefix()
        {
            const bool agency = m_case.workload == "agency";
            const bool large = m_random() % 100 < (agency ? 80 : 60);
            const std::uint64_t workspace = large ? m_random() % 2 : 2 + m_random() % 8;
            const int kinds = agency ? 60 : 120;
            // Zipf-like: the square of a uniform number favours small ones; it drifts.
            const double uniform = static_cast<double>(m_random() % 10'000) / 10'000;
            const auto kind = static_cast<std::uint64_t>(uniform * uniform * kinds + m_now / 60'000);
            return 1 + workspace * 1'000'000 + kind;
        }

        bool reachable(int entry, backend_id engine) const
        {
            const bool cut = m_case.fault == "zone_cut" && m_now > 10'000;
            return !cut || (static_cast<int>(engine) % zones == 0) == (entry % zones == 0);
        }

        void arrive(double now)
        {
            lab_request request { drawPrefix(), 20 + static_cast<int>(m_random() % 80), static_cast<int>(m_random() % entryCount), now };
            backend_table& table = m_tables[static_cast<std::size_t>(request.entry)];
            routing_policy& policy = *m_policies[static_cast<std::size_t>(request.entry)];
            std::vector<backend_id> tried;
            for (int attempt = 0; attempt < 3; ++attempt) {
                const backend_id chosen = policy.choose({ service, request.prefix, tried, at(now) }, table, m_random);
                if (chosen == noBackend)
                    break;
                if (!reachable(request.entry, chosen)) {
                    table.recordConnectFailure(chosen, at(now));
                    tried.push_back(chosen);
                    continue;
                }
                policy.recordPlacement(request.prefix, chosen, at(now));
                table.recordSent(chosen);
                const double delay = static_cast<int>(chosen) % zones == request.entry % zones ? 0 : zoneDelayMs;
                plan(now + delay, [this, request, chosen] { join(request, chosen); });
                return;
            }
            ++m_failed;
        }

        void join(const lab_request& request, backend_id id)
        {
            lab_engine& engine = m_engines[id];
            if (engine.running >= slots)
                engine.waiting.push_back(request);
            else
                start(request, id);
        }

        void start(const lab_request& request, backend_id id)
        {
            lab_engine& engine = m_engines[id];
            ++engine.running;
            ++m_started;
            const bool hit = engine.cached(request.prefix);
            m_hits += hit ? 1 : 0;
            const double step = engine.stepTime();
            const double first = (hit ? 0 : prefillMs * engine.slow) + step;
            const double delay = static_cast<int>(id) % zones == request.entry % zones ? 0 : zoneDelayMs;
            m_figures.firstTokenMs.push_back(m_now + first + delay - request.sentAt);
            m_figures.stepGapMs.push_back(step);
            const double runMs = first + request.tokens * step;
            plan(m_now + runMs, [this, request, id, runMs] { end(request, id, runMs); });
        }

        void end(const lab_request& request, backend_id id, double runMs)
        {
            lab_engine& engine = m_engines[id];
            --engine.running;
            m_runMs[id] = m_runMs[id] == 0 ? runMs : 0.9 * m_runMs[id] + 0.1 * runMs;
            if (!engine.waiting.empty()) {
                const lab_request next = engine.waiting.front();
                engine.waiting.erase(engine.waiting.begin());
                start(next, id);
            }
            backend_table& table = m_tables[static_cast<std::size_t>(request.entry)];
            table.recordEnded(id);
            // The head of the answer carried the load of then; it is used later still.
            const load_report report { engine.running, static_cast<int>(engine.waiting.size()), m_runMs[id] };
            const double lag = m_case.reportLagMs;
            const instant madeAt = at(m_now);
            plan(m_now + lag, [&table, id, report, madeAt] { table.recordAnswered(id, report, madeAt); });
        }

        routing_case m_case;
        std::mt19937_64 m_random;
        std::vector<lab_engine> m_engines;
        std::vector<backend_table> m_tables;
        std::vector<std::unique_ptr<routing_policy>> m_policies;
        std::priority_queue<lab_event, std::vector<lab_event>, std::greater<>> m_events;
        std::uint64_t m_order = 0;
        double m_now = 0;
        std::array<double, engineCount> m_runMs {};
        routing_figures m_figures;
        int m_hits = 0;
        int m_started = 0;
        int m_failed = 0;
    };

} // namespace

routing_figures runRouting(const routing_case& what, const std::string& policy)
{
    return routing_lab(what, policy).run();
}

} // namespace rampgap::bench
