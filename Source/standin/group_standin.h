// Fake of an expert group: ranks in lock-step, each on a port of its own.
#pragma once

#include "daemon/http_server.h"
#include "policy/groups/map_participant.h"
#include "standin/standin_flags.h"

#include <memory>
#include <vector>

namespace rampgap::standin {

// Counts each step in which two ranks used different maps.
class group_standin {
public:
    group_standin(process_context&, const standin_flags&);

    // Listens for all ranks, prints the ready lines and runs to the end.
    int serve();

private:
    // One rank's engine: it gates at a staged step and knows no fencing numbers unless told to.
    class rank : public http_handler {
    public:
        rank(group_standin& group, std::size_t index);

        awaitable<void> handle(http_exchange&) override;
        bool ready() const { return mayStart(m_state, m_state.step + 1); }
        void step();
        // The placement in use, as one number.
        std::uint64_t mapInUse() const;

    private:
        bool carryOut(const std::string& body);
        http_response report();

        group_standin& m_group;
        std::size_t m_index;
        rank_state m_state;
        std::uint64_t m_highestFence = 0;
        std::uint64_t m_stagedPlacement = 0;
        std::uint64_t m_placement = 0;
        std::uint64_t m_placementBefore = 0;
    };

    awaitable<void> stepLoop();
    http_response figures() const;
    std::vector<double> expertCounts() const;

    process_context& m_context;
    standin_flags m_flags;
    std::vector<std::unique_ptr<rank>> m_ranks;
    std::vector<std::unique_ptr<http_server>> m_servers;
    std::uint64_t m_steps = 0;
    std::uint64_t m_delayed = 0;
    std::uint64_t m_mixed = 0;
    std::uint64_t m_switches = 0;
    std::uint64_t m_lastMap = 0;
};

} // namespace rampgap::standin
