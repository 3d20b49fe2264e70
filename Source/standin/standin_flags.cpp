#include "standin/standin_flags.h"

#include <cstdlib>
#include <getopt.h>
#include <iostream>

namespace rampgap::standin {

namespace {

    void printHelp()
    {
        std::cout << "Usage: rampgap-standin platform|engine|service [--listen IP:PORT] [options]\n\n"
                     "Small fakes of what rampgap meets outside, for tests and the demo.\n\n"
                     "  -l, --listen IP:PORT   address; port 0 asks the kernel (default 127.0.0.1:0)\n"
                     "      --step-ms N        engine: time of one step (default 5); 0: a service answers at once\n"
                     "      --slots N          engine: requests in one batch (default 8)\n"
                     "      --prefill-steps N  engine: steps before the first token without a cached prefix (default 2)\n"
                     "      --cache N          engine: cached prefixes (default 64)\n"
                     "      --ranks N          engine: ranks of one group, a port each (default 1)\n"
                     "      --checks-fencing   engine: refuses orders with an old fencing number\n"
                     "  -h, --help             print this and exit\n"
                     "  -V, --version          print the version and exit\n\n"
                     "Faults are switched at run time by POST /standin/faults?name=value.\n"
                     "Exit codes: 0 done, 1 failed, 2 wrong flags.\n";
    }

    enum flag_id { flag_step = 256,
        flag_slots,
        flag_prefill,
        flag_cache,
        flag_ranks,
        flag_fencing };

} // namespace

std::optional<int> parseStandinFlags(int argc, char** argv, standin_flags& flags)
{
    static const option longOptions[] = {
        { "listen", required_argument, nullptr, 'l' },
        { "step-ms", required_argument, nullptr, flag_step },
        { "slots", required_argument, nullptr, flag_slots },
        { "prefill-steps", required_argument, nullptr, flag_prefill },
        { "cache", required_argument, nullptr, flag_cache },
        { "ranks", required_argument, nullptr, flag_ranks },
        { "checks-fencing", no_argument, nullptr, flag_fencing },
        { "help", no_argument, nullptr, 'h' },
        { "version", no_argument, nullptr, 'V' },
        { nullptr, 0, nullptr, 0 },
    };
    for (int given = 0; (given = getopt_long(argc, argv, "l:hV", longOptions, nullptr)) != -1;) {
        switch (given) {
        case 'l':
            flags.listen = optarg;
            break;
        case flag_step:
            flags.stepMs = std::atoi(optarg);
            break;
        case flag_slots:
            flags.slots = std::atoi(optarg);
            break;
        case flag_prefill:
            flags.prefillSteps = std::atoi(optarg);
            break;
        case flag_cache:
            flags.cachedPrefixes = std::atoi(optarg);
            break;
        case flag_ranks:
            flags.ranks = std::atoi(optarg);
            break;
        case flag_fencing:
            flags.checksFencing = true;
            break;
        case 'h':
            printHelp();
            return 0;
        case 'V':
            std::cout << "rampgap-standin " << RAMPGAP_VERSION << "\n";
            return 0;
        default:
            return 2;
        }
    }
    if (optind < argc)
        flags.kind = argv[optind];
    const bool known = flags.kind == "platform" || flags.kind == "engine" || flags.kind == "service";
    if (!known || flags.stepMs < 0 || flags.slots < 1 || flags.ranks < 1 || flags.prefillSteps < 0) {
        std::cerr << "rampgap-standin: name one of platform, engine, service and positive numbers; try --help\n";
        return 2;
    }
    return std::nullopt;
}

} // namespace rampgap::standin
