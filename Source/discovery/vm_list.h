// The platform's list of VMs. It may be out of date and is only a hint.
#pragma once

#include "policy/configuration/store_position.h"

#include <boost/outcome.hpp>
#include <cstdint>
#include <string>
#include <vector>

namespace rampgap {

enum class vm_role { entry,
    agent };
enum class vm_state { live,
    leaving };

struct vm_record {
    std::string name;
    std::string zone;
    vm_role role = vm_role::entry;
    vm_state state = vm_state::live;
    std::string address;
    std::string peerAddress;

    bool operator==(const vm_record&) const = default;
};

struct vm_list {
    std::uint64_t version = 0;
    std::vector<vm_record> vms;
    // Epoch of the service that publishes the list; 0 if the service reports none.
    store_epoch epoch = 0;

    store_position position() const { return { epoch, version }; }

    bool operator==(const vm_list&) const = default;
};

// The JSON format in which the platform publishes the list.
boost::outcome_v2::checked<vm_list, std::string> parseVmList(const std::string& json);
std::string toJson(const vm_list&);

} // namespace rampgap
