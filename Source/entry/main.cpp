// rampgap-entry: the process of an entry VM.

#include "daemon/daemon_main.h"
#include "discovery/platform_source.h"
#include "entry/entry_server.h"

int main(int argc, char** argv)
{
    using namespace rampgap;
    const daemon_identity identity { "rampgap-entry", "Takes requests from callers and carries them to backend servers.", "entry" };
    return runDaemon<entry_server, entry_settings>(argc, argv, identity, parseEntrySettings);
}
