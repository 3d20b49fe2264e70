// Many entry VMs that choose among the ranks of one group by counts that are some hundred
// milliseconds old.
#pragma once

#include "policy/upstream_choice.h"

#include <deque>
#include <memory>
#include <queue>

namespace rampgap {

struct fleet_load {
    int entries = 149;
    int servers = 129;
    int places = 6;
    // Of all entry VMs together.
    double requestsPerSecond = 330;
    // Mean time of a request at a server; it varies as the lengths of answers do.
    double meanRunMs = 1'600;
    // The leader looks so often, and what it saw reaches entry VMs so much later.
    milliseconds lookPause { 200 };
    milliseconds lookAge { 100 };
    // Between two events, as callers accept it.
    milliseconds longestGap { 0 };
};

struct waits {
    // Share of requests that waited at their server for longer than a target allows, though
    // other servers had free places.
    double late = 0;
    // Share that found no place when they came.
    double queued = 0;
};

// Runs the load for `length` with the real choice; a fixed seed.
waits runFleet(const fleet_load&, milliseconds length, std::uint32_t seed);

} // namespace rampgap
