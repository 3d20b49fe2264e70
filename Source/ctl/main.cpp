// rampgapctl: the operators' tool.

#include "ctl/commands.h"
#include "ctl/ctl_flags.h"

#include <boost/asio/co_spawn.hpp>
#include <iostream>

int main(int argc, char** argv)
{
    using namespace rampgap;
    ctl::ctl_flags flags;
    if (const auto code = ctl::parseCtlFlags(argc, argv, flags))
        return *code;
    process_context context("rampgapctl", "", "operator");
    http_client client(context);
    int exitCode = 1;
    boost::asio::co_spawn(context.io(), ctl::runCommand(context, client, flags), [&](std::exception_ptr error, int code) {
        exitCode = error ? 1 : code;
        context.io().stop();
    });
    context.io().run();
    std::cout.flush();
    return exitCode;
}
