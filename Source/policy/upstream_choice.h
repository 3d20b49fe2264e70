// Chooses the backend server for one try.
#pragma once

#include "policy/backend_directory.h"
#include "policy/fleet_configuration.h"
#include "policy/group_directory.h"
#include "policy/load_board.h"
#include "policy/server_backpressure.h"

#include <optional>
#include <random>

namespace rampgap {

struct upstream_question {
    std::string service;
    // Set for model engines.
    std::optional<engine_costs> costs;
    std::int64_t promptTokens = 0;
    // Servers that this request has been at.
    std::vector<std::string> tried;
    // Of those, the ones that stayed silent or could not be reached: what they lack their whole
    // group may lack.
    std::vector<std::string> silent;
    std::string ownZone;
    instant now;
    // 0 is first.
    int priority = 0;
    // Longest pause between two events that the caller accepts; 0: any.
    milliseconds longestGap { 0 };
};

// Expected milliseconds until a server would have read the prompt of a new request, were it
// alone in its pass; for plain services its queue in units of its capacity.
double expectedDelay(const backend_load&, int capacity, const std::optional<engine_costs>&, std::int64_t promptTokens);

// What the open servers of a service run at once, and the requests they have; without those
// whose group is closed or that asked this process to back off.
struct pool_load {
    int capacity = 0;
    int requests = 0;
    // Of the capacity, what is best run at once for the gap that was asked for.
    int toRun = 0;

    bool operator==(const pool_load&) const = default;
};

// What poolLoad is asked.
struct pool_question {
    std::string service;
    std::optional<engine_costs> costs;
    milliseconds longestGap { 0 };
    // From a place to the end of the answer: with a limit on its requests a server fills so many places.
    milliseconds usualRun { 0 };
    instant now;
};

pool_load poolLoad(const pool_question&, const backend_directory&, const load_board&, const group_directory&, const server_backpressure&);

class upstream_choice {
public:
    // The id of the server; empty if the service has none that may be sent to. A server whose group is closed is
    // chosen only where all are, one whose group's passes are too long for the caller, or that
    // has all that it can run in time, only where no other is left.
    std::string choose(const upstream_question&, const backend_directory&, const load_board&, const group_directory&, const server_backpressure&, std::mt19937_64&) const;

private:
    struct candidate {
        std::string id;
        // Empty if not known.
        std::string group;
        double delay = 0;
        bool avoided = false;
        bool inOwnZone = false;
        // This process has a grant for it.
        bool granted = false;
        // By what is known its group has room, and passes that are short enough.
        bool timely = true;
    };

    static std::vector<candidate> candidates(const upstream_question&, const backend_directory&, const load_board&, const group_directory&, const server_backpressure&);
    // Leaves what is best kept away from, as long as anything else is left.
    static void prefer(std::vector<candidate>&, const upstream_question&, const group_directory&);
    static const candidate& bestOfFew(const std::vector<candidate>&, std::mt19937_64&);
};

} // namespace rampgap
