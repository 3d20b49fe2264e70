#include "bench/bench_flags.h"

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <getopt.h>
#include <iostream>
#include <thread>

namespace rampgap::bench {

namespace {

    void printHelp()
    {
        std::cout << "Usage: rampgap-bench hop|routing|overload|skew|config|control [options]\n"
                     "       rampgap-bench group SCENARIO [--ways FILE] [options]\n"
                     "       rampgap-bench compare WAYS WAYS --scenarios FOLDER [--seeds N] [options]\n\n"
                     "Prints figures as key=value lines.\n\n"
                     "  hop       added latency, throughput, memory and start-up of entry VM and agent\n"
                     "  routing   routing policies on both workloads, under lag, a slow engine and a cut zone\n"
                     "  overload  goodput at 1, 2 and 5 times the capacity, with and without shedding\n"
                     "  skew      expert rebalancing policies on drifting popularity\n"
                     "  config    time to in force, reads and bytes at growing fleets of processes\n"
                     "  control   slopes of decision cost, state and memory\n"
                     "  relay     processor time and memory of relayed event streams\n"
                     "  group     callers, entry VMs and expert groups of a scenario in virtual time\n"
                     "  compare   two ways of deciding on all scenarios of a folder, seeds in pairs\n\n"
                     "  -s, --seed N        seed of all random numbers (default 20261202)\n"
                     "  -q, --quick         smaller runs\n"
                     "  -p, --plot FILE     skew, group, compare: write a picture as SVG\n"
                     "  -w, --ways FILE     group: how to decide (default: as the daemons do)\n"
                     "  -d, --scenarios DIR compare: the scenarios, *.ini\n"
                     "  -n, --seeds N       compare: seeds from the first one on (default 20)\n"
                     "  -j, --json          group, compare: figures as JSON\n"
                     "  -h, --help          print this and exit\n"
                     "  -V, --version       print the version and exit\n\n"
                     "Exit codes: 0 done, 1 failed, 2 wrong flags.\n";
    }

    std::string processorName()
    {
        std::ifstream info("/proc/cpuinfo");
        for (std::string line; std::getline(info, line);) {
            if (line.starts_with("model name"))
                return line.substr(line.find(':') + 2);
        }
        return "unknown";
    }

} // namespace

std::optional<int> parseBenchFlags(int argc, char** argv, bench_flags& flags)
{
    static const option longOptions[] = {
        { "seed", required_argument, nullptr, 's' },
        { "quick", no_argument, nullptr, 'q' },
        { "plot", required_argument, nullptr, 'p' },
        { "ways", required_argument, nullptr, 'w' },
        { "scenarios", required_argument, nullptr, 'd' },
        { "seeds", required_argument, nullptr, 'n' },
        { "json", no_argument, nullptr, 'j' },
        { "help", no_argument, nullptr, 'h' },
        { "version", no_argument, nullptr, 'V' },
        { nullptr, 0, nullptr, 0 },
    };
    for (int given = 0; (given = getopt_long(argc, argv, "s:qp:w:d:n:jhV", longOptions, nullptr)) != -1;) {
        switch (given) {
        case 's':
            flags.seed = std::strtoull(optarg, nullptr, 10);
            break;
        case 'q':
            flags.quick = true;
            break;
        case 'p':
            flags.plot = optarg;
            break;
        case 'w':
            flags.ways = optarg;
            break;
        case 'd':
            flags.scenarios = optarg;
            break;
        case 'n':
            flags.seeds = std::strtoull(optarg, nullptr, 10);
            break;
        case 'j':
            flags.json = true;
            break;
        case 'h':
            printHelp();
            return 0;
        case 'V':
            std::cout << "rampgap-bench " << RAMPGAP_VERSION << "\n";
            return 0;
        default:
            return 2;
        }
    }
    if (optind >= argc) {
        std::cerr << "rampgap-bench: name a benchmark; try --help\n";
        return 2;
    }
    flags.benchmark = argv[optind];
    flags.files.assign(argv + optind + 1, argv + argc);
    const std::size_t filesWanted = flags.benchmark == "group" ? 1 : flags.benchmark == "compare" ? 2
                                                                                                  : 0;
    if (flags.files.size() != filesWanted) {
        std::cerr << "rampgap-bench: " << flags.benchmark << " takes " << filesWanted << " files, not " << flags.files.size() << "; try --help\n";
        return 2;
    }
    if (flags.seeds == 0) {
        std::cerr << "rampgap-bench: --seeds is not a number above 0; write how many seeds are run\n";
        return 2;
    }
    flags.programs = std::filesystem::read_symlink("/proc/self/exe").parent_path().string();
    return std::nullopt;
}

std::string describeRun(const bench_flags& flags)
{
    return "benchmark=" + flags.benchmark + " seed=" + std::to_string(flags.seed) + " cores=" + std::to_string(std::thread::hardware_concurrency()) + " processor=\"" + processorName() + "\"";
}

} // namespace rampgap::bench
