// What one service's event ids rise by, as far as its streams have shown it.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string_view>

namespace rampgap {

// An id as a number; empty if it is none.
std::optional<std::uint64_t> eventNumber(std::string_view id);

// What the ids of one run rise by: how often by how much.
class run_steps {
public:
    // Two events that followed each other.
    void record(std::uint64_t previous, std::uint64_t next);
    std::map<std::uint64_t, int> counts() const;
    bool empty() const { return m_newestCount == 0; }
    // 0 if there is none.
    std::uint64_t largest() const;
    // The step of all of them; empty if there are too few to tell, or several.
    std::optional<std::uint64_t> only() const;

private:
    // Adds the newest step to the others.
    void flush();

    // Of the steps before the newest one, which mostly comes again.
    std::map<std::uint64_t, int> m_counts;
    std::uint64_t m_newest = 0;
    int m_newestCount = 0;
};

class event_id_steps {
public:
    // The steps of a run that ended soundly: what a broken one shows may be garbage.
    void record(const run_steps&);
    // The step that nearly all have and hardly a run exceeds; empty if there is none, or too few were seen.
    std::optional<std::uint64_t> usual() const;
    // Enough was seen to say whether there is a usual step.
    bool isKnown() const;

private:
    struct seen_step {
        int runs = 0;
        int steps = 0;
        // How often the counts were halved since it was seen last.
        int halvedUnseen = 0;
    };

    std::map<std::uint64_t, seen_step> m_steps;
    int m_seen = 0;
};

} // namespace rampgap
