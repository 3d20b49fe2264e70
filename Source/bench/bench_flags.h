// Command line of rampgap-bench.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace rampgap::bench {

struct bench_flags {
    std::string benchmark;
    std::uint64_t seed = 20261202;
    // Smaller runs for a quick look.
    bool quick = false;
    std::string plot;
    std::string programs;
};

std::optional<int> parseBenchFlags(int argc, char** argv, bench_flags&);

// "machine=... cores=... seed=..." for the head of every output.
std::string describeRun(const bench_flags&);

} // namespace rampgap::bench
