// rampgap-agent: the process in the slot of a backend server VM.

#include "agent/agent_server.h"
#include "daemon/daemon_main.h"
#include "discovery/platform_source.h"

int main(int argc, char** argv)
{
    using namespace rampgap;
    const daemon_identity identity { "rampgap-agent", "Admits requests to the engine or service of its backend server.", "agent" };
    return runDaemon<agent_server, agent_settings>(argc, argv, identity, parseAgentSettings);
}
