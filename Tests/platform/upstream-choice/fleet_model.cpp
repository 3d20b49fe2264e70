#include "fleet_model.h"

namespace rampgap {

namespace {

    const instant zero {};
    const std::string service = "model";
    // Of a target of 600 ms a running request needs about 200 ms until its first event.
    constexpr milliseconds longestWait { 400 };
    constexpr double deviation = 0.8;

    std::string idOf(int server) { return "s" + std::to_string(1'000 + server); }

    struct entry_vm {
        load_table loads { milliseconds(400) };
        group_directory groups { milliseconds(1'500) };
        server_backpressure backpressure;
    };

    struct end_of_run {
        instant at;
        int server;
        int entry;
        bool operator>(const end_of_run& other) const { return at > other.at; }
    };

    struct waiting {
        instant since;
        milliseconds run;
        int entry;
    };

    struct server {
        int running = 0;
        std::deque<waiting> queue;
    };

    class model {
    public:
        model(const fleet_load& load, std::uint32_t seed)
            : m_load(load)
            , m_random(seed)
            , m_servers(static_cast<std::size_t>(load.servers))
        {
            for (int i = 0; i < load.entries; ++i)
                m_entries.push_back(std::make_unique<entry_vm>());
            for (int i = 0; i < load.servers; ++i)
                m_backends.list({ idOf(i), service, "10.0.0.1:" + std::to_string(i), zoneOf(i), load.slots, false, 1 });
        }

        wait_shares run(milliseconds length)
        {
            const instant until = zero + length;
            instant nextPoll = zero;
            std::exponential_distribution<double> pause(m_load.requestsPerSecond / 1'000);
            double arrivalMs = 0;
            while (m_now < until) {
                arrivalMs += pause(m_random);
                m_now = zero + milliseconds(static_cast<std::int64_t>(arrivalMs));
                for (; nextPoll <= m_now; nextPoll += m_load.pollInterval) {
                    endRuns(nextPoll);
                    poll(nextPoll);
                }
                endRuns(m_now);
                deliverPolls();
                arrive();
            }
            return { static_cast<double>(m_late) / m_requests, static_cast<double>(m_queued) / m_requests };
        }

    private:
        static std::string zoneOf(int index) { return std::string(1, static_cast<char>('a' + index % 5)); }

        void endRuns(instant until)
        {
            while (!m_ends.empty() && m_ends.top().at <= until) {
                const end_of_run ended = m_ends.top();
                m_ends.pop();
                m_entries[static_cast<std::size_t>(ended.entry)]->loads.recordEnded(idOf(ended.server), 0);
                server& at = m_servers[static_cast<std::size_t>(ended.server)];
                --at.running;
                if (at.queue.empty())
                    continue;
                const waiting next = at.queue.front();
                at.queue.pop_front();
                m_late += ended.at - next.since > longestWait ? 1 : 0;
                begin(ended.server, next.entry, next.run, ended.at);
            }
        }

        void begin(int index, int entry, milliseconds run, instant at)
        {
            ++m_servers[static_cast<std::size_t>(index)].running;
            m_ends.push({ at + run, index, entry });
        }

        void poll(instant at)
        {
            load_report_by_hash counts;
            for (int i = 0; i < m_load.servers; ++i) {
                const server& each = m_servers[static_cast<std::size_t>(i)];
                counts[backendHash(idOf(i))] = { each.running + static_cast<int>(each.queue.size()), 0, 1 };
            }
            m_polls.push_back({ at + m_load.pollDelay, std::move(counts) });
        }

        void deliverPolls()
        {
            while (!m_polls.empty() && m_polls.front().first <= m_now) {
                for (auto& entry : m_entries)
                    entry->loads.mergeRankLoads(m_polls.front().second, m_now);
                m_polls.pop_front();
            }
        }

        void arrive()
        {
            const int index = std::uniform_int_distribution<int>(0, m_load.entries - 1)(m_random);
            entry_vm& entry = *m_entries[static_cast<std::size_t>(index)];
            upstream_input input;
            input.service = service;
            input.costs = costs();
            input.promptTokens = 700;
            input.ownZone = zoneOf(index);
            input.now = m_now;
            input.longestGap = m_load.longestGap;
            const std::string id = upstream_choice().choose(input, m_backends, entry.loads, entry.groups, entry.backpressure, m_random);
            const int chosen = std::stoi(id.substr(1)) - 1'000;
            entry.loads.recordSent(id, 0, m_now);
            const double spread = std::lognormal_distribution<double>(-deviation * deviation / 2, deviation)(m_random);
            const milliseconds run(static_cast<std::int64_t>(m_load.meanRunMs * spread));
            ++m_requests;
            server& at = m_servers[static_cast<std::size_t>(chosen)];
            if (at.running < m_load.slots) {
                begin(chosen, index, run, m_now);
                return;
            }
            ++m_queued;
            at.queue.push_back({ m_now, run, index });
        }

        engine_costs costs() const
        {
            engine_costs made;
            made.stepMs = 4.5;
            made.perSequenceMs = 2;
            made.stepsPerPass = 6;
            made.prefillTokensPerMs = 61;
            made.capacity = m_load.slots;
            return made;
        }

        fleet_load m_load;
        std::mt19937_64 m_random;
        instant m_now = zero;
        backend_directory m_backends;
        std::vector<std::unique_ptr<entry_vm>> m_entries;
        std::vector<server> m_servers;
        std::priority_queue<end_of_run, std::vector<end_of_run>, std::greater<>> m_ends;
        std::deque<std::pair<instant, load_report_by_hash>> m_polls;
        int m_requests = 0;
        int m_late = 0;
        int m_queued = 0;
    };

} // namespace

wait_shares runFleet(const fleet_load& load, milliseconds length, std::uint32_t seed)
{
    return model(load, seed).run(length);
}

} // namespace rampgap
