// Settings of the daemons: INI files with validated options, which command-line flags override.
#pragma once

#include "daemon/http_server.h"
#include "policy/configuration/ini_document.h"

#include <string>
#include <vector>

namespace rampgap {

// Options that every process has.
struct process_settings {
    std::string name;
    std::string zone;
    std::string listen;
    std::string peerListen;
    std::string platform;
    std::vector<std::string> seedPeers;
    std::string operatorKeyDigest;
    milliseconds exchangeInterval { 2'000 };
    milliseconds linger { 1'000 };
    bool faultSwitches = false;
    http_limits limits;

    bool operator==(const process_settings&) const = default;
};

struct entry_settings {
    process_settings process;
    std::string routing = "scored";

    bool operator==(const entry_settings&) const = default;
};

struct agent_settings {
    process_settings process;
    std::string engine;
    int maxQueued = 256;
    bool shedding = true;
    std::size_t ledgerIds = 65'536;
    std::size_t ledgerAnswerBytes = 16'777'216;
    // 0 switches rebalancing off.
    milliseconds rebalanceInterval { 60'000 };

    bool operator==(const agent_settings&) const = default;
};

template <class Settings>
using settings_result = boost::outcome_v2::checked<Settings, std::vector<input_error>>;

// One documented option; the reference page is generated from the table of these rows.
struct option_row {
    const char* section;
    const char* key;
    const char* unit;
    const char* defaultValue;
    const char* help;
};

const std::vector<option_row>& optionTable();
// The options as a Markdown table, for docs/reference/settings.md.
std::string optionReference();

// "section.key=value" from the command line.
using setting_override = std::string;

settings_result<entry_settings> parseEntrySettings(const std::string& text, const std::string& file);
settings_result<agent_settings> parseAgentSettings(const std::string& text, const std::string& file);

// Applies the overrides to the text: replaces or adds keys.
settings_result<std::string> applyOverrides(std::string text, const std::vector<setting_override>&);

} // namespace rampgap
