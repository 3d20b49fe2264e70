// Fault: the service that publishes the VM list came back from an older copy, and gave out its versions again. Processes
// that held version 6 took no list before its version had passed 6: new VMs were not asked, and those that had gone still were.
// A reader's log had no line between "version 6" and "version 7" of the list, with five versions published in between.

#include "discovery/vm_list.h"
#include "harness/test_fleet.h"

#include <doctest/doctest.h>

using namespace rampgap;
using namespace rampgap::test;

namespace {

// The list of the fleet's entry VMs and one more.
std::string listWith(test_fleet& fleet, const std::string& added, store_position position)
{
    vm_list list;
    list.epoch = position.epoch;
    list.version = position.revision;
    for (const std::string name : { "e1", "e2" })
        list.vms.push_back({ name, "lac", vm_role::entry, vm_state::live, fleet.entry(name).address(), fleet.entry(name).peerAddress() });
    list.vms.push_back({ added, "lac", vm_role::entry, vm_state::live, "127.0.0.1:9", "127.0.0.1:9" });
    return toJson(list);
}

bool allList(test_fleet& fleet, const std::string& name)
{
    return eventually([&] {
        for (const std::string entry : { "e1", "e2" }) {
            const auto status = get(fleet.entry(entry).address(), "/operator/status", operatorKey).body;
            if (status.find("\"name\":\"" + name + "\"") == std::string::npos)
                return false;
        }
        return true;
    });
}

} // namespace

TEST_CASE("the VM list of a restored service is in force everywhere, though its version is lower")
{
    test_fleet fleet;
    fleet.addBackend({ "a1", "lac", "assistant", 8, {} });
    fleet.addEntry("e1", "lac");
    fleet.addEntry("e2", "lac");
    fleet.startServing();
    post(fleet.platform().address(), "/v1/vms", listWith(fleet, "before", { 0, 6 }));
    REQUIRE(allList(fleet, "before"));
    post(fleet.platform().address(), "/v1/vms", listWith(fleet, "restored", { 1, 3 }));
    CHECK(allList(fleet, "restored"));
    post(fleet.platform().address(), "/v1/vms", listWith(fleet, "after", { 1, 6 }));
    CHECK(allList(fleet, "after"));
}
