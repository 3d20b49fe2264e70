// What the daemons' main functions share: flags, settings file, signals, the ready line.
#pragma once

#include "daemon/settings.h"

#include <functional>
#include <string>
#include <vector>

namespace rampgap {

// Exit codes of all programs.
enum exit_code { exit_ok = 0,
    exit_failed = 1,
    exit_usage = 2 };

// Flags of a daemon.
struct daemon_flags {
    std::string settingsFile;
    std::vector<setting_override> overrides;
    bool checkOnly = false;
};

// Parses the flags; handles --help, --version and --reference itself. Returns an exit
// code if the program is to end at once.
std::optional<int> parseDaemonFlags(int argc, char** argv, const char* program, const char* purpose, daemon_flags&);

// Reads the settings text with the overrides applied.
settings_result<std::string> readSettingsText(const daemon_flags&);

// Prints the line that tells a starter the ports: "ready http=PORT peer=PORT".
void printReady(int httpPort, int peerPort);

// Calls `action` on the process's thread at the first SIGTERM or SIGINT.
void onStopSignal(process_context&, std::function<void()> action);

// Runs the process until its io context ends, then leaves without unwinding gRPC.
[[noreturn]] void runToEnd(process_context&);

} // namespace rampgap
