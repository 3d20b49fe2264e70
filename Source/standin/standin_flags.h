// Flags of the stand-ins.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace rampgap::standin {

struct standin_flags {
    std::string kind;
    std::string listen = "127.0.0.1:0";
    // Engine: time of one step, requests in one batch, cached prefixes.
    int stepMs = 5;
    int slots = 8;
    int prefillSteps = 2;
    int cachedPrefixes = 64;
    // Engines of a group in this one process, each on its own port.
    int ranks = 1;
    bool checksFencing = false;
};

// Parses the flags; an exit code if the program is to end at once.
std::optional<int> parseStandinFlags(int argc, char** argv, standin_flags&);

} // namespace rampgap::standin
