// An expert group: ranks that execute each pass together, and the leader that places experts.
#pragma once

#include "model/event_queue.h"
#include "model/expert_demand.h"
#include "model/scenario.h"
#include "policy/groups/group_directory.h"
#include "policy/groups/group_monitor.h"
#include "policy/routing/load_table.h"

#include <deque>
#include <functional>
#include <list>

namespace rampgap::model {

using sequence_id = std::uint64_t;

// An answer that a rank writes.
struct sequence {
    sequence_id id = 0;
    double promptTokens = 0;
    int eventsLeft = 0;
    // It is written, but its events reach nobody.
    bool lost = false;
    bool promptRead = false;
};

class sequence_listener {
public:
    virtual ~sequence_listener() = default;

    virtual void onEvent(sequence_id, bool last) = 0;
    // The group has closed under it.
    virtual void onCut(sequence_id) = 0;
};

// What a leader tells entry VMs.
struct group_report {
    group_key key;
    group_phase phase;
    group_slowdown slowdown;
    load_report_by_hash loads;
};

class lockstep_group {
public:
    lockstep_group(event_queue&, const scenario&, const ways&, std::string service, std::size_t index, std::uint64_t seed, sequence_listener&);

    // Called after each look of the leader, and when the group closes or opens.
    void onReport(std::function<void(group_report)> action) { m_onReport = std::move(action); }
    void start();

    // False if the rank refuses it.
    bool submit(std::size_t rank, sequence);
    void cancel(std::size_t rank, sequence_id);
    bool open() const { return m_open; }
    const std::string& name() const { return m_key.group; }
    std::string backendId(std::size_t rank) const { return m_key.group + "-" + std::to_string(rank); }

    void close(milliseconds length);
    void hold(milliseconds length);
    void setPace(std::size_t rank, double pace) { m_paces[rank] = pace; }
    void shiftDemand(double share);

    int changes() const { return m_changes; }
    int copies() const { return m_copies; }
    // Mean over all passes.
    double meanSkew() const { return m_passes == 0 ? 1 : m_skewSum / m_passes; }

private:
    struct rank {
        std::list<sequence> active;
        std::deque<sequence> queued;
    };

    void beginPass();
    void endPass(std::uint64_t life);
    double passMs() const;
    void reopen();
    void look();
    void decide();
    void beginChange();
    void endChange(std::uint64_t life);
    void report();
    std::vector<std::uint64_t> takeChoices();
    milliseconds changeTime() const;

    event_queue& m_events;
    const scenario& m_scenario;
    group_key m_key;
    sequence_listener& m_listener;
    std::function<void(group_report)> m_onReport;
    std::vector<rank> m_ranks;
    rank_paces m_paces;
    expert_demand m_demand;
    group_monitor m_monitor;
    group_placement m_placement;
    std::uint64_t m_placementNumber = 0;
    std::uint64_t m_numbers = 0;
    double m_skew = 1;
    bool m_open = true;
    bool m_passing = false;
    bool m_changing = false;
    std::uint64_t m_epoch = 1;
    // Rises with each closure: what was under way before it is void.
    std::uint64_t m_life = 1;
    instant m_heldUntil {};
    double m_tokensSinceLook = 0;
    int m_changes = 0;
    int m_copies = 0;
    int m_passes = 0;
    double m_skewSum = 0;
};

} // namespace rampgap::model
