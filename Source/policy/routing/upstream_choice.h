// Chooses the backend server for one attempt of a request.
#pragma once

#include "policy/configuration/fleet_configuration.h"
#include "policy/groups/group_directory.h"
#include "policy/limits/server_backpressure.h"
#include "policy/routing/backend_directory.h"
#include "policy/routing/load_table.h"

#include <optional>
#include <random>

namespace rampgap {

struct upstream_input {
    std::string service;
    // Set for model engines.
    std::optional<engine_costs> costs;
    std::int64_t promptTokens = 0;
    // Servers that this request was already sent to.
    std::vector<std::string> tried;
    // Of those, the ones that did not answer or could not be reached: their whole group may have
    // the same fault.
    std::vector<std::string> silent;
    std::string ownZone;
    instant now;
    // 0 is first.
    int priority = 0;
    // Longest pause between two events that the caller accepts; 0: any.
    milliseconds longestGap { 0 };
};

// Expected delay of a new request at a server, in milliseconds. For model engines the time to process
// its prompt and those before it, plus one pass of the running requests; for plain services the time
// in the queue.
double expectedDelay(const backend_load&, int capacity, const std::optional<engine_costs>&, std::int64_t promptTokens);

// Capacity and requests of the servers of a service that accept work, without those whose group is
// closed or that asked this process to back off.
struct pool_load {
    int capacity = 0;
    int requests = 0;
    // Part of the capacity to use at once so that the requested gap is met.
    int targetRunning = 0;
    // Of the requests, those of this process that are newer than the counts from engines.
    int sentRecently = 0;

    bool operator==(const pool_load&) const = default;
};

// Parameters of poolLoad().
struct pool_load_input {
    std::string service;
    std::optional<engine_costs> costs;
    milliseconds longestGap { 0 };
    // Typical time from the start of a request to the end of its answer: it tells how many request
    // slots a server with a rate limit can fill.
    milliseconds typicalRunTime { 0 };
    instant now;
};

pool_load poolLoad(const pool_load_input&, const backend_directory&, const load_table&, const group_directory&, const server_backpressure&);

class upstream_choice {
public:
    // Returns the id of the server to send the request to; empty if there is none. Servers of closed
    // groups are used only if all groups are closed. Servers of a group whose passes are too long for
    // the caller, or that has no free slot for a request on time, are used only if there are no others.
    std::string choose(const upstream_input&, const backend_directory&, const load_table&, const group_directory&, const server_backpressure&, std::mt19937_64&) const;

private:
    struct candidate {
        std::string id;
        // Empty if not known.
        std::string group;
        double delay = 0;
        bool avoided = false;
        bool inOwnZone = false;
        // This process has a grant to send to it.
        bool granted = false;
        // As far as known, its group has free slots and short enough passes.
        bool timely = true;
    };

    static std::vector<candidate> candidates(const upstream_input&, const backend_directory&, const load_table&, const group_directory&, const server_backpressure&);
    // Drops the less suitable candidates as long as any other is left.
    static void prefer(std::vector<candidate>&, const upstream_input&, const group_directory&);
    static const candidate& bestOfFew(const std::vector<candidate>&, std::mt19937_64&);
};

} // namespace rampgap
