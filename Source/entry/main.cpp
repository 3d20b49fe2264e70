// rampgap-entry: the process of an entry VM.

#include "daemon/daemon_main.h"
#include "daemon/log.h"
#include "entry/entry_server.h"
#include "platform/platform_source.h"

#include <iostream>

int main(int argc, char** argv)
{
    using namespace rampgap;
    daemon_flags flags;
    if (const auto code = parseDaemonFlags(argc, argv, "rampgap-entry", "Takes requests from callers and carries them to backend servers.", flags))
        return *code;
    const auto text = readSettingsText(flags);
    const auto settings = text ? parseEntrySettings(text.value(), flags.settingsFile) : settings_result<entry_settings>(text.error());
    if (!settings) {
        std::cerr << toString(settings.error()) << "\n";
        return exit_usage;
    }
    if (flags.checkOnly) {
        std::cout << "settings are valid\n";
        return exit_ok;
    }
    initLogging(settings.value().process.name);
    process_context context(settings.value().process.name, settings.value().process.zone, "entry");
    auto server = entry_server::start(context, settings.value());
    if (!server) {
        std::cerr << "rampgap-entry: " << server.error().message << "\n";
        return exit_failed;
    }
    onStopSignal(context, [&] { server.value()->leave(); });
    printReady(server.value()->httpPort(), server.value()->peerPort());
    runToEnd(context);
}
