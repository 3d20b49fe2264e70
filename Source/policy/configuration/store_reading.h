// Which entry VMs read the users' store, and which peer the others ask for the freshness of their copies.
#pragma once

#include "policy/membership/peer_table.h"

#include <optional>

namespace rampgap {

struct reading_settings {
    // Number of entry VMs of a zone that read.
    std::size_t readersPerZone = 1;
    // A standby whose copy was last confirmed longer ago than this reads by itself. A reader's own
    // confirmation may be two waits of its watch old (1.6 s).
    milliseconds maxFreshnessAge { 1'900 };
    // The readers of a zone are followed by this many standbys, and by as many again that begin to
    // read one `stage` later; all others begin two stages later.
    std::size_t standbysPerStage = 3;
    milliseconds stage { 250 };
    // A process that has just started leaves the reading to the seeds for `joinDelay` plus a random
    // part of `joinJitter`; if all seeds are gone, the first one that reads serves the others. A seed
    // reads as soon as it knows that its peers hold nothing, at the latest after `joinDelay`: it asks
    // them first because a restored store may have lost what they know.
    milliseconds joinDelay { 400 };
    milliseconds joinJitter { 800 };
    // Entry VMs for each freshness relay: an entry VM that the others of a large zone ask in place of the reader.
    std::size_t entriesPerRelay = 12;

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

// How long this process should wait at most between two readings that fail.
milliseconds longestReadingPause(const peer_table&, const reading_settings&);

// The peer that this process asks for its freshness: the reader of its zone, or a freshness relay in a
// larger zone. Empty for the reader itself, and if no entry VM of the zone is known.
std::string freshnessSource(const peer_table&, const reading_settings&);

} // namespace rampgap
