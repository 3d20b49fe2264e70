// The subcommands of rampgapctl; each returns an exit code.
#pragma once

#include "ctl/ctl_flags.h"
#include "daemon/http_client.h"

namespace rampgap::ctl {

// Runs the command that the flags name.
awaitable<int> runCommand(process_context&, http_client&, const ctl_flags&);

} // namespace rampgap::ctl
