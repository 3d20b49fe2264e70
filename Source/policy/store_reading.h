// Which entry VMs read the users' store; the others live on their readings.
#pragma once

#include "policy/peer_table.h"

#include <optional>

namespace rampgap {

struct reading_settings {
    // Entry VMs of a zone that read.
    std::size_t readersPerZone = 1;
    // Whoever has no newer proof than this reads by itself, whoever was chosen.
    // A reader's own proof is up to two waits of its watch old (1.6 s).
    milliseconds oldestProof { 1'900 };
    // A process that has just started leaves the reading to the seeds for so long at the least,
    // and the longer the higher its draw: the first of those whose seeds are all gone serves
    // the others. A seed reads as soon as it knows that its peers hold nothing, or after as long:
    // a restored store may have forgotten what they know.
    milliseconds joinPatience { 400 };
    milliseconds joinSpread { 800 };

    bool operator==(const reading_settings&) const = default;
};

// A process that holds nothing yet.
struct joining_process {
    // Others ask it at their start.
    bool isSeed = false;
    milliseconds sinceStart { 0 };
    // Random, from 0 to 1.
    double draw = 0;
    // All other seeds answered that they hold nothing either.
    bool peersEmpty = false;
};

// True if a process that has just started is to read the store now. Load pattern: all of 149
// entry VMs start at one moment; each reading everything took 6 to 8 priced calls.
bool shouldReadToJoin(const joining_process&, const reading_settings&);

// The processes that read, by what this one knows: those of its own zone first.
std::vector<std::string> chosenReaders(const peer_table&, const reading_settings&);

// True if this process is one of them.
bool isReader(const peer_table&, const reading_settings&);

// True if this process is to read the store now.
bool shouldRead(const peer_table&, std::optional<milliseconds> proofAge, const reading_settings&);

} // namespace rampgap
