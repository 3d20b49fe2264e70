// Simulates agents under random faults and counts the runs of each id.
#pragma once

#include "policy/requests/execution_guard.h"

#include <map>
#include <memory>
#include <vector>

namespace rampgap::test {

// Draws from a fixed list of numbers, so that a failing run can be shrunk and repeated.
class choice_source {
public:
    explicit choice_source(const std::vector<std::uint32_t>& choices)
        : m_choices(choices)
    {
    }
    bool done() const { return m_next >= m_choices.size(); }
    std::uint32_t below(std::uint32_t bound) { return done() ? 0 : m_choices[m_next++] % bound; }

private:
    const std::vector<std::uint32_t>& m_choices;
    std::size_t m_next = 0;
};

class once_model {
public:
    explicit once_model(choice_source&);

    // One random event: a request, passing time, a message, a fault or a change of configuration.
    void step();
    // Ends all faults and lets the agents exchange messages until no state is missing.
    void heal();
    // The highest number of runs of one id within its lifetime.
    int mostRuns() const { return m_mostRuns; }
    int accepted() const { return m_accepted; }
    // True if some agent would run a new id.
    bool someoneRuns(const std::string& key);

private:
    struct agent {
        std::unique_ptr<execution_guard> guard;
        std::size_t revisionIndex = 0;
        bool alive = true;
        std::uint64_t incarnation = 1;
    };
    struct late_answer {
        std::size_t asker;
        std::uint64_t askerIncarnation;
        handover_answer answer;
        bool memoryBack;
    };
    struct id_record {
        instant born;
        int runs = 0;
    };

    void publish();
    void learn(agent&, bool skip);
    void send();
    void ask(std::size_t asker, std::size_t asked, bool takeBack);
    // Every agent queries every other, without loss.
    void exchangeAll();
    void deliverLate();
    void crash(std::size_t);
    void restart(std::size_t, std::size_t revisionIndex);
    void leave(std::size_t);
    bool tryRun(agent&, const std::string& key);
    const declaration& declared(const agent& which) const { return m_declarations[which.revisionIndex]; }
    std::string nameOf(std::size_t) const;

    choice_source& m_choices;
    instant m_now;
    std::vector<declaration> m_declarations;
    std::vector<agent> m_agents;
    std::vector<late_answer> m_late;
    std::map<std::string, id_record> m_ids;
    std::uint64_t m_nextId = 0;
    int m_mostRuns = 0;
    int m_accepted = 0;
};

} // namespace rampgap::test
