// Command line of rampgapctl.
#pragma once

#include <optional>
#include <string>
#include <vector>

namespace rampgap::ctl {

struct ctl_flags {
    std::string command;
    std::vector<std::string> arguments;
    std::string entry;
    std::string key;
    std::string output;
    std::string request;
    bool json = false;
    bool watch = false;
    int timeoutMs = 30'000;
};

// One subcommand, for the help, the completion and the dispatch.
struct command_row {
    const char* name;
    const char* arguments;
    const char* help;
};

const std::vector<command_row>& commandTable();

// Parses the flags; an exit code if the program is to end at once. The entry VM's address
// and the operators' key may come from RAMPGAP_ENTRY and RAMPGAP_KEY.
std::optional<int> parseCtlFlags(int argc, char** argv, ctl_flags&);

} // namespace rampgap::ctl
