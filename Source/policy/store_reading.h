// Which entry VMs read the users' store; the others get its content from these.
#pragma once

#include "policy/peer_table.h"

#include <optional>

namespace rampgap {

struct reading_settings {
    // Number of entry VMs of a zone that read.
    std::size_t readersPerZone = 1;
    // A process whose copy was last confirmed longer ago than this reads by itself, chosen or not.
    // A reader's own confirmation may be two waits of its watch old (1.6 s).
    milliseconds maxFreshnessAge { 1'900 };
    // A process that has just started leaves the reading to the seeds for `joinDelay` plus a random
    // part of `joinJitter`; if all seeds are gone, the first one that reads serves the others. A seed
    // reads as soon as it knows that its peers hold nothing, at the latest after `joinDelay`: it asks
    // them first because a restored store may have lost what they know.
    milliseconds joinDelay { 400 };
    milliseconds joinJitter { 800 };

    bool operator==(const reading_settings&) const = default;
};

// A process that holds nothing yet.
struct joining_process {
    // Other processes contact it when they start.
    bool isSeed = false;
    milliseconds sinceStart { 0 };
    // Random, from 0 to 1.
    double draw = 0;
    // All other seeds answered that they hold nothing either.
    bool peersEmpty = false;
};

// True if a process that has just started should read the store now. Load pattern: all of 149 entry
// VMs start at the same moment; to read everything takes each of them 6 to 8 billed calls.
bool shouldReadToJoin(const joining_process&, const reading_settings&);

// The processes that read, as far as this one knows: those of its own zone first.
std::vector<std::string> chosenReaders(const peer_table&, const reading_settings&);

// True if this process is one of them.
bool isReader(const peer_table&, const reading_settings&);

// True if this process should read the store now.
bool shouldRead(const peer_table&, std::optional<milliseconds> freshnessAge, const reading_settings&);

} // namespace rampgap
