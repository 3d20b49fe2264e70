// Guards against reference pages that differ from the options and metrics in the code.

#include "daemon/metrics.h"
#include "daemon/settings.h"

#include <doctest/doctest.h>
#include <fstream>
#include <sstream>

using namespace rampgap;

namespace {

std::string readPage(const std::string& name)
{
    std::ostringstream text;
    text << std::ifstream(std::string(RAMPGAP_SOURCE) + "/docs/reference/" + name).rdbuf();
    return text.str();
}

} // namespace

TEST_CASE("docs/reference/settings.md contains the table that the daemons print")
{
    CHECK(readPage("settings.md").find(optionReference()) != std::string::npos);
}

TEST_CASE("every documented option is known to a daemon")
{
    for (const auto& row : optionTable()) {
        const std::string section = row.section;
        const std::string text = "[process]\nname = x\nzone = z\nplatform = 127.0.0.1:1\n" + (section == "process" ? std::string() : "[" + section + "]\n") + row.key + " = ?\n";
        const auto entry = parseEntrySettings(text, "f");
        const auto agent = parseAgentSettings(text, "f");
        const std::string faults = (entry ? "" : toString(entry.error())) + (agent ? "" : toString(agent.error()));
        CHECK_MESSAGE(faults.find(std::string(row.key) + ": unknown key") == std::string::npos, row.key);
    }
}

TEST_CASE("docs/reference/metrics.md names every metric with its help")
{
    const std::string page = readPage("metrics.md");
    for (const auto& row : metricTable())
        CHECK_MESSAGE(page.find("`" + std::string(row.name) + "` | " + (row.isGauge ? "gauge" : "counter") + " | " + row.help) != std::string::npos, row.name);
}
