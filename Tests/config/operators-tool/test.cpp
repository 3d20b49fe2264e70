// rampgapctl from plan to publication, against a running fleet.

#include "harness/test_fleet.h"

#include <array>
#include <boost/json.hpp>
#include <cstdio>
#include <doctest/doctest.h>
#include <fstream>
#include <unistd.h>

using namespace rampgap::test;

namespace {

struct tool_run {
    int code = 0;
    std::string output;
};

tool_run run(const std::string& arguments)
{
    const std::string command = std::string(RAMPGAP_PROGRAMS) + "/rampgapctl " + arguments + " 2>&1";
    FILE* const pipe = popen(command.c_str(), "r");
    tool_run made;
    std::array<char, 4096> piece {};
    while (const auto count = fread(piece.data(), 1, piece.size(), pipe))
        made.output.append(piece.data(), count);
    made.code = WEXITSTATUS(pclose(pipe));
    return made;
}

} // namespace

TEST_CASE("plan, confirm, publish, wait, status and timeline")
{
    test_fleet fleet;
    fleet.addBackend({ "a1", "lac", "assistant", 8, {} });
    fleet.addBackend({ "a2", "ariana", "assistant", 8, {} });
    fleet.addEntry("e1", "lac");
    fleet.addEntry("e2", "ariana");
    fleet.startServing();
    const std::string folder = "/tmp/rampgap-test-" + std::to_string(getpid());
    REQUIRE(std::system(("mkdir -p " + folder).c_str()) == 0);
    const std::string to = " --entry " + fleet.entry("e2").address() + " --key " + operatorKey;

    const auto planned = run("drain a1 --output " + folder + "/plan.ini" + to);
    CHECK(planned.code == 0);
    CHECK(planned.output.find("~ [backend a1] draining: no -> yes") != std::string::npos);
    CHECK(planned.output.find("no backend server left in zone lac") != std::string::npos);
    CHECK(boost::json::parse(run("drain a1 --json" + to).output).at("changes").as_array().size() == 1);
    CHECK(fleet.revision(fleet.entry("e1").address()) == 1);

    const auto confirmed = run("confirm " + folder + "/plan.ini" + to);
    CHECK(confirmed.code == 0);
    CHECK(put(fleet.platform().address(), "/v1/declarations/2", confirmed.output).status == 200);
    CHECK(run("wait 2" + to).output.find("revision 2 is in force in 4 processes") != std::string::npos);
    CHECK(run("confirm " + folder + "/plan.ini" + to).output.find("plan again") != std::string::npos);
    CHECK(run("wait 9 --timeout-ms 300" + to).output.find("not in force in: ") != std::string::npos);

    const auto answer = test_client(fleet.entry("e1").address()).send(completion(smallKey, "assistant", "x", 1, false));
    const auto events = run("timeline --request " + answer.header("Rampgap-Request-Id") + to).output;
    const auto received = events.find("request_received");
    const auto sent = events.find("request_sent");
    const auto started = events.find("request_started");
    CHECK(received != std::string::npos);
    CHECK(received < sent);
    CHECK(sent < started);
    CHECK(started != std::string::npos);
    CHECK(run("status" + to).output.find("a2") != std::string::npos);
    CHECK(boost::json::parse(run("status --json" + to).output).as_array().size() == 4);

    std::ofstream(folder + "/bad.ini") << "[rules]\nid_life_ms = never\n";
    const auto bad = run("plan " + folder + "/bad.ini" + to);
    CHECK(bad.code == 2);
    CHECK(bad.output.find("bad.ini:2") != std::string::npos);
    CHECK(run("check " + folder + "/bad.ini").code == 2);
    CHECK(run("check " RAMPGAP_SOURCE "/Examples/agency.ini").code == 0);
    CHECK(run("status --entry " + fleet.entry("e1").address() + " --key wrong").code == 1);
    CHECK(run("nonsense").code == 2);
    CHECK(run("--help").code == 0);
    CHECK(std::system(("rm -r " + folder).c_str()) == 0);
}
