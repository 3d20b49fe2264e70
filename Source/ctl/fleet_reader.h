// Reads the operators' pages of entry VMs and, through their VM list, of all processes.
#pragma once

#include "daemon/http_client.h"
#include "policy/common/timeline.h"
#include "policy/configuration/declaration.h"

#include <boost/json.hpp>
#include <string>
#include <vector>

namespace rampgap::ctl {

// One process as it answers for itself; `reachable` is false if it did not.
struct process_status {
    std::string name;
    std::string zone;
    std::string role;
    std::string address;
    bool reachable = false;
    bool ready = false;
    bool reader = false;
    std::uint64_t revision = 0;
    std::uint64_t highestSeen = 0;
    std::string digest;
    std::string source;
    std::int64_t ageMs = 0;
    std::vector<std::string> refusals;
};

class fleet_reader {
public:
    fleet_reader(process_context&, http_client&, std::string entry, std::string key);

    // The status of the entry VM and of every VM that it lists.
    awaitable<result<std::vector<process_status>>> statuses();
    awaitable<result<declaration>> inForce();
    awaitable<result<std::vector<timeline_event>>> timeline();

private:
    awaitable<result<std::string>> get(std::string address, std::string target);
    awaitable<result<boost::json::object>> getObject(std::string address, std::string target);

    process_context& m_context;
    http_client& m_client;
    std::string m_entry;
    std::string m_key;
};

} // namespace rampgap::ctl
