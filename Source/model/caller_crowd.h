// The callers of a modelled fleet: they come, wait, lose patience, come back and are counted.
#pragma once

#include "model/entry_model.h"
#include "model/outcome.h"

#include <memory>

namespace rampgap::model {

class caller_crowd {
public:
    // All must outlive the crowd. Callers choose among the entry VMs of their zone; who has ended is
    // counted in the outcome.
    caller_crowd(event_queue&, const scenario&, std::mt19937_64&, const std::vector<std::unique_ptr<entry_model>>& entries, outcome&);

    void start();
    // So many times as many come as the scenario says.
    void setRate(double factor) { m_rate = factor; }
    // An event of the answer is on its way to the caller.
    void passOn(attempt_id);
    void end(attempt_id, attempt_end);
    // The entry VM that the attempt is at; null if its caller has left.
    entry_model* entryOf(attempt_id);
    // All entry VMs end: connections are reset, and nobody listens until they are back.
    void loseEntries();
    void regainEntries() { m_nobodyListens = false; }
    // Counts those who still wait.
    void finish();

private:
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

    caller* callerOf(attempt_id);
    bool inTime(const caller&) const;
    void scheduleArrival();
    void arrive();
    void connect(std::uint64_t id);
    void comeBack(caller&, milliseconds pause);
    void later(std::uint64_t id, milliseconds pause);
    // A caller leaves when nothing has come for as long as it waits, or at its deadline.
    void watchPatience(std::uint64_t id, attempt_id);
    void end(caller&, caller_end);
    void count(const caller&, caller_end);

    event_queue& m_events;
    const scenario& m_scenario;
    std::mt19937_64& m_random;
    const std::vector<std::unique_ptr<entry_model>>& m_entries;
    outcome& m_seen;
    // Of the entry VMs: a few have more callers than the others.
    std::vector<double> m_weights;
    std::map<std::uint64_t, caller> m_callers;
    std::map<attempt_id, std::uint64_t> m_attempts;
    std::vector<std::uint64_t> m_ended;
    std::uint64_t m_callerIds = 0;
    attempt_id m_attemptIds = 0;
    double m_rate = 1;
    bool m_nobodyListens = false;
};

} // namespace rampgap::model
