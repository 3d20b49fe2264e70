// Command line of rampgap-bench.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace rampgap::bench {

struct bench_flags {
    std::string benchmark;
    // Further words: files of the model's commands.
    std::vector<std::string> files;
    std::uint64_t seed = 20261202;
    // Smaller runs for a quick look.
    bool quick = false;
    std::string plot;
    std::string programs;
    // Of the model's commands.
    std::string ways;
    std::string scenarios;
    std::uint64_t seeds = 20;
    bool json = false;
};

std::optional<int> parseBenchFlags(int argc, char** argv, bench_flags&);

// "machine=... cores=... seed=..." for the head of every output.
std::string describeRun(const bench_flags&);

} // namespace rampgap::bench
