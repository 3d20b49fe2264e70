// rampgap-standin: small fakes of what rampgap meets outside.

#include "daemon/daemon_main.h"
#include "daemon/log.h"
#include "standin/engine_standin.h"
#include "standin/group_standin.h"
#include "standin/platform_standin.h"

#include <iostream>

namespace {

using namespace rampgap;
using namespace rampgap::standin;

int serve(process_context& context, http_handler& handler, const standin_flags& flags)
{
    http_limits limits;
    limits.maxBodyBytes = 4'194'304;
    auto server = http_server::listen(context, flags.listen, limits, handler);
    if (!server) {
        std::cerr << "rampgap-standin: " << server.error().message << "\n";
        return exit_failed;
    }
    onStopSignal(context.io(), [&] { context.io().stop(); });
    printReady(server.value()->port(), 0);
    runUntilStopped(context);
}

} // namespace

int main(int argc, char** argv)
{
    blockStopSignals();
    standin_flags flags;
    if (const auto code = parseStandinFlags(argc, argv, flags))
        return *code;
    initLogging("standin-" + flags.kind);
    process_context context("standin-" + flags.kind, "none", "standin");
    if (flags.kind == "platform") {
        platform_standin platform(context);
        return serve(context, platform, flags);
    }
    if (flags.ranks > 1) {
        group_standin group(context, flags);
        return group.serve();
    }
    engine_standin engine(context, flags);
    engine.start();
    return serve(context, engine, flags);
}
