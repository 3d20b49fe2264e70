#include "ctl/ctl_flags.h"

#include <algorithm>
#include <cstdlib>
#include <getopt.h>
#include <iostream>

namespace rampgap::ctl {

namespace {

    std::string environment(const char* name)
    {
        const char* const value = std::getenv(name);
        return value ? value : "";
    }

    void printHelp()
    {
        std::cout << "Usage: rampgapctl COMMAND [ARGUMENT]... [--entry IP:PORT] [--key KEY]\n\nCommands:\n";
        for (const auto& row : commandTable())
            std::cout << "  " << row.name << " " << row.arguments << "\n      " << row.help << "\n";
        std::cout << "\nOptions:\n"
                     "  -e, --entry IP:PORT   any entry VM (default: $RAMPGAP_ENTRY)\n"
                     "  -k, --key KEY         the operators' key (default: $RAMPGAP_KEY)\n"
                     "  -o, --output FILE     write the plan or declaration there\n"
                     "  -r, --request ID      timeline: only events of this request\n"
                     "  -j, --json            print JSON\n"
                     "  -w, --watch           status: again each second until stopped\n"
                     "  -t, --timeout-ms N    wait: give up after this (default 30000)\n"
                     "  -h, --help            print this and exit\n"
                     "  -V, --version         print the version and exit\n\n"
                     "Exit codes: 0 done, 1 failed or refused, 2 wrong flags or input.\n";
    }

    void printCommandHelp(const std::string& name)
    {
        for (const auto& row : commandTable()) {
            if (row.name == name)
                std::cout << "Usage: rampgapctl " << row.name << " " << row.arguments << "\n\n  " << row.help << "\n\nSee 'rampgapctl --help' for the options.\n";
        }
    }

} // namespace

const std::vector<command_row>& commandTable()
{
    static const std::vector<command_row> table {
        { "check", "FILE", "Checks a declaration or intent: file, line, key and mend of each fault." },
        { "plan", "INTENT", "Shows what an intent would change and cost; changes nothing." },
        { "confirm", "PLAN", "Prints the declaration to publish for a plan that --output wrote." },
        { "drain", "BACKEND", "A plan that drains one backend server." },
        { "wait", "REVISION", "Waits until every live process has the revision in force; names those which do not." },
        { "status", "", "Revision, age and source of each process, and what was refused." },
        { "timeline", "", "The events of all processes in causal order." },
        { "digest", "KEY", "The digest of a key, for a declaration or the settings." },
        { "completion", "", "A bash completion script." },
    };
    return table;
}

std::optional<int> parseCtlFlags(int argc, char** argv, ctl_flags& flags)
{
    static const option longOptions[] = {
        { "entry", required_argument, nullptr, 'e' },
        { "key", required_argument, nullptr, 'k' },
        { "output", required_argument, nullptr, 'o' },
        { "request", required_argument, nullptr, 'r' },
        { "timeout-ms", required_argument, nullptr, 't' },
        { "json", no_argument, nullptr, 'j' },
        { "watch", no_argument, nullptr, 'w' },
        { "help", no_argument, nullptr, 'h' },
        { "version", no_argument, nullptr, 'V' },
        { nullptr, 0, nullptr, 0 },
    };
    flags.entry = environment("RAMPGAP_ENTRY");
    flags.key = environment("RAMPGAP_KEY");
    bool help = false;
    for (int given = 0; (given = getopt_long(argc, argv, "e:k:o:r:t:jwhV", longOptions, nullptr)) != -1;) {
        switch (given) {
        case 'e':
            flags.entry = optarg;
            break;
        case 'k':
            flags.key = optarg;
            break;
        case 'o':
            flags.output = optarg;
            break;
        case 'r':
            flags.request = optarg;
            break;
        case 't':
            flags.timeoutMs = std::atoi(optarg);
            break;
        case 'j':
            flags.json = true;
            break;
        case 'w':
            flags.watch = true;
            break;
        case 'h':
            help = true;
            break;
        case 'V':
            std::cout << "rampgapctl " << RAMPGAP_VERSION << "\n";
            return 0;
        default:
            std::cerr << "Try 'rampgapctl --help'.\n";
            return 2;
        }
    }
    if (optind < argc)
        flags.command = argv[optind++];
    for (; optind < argc; ++optind)
        flags.arguments.emplace_back(argv[optind]);
    if (help) {
        flags.command.empty() ? printHelp() : printCommandHelp(flags.command);
        return 0;
    }
    const auto& table = commandTable();
    const auto row = std::find_if(table.begin(), table.end(), [&](const command_row& known) { return known.name == flags.command; });
    if (row == table.end()) {
        std::cerr << "rampgapctl: " << (flags.command.empty() ? "no command" : "no command '" + flags.command + "'") << "; try --help\n";
        return 2;
    }
    const std::size_t wanted = *row->arguments ? 1 : 0;
    if (flags.arguments.size() != wanted) {
        std::cerr << "rampgapctl: " << row->name << " takes " << (wanted ? row->arguments : "no argument") << "; try 'rampgapctl " << row->name << " --help'\n";
        return 2;
    }
    return std::nullopt;
}

} // namespace rampgap::ctl
