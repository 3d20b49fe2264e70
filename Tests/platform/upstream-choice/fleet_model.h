// Model of many entry VMs that choose among the ranks of one group by counts that are some hundred
// milliseconds old.
#pragma once

#include "policy/routing/upstream_choice.h"

#include <deque>
#include <memory>
#include <queue>

namespace rampgap {

struct fleet_load {
    int entries = 149;
    int servers = 129;
    int slots = 6;
    // Of all entry VMs together.
    double requestsPerSecond = 330;
    // Mean time of a request at a server; it varies as the lengths of answers do.
    double meanRunMs = 1'600;
    // The leader polls the ranks in this interval; its counts reach the entry VMs after this delay.
    milliseconds pollInterval { 200 };
    milliseconds pollDelay { 100 };
    // Longest pause between two events that callers accept.
    milliseconds longestGap { 0 };
};

struct wait_shares {
    // Share of requests that waited at their server for longer than the target allows, though
    // other servers had free slots.
    double late = 0;
    // Share that found no free slot on arrival.
    double queued = 0;
};

// Runs the load for `length` with the real upstream_choice and a fixed seed.
wait_shares runFleet(const fleet_load&, milliseconds length, std::uint32_t seed);

} // namespace rampgap
