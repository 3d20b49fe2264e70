// Files of scenarios and ways: whole, or refused with file, line, key and mend.
#include "model/scenario.h"

#include <doctest/doctest.h>
#include <filesystem>
#include <fstream>
#include <unistd.h>

using namespace rampgap;
using namespace rampgap::model;

namespace {

// A file that goes with the test.
class temporary_file {
public:
    explicit temporary_file(const std::string& text)
        : m_path(std::filesystem::temp_directory_path() / ("rampgap-model-" + std::to_string(getpid()) + ".ini"))
    {
        std::ofstream(m_path) << text;
    }
    ~temporary_file() { std::filesystem::remove(m_path); }
    temporary_file(const temporary_file&) = delete;
    temporary_file& operator=(const temporary_file&) = delete;
    std::string path() const { return m_path.string(); }

private:
    std::filesystem::path m_path;
};

std::string refusalOf(const std::string& text)
{
    const temporary_file file(text);
    const auto read = scenario::read(file.path());
    return read ? "" : toString(read.error());
}

} // namespace

TEST_CASE("a scenario is read with its faults, and what is left out has its default")
{
    const temporary_file file("[fleet]\nentries = 7\ngroups = 2\n[fault cut]\nkind = zone_cut\nat_ms = 100\nfor_ms = 50\nwhere = 2\n");
    const auto read = scenario::read(file.path());
    REQUIRE(read);
    CHECK(read.value().entries == 7);
    CHECK(read.value().ranksPerGroup == 24);
    REQUIRE(read.value().faults.size() == 1);
    CHECK((read.value().faults.front().kind == fault_kind::zone_cut));
    CHECK(read.value().faults.front().length == milliseconds(50));
}

TEST_CASE("a wrong scenario is refused with its line, key and mend")
{
    CHECK(refusalOf("[fault cut]\nkind = flood\n").find(":2: [fault cut] kind: is no kind of fault") != std::string::npos);
    CHECK(refusalOf("[fleet]\nentires = 7\n").find(":2:") != std::string::npos);
    CHECK(refusalOf("[fleet]\nentries = many\n").find(":2: [fleet] entries") != std::string::npos);
    CHECK(refusalOf("[flet]\n").find("is no section of this file") != std::string::npos);
    CHECK(refusalOf("[fault far]\nkind = closure\nwhere = 9\n").find("count from 0") != std::string::npos);
    CHECK(refusalOf("[engine]\nexperts = 500\n").find("do not fit") != std::string::npos);
    const auto missing = scenario::read("/nowhere/scenario.ini");
    REQUIRE_FALSE(missing);
    CHECK(toString(missing.error()).find("/nowhere/scenario.ini") != std::string::npos);
}

TEST_CASE("ways are read, and wrong ones refused")
{
    const temporary_file file("[ways]\nlast_chance_nth = 3\nfirst_event = constant\nfirst_event_ms = 400\ngroup_reach = no\n");
    const auto read = ways::read(file.path());
    REQUIRE(read);
    CHECK(read.value().lastChanceNth == 3);
    CHECK((read.value().firstEvent == silence_way::constant));
    CHECK_FALSE(read.value().groupReach);
    const temporary_file wrong("[ways]\nfirst_event = often\n");
    CHECK_FALSE(ways::read(wrong.path()));
}

TEST_CASE("each scenario that comes with the project is read")
{
    int seen = 0;
    for (const char* folder : { "scenarios", "deployments" }) {
        for (const auto& file : std::filesystem::directory_iterator(std::string(RAMPGAP_SOURCE) + "/Examples/model/" + folder)) {
            CAPTURE(file.path().string());
            const auto read = scenario::read(file.path().string());
            CHECK((read ? "" : toString(read.error())) == "");
            ++seen;
        }
    }
    CHECK(seen >= 12);
}
