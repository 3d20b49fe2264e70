#include "daemon/settings.h"

#include "policy/configuration/section_reader.h"
#include <algorithm>
#include <sstream>

namespace rampgap {

namespace {

    constexpr number_range byteRange { 1'024, 1'073'741'824, "bytes" };
    constexpr number_range connectionRange { 1, 1'000'000, "connections" };
    constexpr number_range timeRange { 1, 86'400'000, "milliseconds" };
    constexpr number_range lingerRange { 0, 600'000, "milliseconds" };
    constexpr number_range intervalRange { 0, 86'400'000, "milliseconds" };
    constexpr number_range queueRange { 0, 1'000'000, "requests" };
    constexpr number_range idRange { 16, 100'000'000, "ids" };

    process_settings readProcess(section_reader& reader)
    {
        process_settings settings;
        settings.name = reader.requiredText("name");
        settings.zone = reader.requiredText("zone");
        settings.listen = reader.address("listen", "127.0.0.1:0", true);
        settings.peerListen = reader.address("peer_listen", "127.0.0.1:0", true);
        settings.platform = reader.address("platform", "", false);
        settings.seedPeers = reader.list("seed_peers");
        settings.operatorKeyDigest = reader.text("operator_key_digest", "");
        settings.exchangeInterval = milliseconds(reader.number("exchange_interval_ms", settings.exchangeInterval.count(), timeRange));
        settings.linger = milliseconds(reader.number("linger_ms", settings.linger.count(), lingerRange));
        settings.faultSwitches = reader.flag("fault_switches", false);
        return settings;
    }

    http_limits readLimits(section_reader& reader)
    {
        http_limits limits;
        limits.maxHeaderBytes = static_cast<std::uint32_t>(reader.number("max_header_bytes", limits.maxHeaderBytes, byteRange));
        limits.maxBodyBytes = static_cast<std::uint64_t>(reader.number("max_body_bytes", static_cast<std::int64_t>(limits.maxBodyBytes), byteRange));
        limits.maxConnections = static_cast<int>(reader.number("max_connections", limits.maxConnections, connectionRange));
        limits.idleTimeout = milliseconds(reader.number("idle_timeout_ms", limits.idleTimeout.count(), timeRange));
        limits.writeTimeout = milliseconds(reader.number("write_timeout_ms", limits.writeTimeout.count(), timeRange));
        return limits;
    }

    // Reads the sections that all daemons share; `readOwnSection` reads the daemon's own section.
    template <class Settings, class OwnSectionReader>
    settings_result<Settings> parseSettings(const std::string& text, const std::string& file, std::string_view ownSection, OwnSectionReader readOwnSection)
    {
        auto parsed = ini_document::parse(text, file);
        if (!parsed)
            return parsed.error();
        const ini_document& document = parsed.value();
        std::vector<input_error> errors;
        Settings settings;
        http_limits limits;
        if (!document.find("process"))
            errors.push_back({ file, 0, "[process]", "missing section", "add [process] with name, zone, listen and platform" });
        for (const auto& section : document.sections()) {
            section_reader reader(document, section, errors);
            if (section.name == "process")
                settings.process = readProcess(reader);
            else if (section.name == "limits")
                limits = readLimits(reader);
            else if (section.name == ownSection)
                readOwnSection(reader, settings);
            else {
                errors.push_back({ file, section.line, "[" + section.name + "]", "unknown section", "use [process], [limits] or [" + std::string(ownSection) + "]" });
                continue;
            }
            reader.rejectUnknown();
        }
        if (!errors.empty())
            return errors;
        settings.process.limits = limits;
        return settings;
    }

} // namespace

const std::vector<option_row>& optionTable()
{
    static const std::vector<option_row> table {
        { "process", "name", "text", "required", "Name of this process, unique in the fleet; an agent's is its backend's name" },
        { "process", "zone", "text", "required", "Availability zone of this VM" },
        { "process", "listen", "IP:port", "127.0.0.1:0", "Address for HTTP; port 0 asks the kernel for one" },
        { "process", "peer_listen", "IP:port", "127.0.0.1:0", "Address for messages of other rampgap processes" },
        { "process", "platform", "IP:port", "required", "Address of the configuration service" },
        { "process", "seed_peers", "list of IP:port", "", "Processes to ask when the configuration service is down at the start" },
        { "process", "operator_key_digest", "SHA-256", "", "Digest of the operators' key; empty switches the operators' interface off" },
        { "process", "exchange_interval_ms", "milliseconds", "2000", "Time between two exchanges of configuration with a random process" },
        { "process", "linger_ms", "milliseconds", "1000", "On a planned stop, how long requests are still answered or refused before the process ends" },
        { "process", "fault_switches", "yes/no", "no", "Lets an operator cut connections, for tests" },
        { "limits", "max_header_bytes", "bytes", "16384", "Largest header block of a request" },
        { "limits", "max_body_bytes", "bytes", "1048576", "Largest body of a request; larger ones get 413" },
        { "limits", "max_connections", "connections", "4096", "Open connections; more are closed at once" },
        { "limits", "idle_timeout_ms", "milliseconds", "60000", "How long a connection may stay without a whole request" },
        { "limits", "write_timeout_ms", "milliseconds", "30000", "How long a caller may take to read a piece of an answer" },
        { "entry", "routing", "name", "scored", "Routing policy: scored, round_robin, least_outstanding, random_two or prefix_affinity" },
        { "agent", "engine", "IP:port", "required", "Address of the backend server's engine or service" },
        { "agent", "max_queued", "requests", "256", "Requests that may wait for a slot" },
        { "agent", "shedding", "yes/no", "yes", "Refuse at once what the predicted wait would make late" },
        { "agent", "ledger_ids", "ids", "65536", "Ids of requests that may run at most once, kept in memory" },
        { "agent", "rebalance_interval_ms", "milliseconds", "60000", "Time between two decisions on a group's expert map; 0 switches them off" },
        { "agent", "ledger_answer_bytes", "bytes", "16777216", "Bytes of finished answers kept for repeated ids" },
    };
    return table;
}

std::string optionReference()
{
    std::ostringstream out;
    out << "| section | key | unit | default | meaning |\n| --- | --- | --- | --- | --- |\n";
    for (const auto& row : optionTable())
        out << "| " << row.section << " | `" << row.key << "` | " << row.unit << " | " << row.defaultValue << " | " << row.help << " |\n";
    return out.str();
}

settings_result<entry_settings> parseEntrySettings(const std::string& text, const std::string& file)
{
    return parseSettings<entry_settings>(text, file, "entry", [](section_reader& reader, entry_settings& settings) {
        settings.routing = reader.text("routing", settings.routing);
        static const std::vector<std::string> names { "scored", "round_robin", "least_outstanding", "random_two", "prefix_affinity" };
        if (std::find(names.begin(), names.end(), settings.routing) == names.end())
            reader.reject("routing", "no policy named '" + settings.routing + "'", "use scored, round_robin, least_outstanding, random_two or prefix_affinity");
    });
}

settings_result<agent_settings> parseAgentSettings(const std::string& text, const std::string& file)
{
    return parseSettings<agent_settings>(text, file, "agent", [](section_reader& reader, agent_settings& settings) {
        settings.engine = reader.address("engine", "", false);
        settings.maxQueued = static_cast<int>(reader.number("max_queued", settings.maxQueued, queueRange));
        settings.shedding = reader.flag("shedding", true);
        settings.rebalanceInterval = milliseconds(reader.number("rebalance_interval_ms", settings.rebalanceInterval.count(), intervalRange));
        settings.ledgerIds = static_cast<std::size_t>(reader.number("ledger_ids", static_cast<std::int64_t>(settings.ledgerIds), idRange));
        settings.ledgerAnswerBytes = static_cast<std::size_t>(reader.number("ledger_answer_bytes", static_cast<std::int64_t>(settings.ledgerAnswerBytes), byteRange));
    });
}

settings_result<std::string> applyOverrides(std::string text, const std::vector<setting_override>& overrides)
{
    auto parsed = ini_document::parse(text, "settings");
    if (!parsed)
        return parsed.error();
    std::vector<ini_section> sections = parsed.value().sections();
    for (const auto& assignment : overrides) {
        const auto dot = assignment.find('.');
        const auto equals = assignment.find('=');
        if (dot == std::string::npos || equals == std::string::npos || dot > equals)
            return std::vector<input_error> { { "command line", 0, assignment, "not an override", "write --set section.key=value" } };
        const std::string section = assignment.substr(0, dot);
        const std::string key = assignment.substr(dot + 1, equals - dot - 1);
        auto found = std::find_if(sections.begin(), sections.end(), [&](const ini_section& s) { return s.name == section; });
        if (found == sections.end())
            found = sections.insert(sections.end(), ini_section { section, 0, {} });
        std::erase_if(found->entries, [&](const ini_entry& entry) { return entry.key == key; });
        found->entries.push_back({ key, assignment.substr(equals + 1), 0 });
    }
    std::ostringstream out;
    for (const auto& section : sections) {
        out << "[" << section.name << "]\n";
        for (const auto& entry : section.entries)
            out << entry.key << " = " << entry.value << "\n";
    }
    return out.str();
}

} // namespace rampgap
