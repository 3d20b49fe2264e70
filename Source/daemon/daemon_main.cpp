#include "daemon/daemon_main.h"

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <getopt.h>
#include <iostream>
#include <memory>
#include <sstream>

namespace rampgap {

namespace {

    void printHelp(const char* program, const char* purpose)
    {
        std::cout << "Usage: " << program << " --settings FILE [--set SECTION.KEY=VALUE]... [--check]\n\n"
                  << purpose << "\n\n"
                  << "  -s, --settings FILE       settings in INI form\n"
                  << "  -S, --set SECTION.KEY=VALUE  override one setting\n"
                  << "  -c, --check               check the settings and exit\n"
                  << "      --reference           print all settings as a table and exit\n"
                  << "  -h, --help                print this and exit\n"
                  << "  -V, --version             print the version and exit\n\n"
                  << "Exit codes: 0 done, 1 failed, 2 wrong flags or settings.\n";
    }

} // namespace

std::optional<int> parseDaemonFlags(int argc, char** argv, const char* program, const char* purpose, daemon_flags& flags)
{
    static const option longOptions[] = {
        { "settings", required_argument, nullptr, 's' },
        { "set", required_argument, nullptr, 'S' },
        { "check", no_argument, nullptr, 'c' },
        { "reference", no_argument, nullptr, 'r' },
        { "help", no_argument, nullptr, 'h' },
        { "version", no_argument, nullptr, 'V' },
        { nullptr, 0, nullptr, 0 },
    };
    for (int flag = 0; (flag = getopt_long(argc, argv, "s:S:chV", longOptions, nullptr)) != -1;) {
        switch (flag) {
        case 's':
            flags.settingsFile = optarg;
            break;
        case 'S':
            flags.overrides.emplace_back(optarg);
            break;
        case 'c':
            flags.checkOnly = true;
            break;
        case 'r':
            std::cout << optionReference();
            return exit_ok;
        case 'h':
            printHelp(program, purpose);
            return exit_ok;
        case 'V':
            std::cout << program << " " << RAMPGAP_VERSION << "\n";
            return exit_ok;
        default:
            std::cerr << "Try '" << program << " --help'.\n";
            return exit_usage;
        }
    }
    if (optind < argc) {
        std::cerr << program << ": unexpected argument '" << argv[optind] << "'; try --help\n";
        return exit_usage;
    }
    return std::nullopt;
}

settings_result<std::string> readSettingsText(const daemon_flags& flags)
{
    std::string text;
    if (!flags.settingsFile.empty()) {
        const std::ifstream file(flags.settingsFile);
        if (!file)
            return std::vector<input_error> { { flags.settingsFile, 0, "", "cannot be read", "name an INI file with --settings" } };
        std::ostringstream buffer;
        buffer << file.rdbuf();
        text = buffer.str();
    }
    if (flags.overrides.empty())
        return text;
    return applyOverrides(std::move(text), flags.overrides);
}

void printReady(int httpPort, int peerPort)
{
    std::cout << "ready http=" << httpPort << " peer=" << peerPort << std::endl;
}

void runUntilStopped(process_context& context)
{
    // An exception in a handler that is no task ends that handler alone, not the process.
    for (bool stopped = false; !stopped;) {
        try {
            context.io().run();
            stopped = true;
        } catch (const std::exception& error) {
            context.reportException("handler", error.what());
        }
    }
    std::cout.flush();
    std::fflush(nullptr);
    // gRPC's threads may still be in calls. The process keeps no state on disk, so it exits without
    // running destructors.
    std::_Exit(exit_ok);
}

} // namespace rampgap
