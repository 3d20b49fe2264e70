#include "discovery/vm_list.h"
#include "discovery/json_reading.h"

#include <boost/json.hpp>

namespace rampgap {

namespace json = boost::json;

boost::outcome_v2::checked<vm_list, std::string> parseVmList(const std::string& text)
{
    boost::system::error_code error;
    const json::value parsed = json::parse(text, error);
    if (error || !parsed.is_object())
        return std::string("the VM list is not a JSON object");
    const json::object& object = parsed.get_object();
    const json::value* version = object.if_contains("version");
    const json::value* vms = object.if_contains("vms");
    if (!version || !version->is_number() || !vms || !vms->is_array())
        return std::string("the VM list has no version or no vms");
    vm_list list;
    list.version = version->to_number<std::uint64_t>(error);
    if (const json::value* epoch = object.if_contains("epoch"); epoch && epoch->is_number())
        list.epoch = epoch->to_number<store_epoch>(error);
    if (error)
        return std::string("version or epoch of the VM list is not a whole number");
    for (const json::value& item : vms->get_array()) {
        if (!item.is_object())
            return std::string("an entry of the VM list is not an object");
        const json::object& vm = item.get_object();
        const vm_role role = textIn(vm, "role") == "agent" ? vm_role::agent : vm_role::entry;
        const vm_state state = textIn(vm, "state") == "leaving" ? vm_state::leaving : vm_state::live;
        list.vms.push_back({ textIn(vm, "name"), textIn(vm, "zone"), role, state, textIn(vm, "address"), textIn(vm, "peer_address") });
    }
    return list;
}

std::string toJson(const vm_list& list)
{
    json::array vms;
    for (const auto& vm : list.vms) {
        vms.push_back(json::object {
            { "name", vm.name },
            { "zone", vm.zone },
            { "role", vm.role == vm_role::agent ? "agent" : "entry" },
            { "state", vm.state == vm_state::leaving ? "leaving" : "live" },
            { "address", vm.address },
            { "peer_address", vm.peerAddress },
        });
    }
    return json::serialize(json::object { { "epoch", list.epoch }, { "version", list.version }, { "vms", std::move(vms) } });
}

} // namespace rampgap
