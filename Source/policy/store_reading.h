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

    bool operator==(const reading_settings&) const = default;
};

// The processes that read, by what this one knows: those of its own zone first.
std::vector<std::string> chosenReaders(const peer_table&, const reading_settings&);

// True if this process is to read the store now.
bool shouldRead(const peer_table&, std::optional<milliseconds> proofAge, const reading_settings&);

} // namespace rampgap
