// Interface to the engine of one rank; engines differ in their capabilities.
#pragma once

#include "daemon/http_message.h"
#include "policy/groups/map_message.h"

#include <memory>
#include <vector>

namespace rampgap {

class http_client;

// Capabilities of an engine. A map switch requires `gatesAtStep`; the agent makes up for a missing `checksFencing`.
struct engine_capabilities {
    // The engine waits before a staged step until it is ordered to commit or abort.
    bool gatesAtStep = false;
    // The engine itself refuses orders with an outdated fencing number.
    bool checksFencing = false;

    bool operator==(const engine_capabilities&) const = default;
};

// The report of a rank: its state, and its counts since the last report.
struct rank_report {
    rank_state state;
    engine_capabilities capabilities;
    // Tokens per expert of the group; `timePerWork` is this rank's time per unit of work.
    std::vector<double> expertCounts;
    double timePerWork = 1;

    bool operator==(const rank_report&) const = default;
};

class rank_engine {
public:
    virtual ~rank_engine() = default;

    virtual awaitable<result<rank_report>> report() = 0;
    // Sends one order to the engine; the report that it returns afterwards confirms the order.
    virtual awaitable<result<rank_report>> carryOut(engine_order, std::vector<std::uint32_t> placement, std::uint64_t fence) = 0;

    static std::unique_ptr<rank_engine> makeHttp(http_client&, std::string address);
};

} // namespace rampgap
