#include "model/fleet_run.h"

#include "model/caller_crowd.h"
#include <set>

namespace rampgap::model {

namespace {

    const std::string service = "model";
    constexpr milliseconds reportDelay { 70 };

    class fleet : public fleet_port, public sequence_listener {
    public:
        fleet(const scenario& given, const ways& chosen, std::uint64_t seed)
            : m_scenario(given)
            , m_random(seed)
            , m_callers(m_events, given, m_random, m_entries, m_seen)
        {
            std::vector<listed_backend> listed;
            for (std::size_t i = 0; i < given.groups; ++i) {
                m_groups.push_back(std::make_unique<lockstep_group>(m_events, given, chosen, service, i, seed * 31 + i, *this));
                for (std::size_t rank = 0; rank < given.ranksPerGroup; ++rank) {
                    const std::string id = m_groups[i]->backendId(rank);
                    m_rankOf[id] = { i, rank };
                    listed.push_back({ id, service, "10.0." + std::to_string(i) + "." + std::to_string(rank) + ":80", "z" + std::to_string(zoneOf(i, rank)), given.costs.capacity, false, 1 });
                }
            }
            for (std::size_t i = 0; i < given.entries; ++i)
                m_entries.push_back(std::make_unique<entry_model>(m_events, given, chosen, *this, i % given.zones, listed, seed * 977 + i));
        }

        outcome run()
        {
            for (auto& group : m_groups) {
                group->onReport([this](group_report told) { spread(std::move(told)); });
                group->start();
            }
            for (const auto& each : m_scenario.faults)
                m_events.at(instant {} + each.at, [this, each] { strike(each); });
            m_callers.start();
            m_events.runUntil(instant {} + m_scenario.length + m_scenario.deadline);
            m_callers.finish();
            double skew = 0;
            for (const auto& group : m_groups) {
                m_seen.placementChanges += group->changes();
                m_seen.copies += group->copies();
                skew += group->meanSkew();
            }
            m_seen.meanSkew = skew / static_cast<double>(m_groups.size());
            for (const auto& entry : m_entries)
                m_seen.secondTries += entry->secondTries();
            return std::move(m_seen);
        }

        // -- what entry VMs need

        bool reaches(std::size_t zone, const std::string& backendId) const override
        {
            const auto& [group, rank] = m_rankOf.at(backendId);
            return !m_down && connected(zone, zoneOf(group, rank));
        }

        milliseconds delayTo(std::size_t zone, const std::string& backendId) const override
        {
            const auto& [group, rank] = m_rankOf.at(backendId);
            return zone == zoneOf(group, rank) ? milliseconds(0) : m_scenario.zoneDelay;
        }

        bool submit(const std::string& backendId, sequence asked) override
        {
            const auto& [group, rank] = m_rankOf.at(backendId);
            asked.lost = m_lostShare > 0 && std::bernoulli_distribution(m_lostShare)(m_random);
            return m_groups[group]->submit(rank, asked);
        }

        void cancel(const std::string& backendId, sequence_id id) override
        {
            const auto& [group, rank] = m_rankOf.at(backendId);
            m_groups[group]->cancel(rank, id);
        }

        void passOn(attempt_id id) override { m_callers.passOn(id); }
        void end(attempt_id id, attempt_end how) override { m_callers.end(id, how); }

        // -- what groups tell

        void onEvent(sequence_id id, bool last) override
        {
            const attempt_id attempt = id / triesOfAttempt;
            if (entry_model* entry = m_callers.entryOf(attempt))
                entry->hearEvent(attempt, id, last);
        }

        void onCut(sequence_id id) override
        {
            const attempt_id attempt = id / triesOfAttempt;
            if (entry_model* entry = m_callers.entryOf(attempt))
                entry->hearCut(attempt, id);
        }

    private:
        // Groups lie in one zone each where there are as many, else over all.
        std::size_t zoneOf(std::size_t group, std::size_t rank) const { return m_scenario.groups >= m_scenario.zones ? group % m_scenario.zones : rank % m_scenario.zones; }
        bool connected(std::size_t one, std::size_t other) const { return one == other || (!m_cutZones.contains(one) && !m_cutZones.contains(other)); }

        void spread(group_report told)
        {
            const std::size_t zone = zoneOf(static_cast<std::size_t>(std::stoul(told.key.group.substr(1))), 0);
            const auto shared = std::make_shared<const group_report>(std::move(told));
            for (auto& entry : m_entries) {
                if (m_down || !connected(zone, entry->zone()))
                    continue;
                m_events.after(reportDelay, [held = entry.get(), shared] { held->hear(*shared); });
            }
        }

        // -- faults

        void strike(const fault& each)
        {
            const auto afterIt = [&](std::function<void()> action) { m_events.after(each.length, std::move(action)); };
            lockstep_group& group = *m_groups[each.where % m_groups.size()];
            switch (each.kind) {
            case fault_kind::closure:
                group.close(each.length);
                break;
            case fault_kind::zone_cut:
                m_cutZones.insert(each.where);
                afterIt([this, where = each.where] { m_cutZones.erase(where); });
                closeSpread(each);
                break;
            case fault_kind::slow_rank:
                group.setPace(0, each.factor);
                afterIt([&group] { group.setPace(0, 1); });
                break;
            case fault_kind::slow_all:
                setAllPaces(each.factor);
                afterIt([this] { setAllPaces(1); });
                break;
            case fault_kind::lost_answers:
                m_lostShare = each.share;
                afterIt([this] { m_lostShare = 0; });
                break;
            case fault_kind::shift:
                shift(each);
                break;
            case fault_kind::burst:
                m_callers.setRate(each.factor);
                afterIt([this] { m_callers.setRate(1); });
                break;
            case fault_kind::hold:
                group.hold(each.length);
                break;
            case fault_kind::restart_all:
                restartAll(each);
                break;
            }
        }

        // A group with ranks in a zone that is cut off has lost them.
        void closeSpread(const fault& each)
        {
            if (m_scenario.groups >= m_scenario.zones)
                return;
            for (auto& group : m_groups)
                group->close(each.length);
        }

        void setAllPaces(double pace)
        {
            for (auto& group : m_groups) {
                for (std::size_t rank = 0; rank < m_scenario.ranksPerGroup; ++rank)
                    group->setPace(rank, pace);
            }
        }

        void shift(const fault& each)
        {
            for (int i = 0; i < each.count; ++i) {
                m_events.after(each.gap * i, [this, share = each.share] {
                    for (auto& group : m_groups)
                        group->shiftDemand(share);
                });
            }
        }

        void restartAll(const fault& each)
        {
            m_down = true;
            for (auto& group : m_groups)
                group->close(each.length);
            for (auto& entry : m_entries)
                entry->restart();
            m_callers.loseEntries();
            m_events.after(each.length, [this] {
                m_down = false;
                m_callers.regainEntries();
            });
        }

        const scenario& m_scenario;
        std::mt19937_64 m_random;
        event_queue m_events;
        std::vector<std::unique_ptr<lockstep_group>> m_groups;
        std::vector<std::unique_ptr<entry_model>> m_entries;
        std::map<std::string, std::pair<std::size_t, std::size_t>> m_rankOf;
        std::set<std::size_t> m_cutZones;
        bool m_down = false;
        double m_lostShare = 0;
        outcome m_seen;
        caller_crowd m_callers;
    };

} // namespace

outcome runFleet(const scenario& given, const ways& chosen, std::uint64_t seed)
{
    return fleet(given, chosen, seed).run();
}

} // namespace rampgap::model
