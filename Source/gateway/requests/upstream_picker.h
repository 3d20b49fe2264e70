// Picks the backend server for each attempt, within the limits and backoffs that servers ask for.
#pragma once

#include "daemon/decision_log.h"
#include "daemon/http_server.h"
#include "gateway/fleet/fleet_state.h"
#include "gateway/requests/admitted_request.h"
#include "policy/groups/group_directory.h"
#include "policy/limits/server_backpressure.h"
#include "policy/routing/load_table.h"
#include "policy/routing/upstream_choice.h"

namespace rampgap {

// Ids of the servers that a request was sent to.
struct attempted_servers {
    std::vector<std::string> all;
    // Those of them that stayed silent or could not be reached.
    std::vector<std::string> silent;
};

class upstream_picker {
public:
    upstream_picker(process_context&, decision_log&, fleet_state&, load_table&, group_directory&, server_backpressure&);

    // The id of the server for the next attempt, with a grant if it has a limit; empty if there is none
    // now. May wait briefly for a grant.
    awaitable<std::string> pick(http_exchange&, const admitted_request&, const attempted_servers&);
    // Returns a failure if every server of the request's service has asked this process to back off.
    std::optional<failure> backoffFailure(const admitted_request&);
    // The failure of a request for which no server was found.
    failure unavailableFailure(const admitted_request&);
    // Applies what a server reported about itself in its answer.
    void applyNotice(const listed_backend&, reply_kind, const server_notice&);

private:
    std::string choose(const admitted_request&, const attempted_servers&) const;
    // True while a pending query for a grant may still make one of these servers usable.
    bool isAwaitingGrant(const std::vector<server_hash>&) const;
    std::vector<server_hash> serversOf(const std::string& service) const;

    process_context& m_context;
    decision_log& m_log;
    fleet_state& m_state;
    load_table& m_loads;
    group_directory& m_groups;
    server_backpressure& m_backpressure;
    upstream_choice m_choice;
};

} // namespace rampgap
