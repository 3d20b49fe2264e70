#include "model/fleet_run.h"

#include "policy/group_wait.h"
#include <algorithm>
#include <cmath>
#include <numbers>
#include <set>

namespace rampgap::model {

namespace {

    const std::string service = "model";
    constexpr milliseconds reportDelay { 70 };
    constexpr double wavePeriodMs = 11'000;
    // A caller that could not connect tries again after this.
    constexpr milliseconds connectRetry { 1'000 };
    constexpr double busyWeight = 3;
    // Answers of more events than this many times the mean are cut to it.
    constexpr double longestAnswer = 2.5;

    struct caller {
        std::uint64_t id = 0;
        instant cameAt;
        instant deadline;
        std::size_t zone = 0;
        double promptTokens = 0;
        int events = 0;
        int returnsLeft = 0;
        std::size_t entry = 0;
        attempt_id attempt = 0;
        int eventsSeen = 0;
        std::optional<instant> firstEventAt;
        instant newestAt;
        duration longestGap {};
        bool ended = false;
    };

    class fleet : public fleet_port, public sequence_listener {
    public:
        fleet(const scenario& given, const ways& chosen, std::uint64_t seed)
            : m_scenario(given)
            , m_random(seed)
            , m_seen()
        {
            m_seen.seconds.resize(static_cast<std::size_t>(given.length.count() / 1'000 + 1));
            std::vector<listed_backend> listed;
            for (std::size_t i = 0; i < given.groups; ++i) {
                m_groups.push_back(std::make_unique<lockstep_group>(m_events, given, chosen, service, i, seed * 31 + i, *this));
                for (std::size_t rank = 0; rank < given.ranksPerGroup; ++rank) {
                    const std::string id = m_groups[i]->backendId(rank);
                    m_rankOf[id] = { i, rank };
                    listed.push_back({ id, service, "10.0." + std::to_string(i) + "." + std::to_string(rank) + ":80", "z" + std::to_string(zoneOf(i, rank)), given.costs.capacity, false, 1 });
                }
            }
            for (std::size_t i = 0; i < given.entries; ++i) {
                m_entries.push_back(std::make_unique<entry_model>(m_events, given, chosen, *this, i % given.zones, listed, seed * 977 + i));
                m_weights.push_back(static_cast<double>(i) < given.busyEntries * static_cast<double>(given.entries) ? busyWeight : 1);
            }
        }

        outcome run()
        {
            for (auto& group : m_groups) {
                group->onReport([this](group_report told) { spread(std::move(told)); });
                group->start();
            }
            for (const auto& each : m_scenario.faults)
                m_events.at(instant {} + each.at, [this, each] { strike(each); });
            scheduleArrival();
            m_events.runUntil(instant {} + m_scenario.length + m_scenario.deadline);
            for (auto& [id, held] : m_callers)
                end(held, held.eventsSeen > 0 ? caller_end::failed : caller_end::refused);
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

        void passOn(attempt_id id) override
        {
            caller* held = callerOf(id);
            if (!held)
                return;
            const instant now = m_events.now() + m_scenario.callerDelay;
            if (held->firstEventAt)
                held->longestGap = std::max(held->longestGap, now - held->newestAt);
            else
                held->firstEventAt = now;
            held->newestAt = now;
            ++held->eventsSeen;
        }

        void end(attempt_id id, attempt_end how) override
        {
            caller* held = callerOf(id);
            if (!held)
                return;
            if (how.answered)
                return end(*held, inTime(*held) ? caller_end::in_time : caller_end::late);
            m_attempts.erase(id);
            if (held->returnsLeft-- > 0 && held->eventsSeen == 0)
                return comeBack(*held, how.retryAfter);
            end(*held, how.notRun ? caller_end::refused : caller_end::failed);
        }

        // -- what groups tell

        void onEvent(sequence_id id, bool last) override
        {
            const attempt_id attempt = id / triesOfAttempt;
            if (caller* held = callerOf(attempt))
                m_entries[held->entry]->hearEvent(attempt, id, last);
        }

        void onCut(sequence_id id) override
        {
            const attempt_id attempt = id / triesOfAttempt;
            if (caller* held = callerOf(attempt))
                m_entries[held->entry]->hearCut(attempt, id);
        }

    private:
        // Groups lie in one zone each where there are as many, else over all.
        std::size_t zoneOf(std::size_t group, std::size_t rank) const { return m_scenario.groups >= m_scenario.zones ? group % m_scenario.zones : rank % m_scenario.zones; }
        bool connected(std::size_t one, std::size_t other) const { return one == other || (!m_cutZones.contains(one) && !m_cutZones.contains(other)); }

        caller* callerOf(attempt_id id)
        {
            const auto held = m_attempts.find(id);
            if (held == m_attempts.end())
                return nullptr;
            const auto found = m_callers.find(held->second);
            return found == m_callers.end() ? nullptr : &found->second;
        }

        bool inTime(const caller& who) const
        {
            return *who.firstEventAt - who.cameAt <= m_scenario.latencyTarget && who.longestGap <= m_scenario.gapTarget;
        }

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

        // -- callers

        void scheduleArrival()
        {
            const double elapsed = std::chrono::duration<double, std::milli>(m_events.now() - instant {}).count();
            const double wave = 1 + m_scenario.swing * std::sin(2 * std::numbers::pi * elapsed / wavePeriodMs);
            const double perMs = m_scenario.requestsPerSecond * wave * m_burst / 1'000;
            const double pause = std::exponential_distribution<double>(std::max(perMs, 1e-6))(m_random);
            m_events.after(std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(pause)), [this] {
                if (m_events.now() - instant {} >= m_scenario.length)
                    return;
                arrive();
                scheduleArrival();
            });
        }

        void arrive()
        {
            const std::uint64_t id = ++m_callerIds;
            caller& who = m_callers[id];
            who.id = id;
            who.cameAt = m_events.now();
            who.deadline = who.cameAt + m_scenario.deadline;
            who.zone = std::uniform_int_distribution<std::size_t>(0, m_scenario.zones - 1)(m_random);
            const double spread = m_scenario.eventSpread;
            const double draw = std::lognormal_distribution<double>(-spread * spread / 2, spread)(m_random);
            who.events = std::max(1, static_cast<int>(m_scenario.meanEvents * std::min(draw, longestAnswer)));
            who.promptTokens = m_scenario.meanPromptTokens * std::uniform_real_distribution<double>(0.5, 1.5)(m_random);
            who.returnsLeft = m_scenario.returns;
            connect(id);
        }

        void connect(std::uint64_t id)
        {
            caller& who = m_callers.at(id);
            who.newestAt = m_events.now();
            if (m_down) {
                if (who.returnsLeft-- > 0)
                    return later(id, connectRetry);
                return end(who, caller_end::failed);
            }
            std::vector<double> weights = m_weights;
            for (std::size_t i = 0; i < weights.size(); ++i)
                weights[i] = m_entries[i]->zone() == who.zone ? weights[i] : 0;
            who.entry = std::discrete_distribution<std::size_t>(weights.begin(), weights.end())(m_random);
            who.attempt = ++m_attemptIds;
            m_attempts[who.attempt] = id;
            watchPatience(id, who.attempt);
            const model_request asked { who.attempt, who.promptTokens, who.events, who.deadline };
            m_events.after(m_scenario.callerDelay, [this, entry = who.entry, asked] { m_entries[entry]->take(asked); });
        }

        void comeBack(caller& who, milliseconds pause)
        {
            const auto left = std::chrono::duration_cast<milliseconds>(who.deadline - m_events.now());
            later(who.id, std::min(pause, longestPause(left)));
        }

        void later(std::uint64_t id, milliseconds pause)
        {
            m_events.after(pause + m_scenario.callerDelay, [this, id] {
                if (m_callers.contains(id))
                    connect(id);
            });
        }

        // A caller leaves when nothing has come for as long as it waits, or at its deadline.
        void watchPatience(std::uint64_t id, attempt_id attempt)
        {
            const auto held = m_callers.find(id);
            if (held == m_callers.end() || held->second.attempt != attempt)
                return;
            caller& who = held->second;
            const instant leaves = std::min(who.deadline, who.newestAt + callerPatience(m_scenario.latencyTarget, m_scenario.gapTarget));
            if (m_events.now() < leaves) {
                m_events.at(leaves, [this, id, attempt] { watchPatience(id, attempt); });
                return;
            }
            m_entries[who.entry]->drop(attempt);
            m_attempts.erase(attempt);
            if (m_events.now() < who.deadline && who.eventsSeen == 0 && who.returnsLeft-- > 0)
                return connect(id);
            end(who, caller_end::failed);
        }

        void end(caller& who, caller_end how)
        {
            if (std::exchange(who.ended, true))
                return;
            m_ended.push_back(who.id);
            m_attempts.erase(who.attempt);
            // Not here: the caller may still be in use further up.
            m_events.after(duration::zero(), [this] {
                for (const auto id : m_ended)
                    m_callers.erase(id);
                m_ended.clear();
            });
            if (who.cameAt - instant {} >= m_scenario.warmUp)
                count(who, how);
        }

        void count(const caller& who, caller_end how)
        {
            const auto second = static_cast<std::size_t>(std::chrono::duration_cast<std::chrono::seconds>(who.cameAt - instant {}).count());
            second_tally& tally = m_seen.seconds[second];
            switch (how) {
            case caller_end::in_time:
                ++tally.in_time;
                break;
            case caller_end::late:
                ++tally.late;
                break;
            case caller_end::refused:
                ++tally.refused;
                break;
            case caller_end::failed:
                ++tally.failed;
                break;
            }
            if (who.firstEventAt) {
                m_seen.firstEventMs.push_back(std::chrono::duration<double, std::milli>(*who.firstEventAt - who.cameAt).count());
                m_seen.longestGapMs.push_back(std::chrono::duration<double, std::milli>(who.longestGap).count());
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
                m_burst = each.factor;
                afterIt([this] { m_burst = 1; });
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
            // Their connections are reset, and they come back.
            std::vector<std::uint64_t> cut;
            for (const auto& [attempt, id] : m_attempts)
                cut.push_back(id);
            m_attempts.clear();
            for (const auto id : cut) {
                caller& who = m_callers.at(id);
                if (who.eventsSeen == 0 && who.returnsLeft-- > 0)
                    later(id, connectRetry);
                else
                    end(who, caller_end::failed);
            }
            m_events.after(each.length, [this] { m_down = false; });
        }

        const scenario& m_scenario;
        std::mt19937_64 m_random;
        event_queue m_events;
        std::vector<std::unique_ptr<lockstep_group>> m_groups;
        std::vector<std::unique_ptr<entry_model>> m_entries;
        std::vector<double> m_weights;
        std::map<std::string, std::pair<std::size_t, std::size_t>> m_rankOf;
        std::map<std::uint64_t, caller> m_callers;
        std::map<attempt_id, std::uint64_t> m_attempts;
        std::vector<std::uint64_t> m_ended;
        std::uint64_t m_callerIds = 0;
        attempt_id m_attemptIds = 0;
        std::set<std::size_t> m_cutZones;
        bool m_down = false;
        double m_lostShare = 0;
        double m_burst = 1;
        outcome m_seen;
    };

} // namespace

outcome runFleet(const scenario& given, const ways& chosen, std::uint64_t seed)
{
    return fleet(given, chosen, seed).run();
}

} // namespace rampgap::model
