// rampgap-agent: the process in the slot of a backend server VM.

#include "agent/agent_server.h"
#include "daemon/daemon_main.h"
#include "daemon/log.h"
#include "platform/platform_source.h"

#include <iostream>

int main(int argc, char** argv)
{
    using namespace rampgap;
    daemon_flags flags;
    if (const auto code = parseDaemonFlags(argc, argv, "rampgap-agent", "Admits requests to the engine or service of its backend server.", flags))
        return *code;
    const auto text = readSettingsText(flags);
    const auto settings = text ? parseAgentSettings(text.value(), flags.settingsFile) : settings_result<agent_settings>(text.error());
    if (!settings) {
        std::cerr << toString(settings.error()) << "\n";
        return exit_usage;
    }
    if (flags.checkOnly) {
        std::cout << "settings are valid\n";
        return exit_ok;
    }
    initLogging(settings.value().process.name);
    process_context context(settings.value().process.name, settings.value().process.zone, "agent");
    auto server = agent_server::start(context, settings.value());
    if (!server) {
        std::cerr << "rampgap-agent: " << server.error().message << "\n";
        return exit_failed;
    }
    onStopSignal(context, [&] { server.value()->leave(); });
    printReady(server.value()->httpPort(), server.value()->peerPort());
    runToEnd(context);
}
