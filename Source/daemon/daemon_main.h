// Shared by the daemons' main functions: flags, settings file, signals, the ready line.
#pragma once

#include "daemon/log.h"
#include "daemon/settings.h"
#include "daemon/stop_signal.h"

#include <functional>
#include <iostream>
#include <optional>
#include <string>
#include <vector>

namespace rampgap {

// Exit codes of all programs.
enum exit_code { exit_ok = 0,
    exit_failed = 1,
    exit_usage = 2 };

// Command-line flags of a daemon.
struct daemon_flags {
    std::string settingsFile;
    std::vector<setting_override> overrides;
    bool checkOnly = false;
};

// Parses the flags and carries out --help, --version and --reference. Returns an exit code if
// the program must exit at once.
std::optional<int> parseDaemonFlags(int argc, char** argv, const char* program, const char* purpose, daemon_flags&);

// Reads the settings file, if one is given, and applies the overrides to its text.
settings_result<std::string> readSettingsText(const daemon_flags&);

// Name, purpose and role of a daemon.
struct daemon_identity {
    const char* program;
    const char* purpose;
    const char* role;
};

// The main function of a daemon: reads flags and settings and calls `Server::start`; at a stop signal it
// calls the server's `leave`, which begins a graceful stop.
template <class Server, class Settings>
int runDaemon(int argc, char** argv, const daemon_identity&, settings_result<Settings> (*parse)(const std::string& text, const std::string& file));

// Prints "ready http=PORT peer=PORT", from which the parent process reads the ports.
void printReady(int httpPort, int peerPort);

// Runs the process until its io context has no more work, then exits without destroying gRPC objects.
[[noreturn]] void runUntilStopped(process_context&);

template <class Server, class Settings>
int runDaemon(int argc, char** argv, const daemon_identity& identity, settings_result<Settings> (*parse)(const std::string& text, const std::string& file))
{
    blockStopSignals();
    daemon_flags flags;
    if (const auto code = parseDaemonFlags(argc, argv, identity.program, identity.purpose, flags))
        return *code;
    const auto text = readSettingsText(flags);
    const auto settings = text ? parse(text.value(), flags.settingsFile) : settings_result<Settings>(text.error());
    if (!settings) {
        std::cerr << toString(settings.error()) << "\n";
        return exit_usage;
    }
    if (flags.checkOnly) {
        std::cout << "settings are valid\n";
        return exit_ok;
    }
    const process_settings& process = settings.value().process;
    initLogging(process.name);
    process_context context(process.name, process.zone, identity.role);
    context.onException([](std::string_view task, std::string_view reason) { logWarning("task_failed", "task=" + std::string(task) + " reason=\"" + std::string(reason) + "\""); });
    auto server = Server::start(context, settings.value());
    if (!server) {
        std::cerr << identity.program << ": " << server.error().message << "\n";
        return exit_failed;
    }
    onStopSignal(context.io(), [&] { server.value()->leave(); });
    printReady(server.value()->httpPort(), server.value()->peerPort());
    runUntilStopped(context);
}

} // namespace rampgap
