// What rampgap asks of the engine of one rank; engines differ in what they can.
#pragma once

#include "daemon/http_message.h"
#include "policy/map_message.h"

#include <memory>
#include <vector>

namespace rampgap {

class http_client;

// What an engine can do; a switch needs a gate, the rest the agent makes up for.
struct engine_abilities {
    // Waits before a staged step until it is told to commit or abort.
    bool gatesAtStep = false;
    // Refuses orders with an old fencing number itself.
    bool checksFencing = false;

    bool operator==(const engine_abilities&) const = default;
};

// The report of a rank: its state, and what it counted since the last report.
struct rank_report {
    rank_state state;
    engine_abilities abilities;
    // Tokens per expert of the group, and time per unit of work of this rank.
    std::vector<double> expertCounts;
    double timePerWork = 1;

    bool operator==(const rank_report&) const = default;
};

class rank_engine {
public:
    virtual ~rank_engine() = default;

    virtual awaitable<result<rank_report>> report() = 0;
    // Carries out one order; the engine's report afterwards confirms it.
    virtual awaitable<result<rank_report>> carryOut(engine_order, std::vector<std::uint32_t> placement, std::uint64_t fence) = 0;

    static std::unique_ptr<rank_engine> makeHttp(http_client&, std::string address);
};

} // namespace rampgap
