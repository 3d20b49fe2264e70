// Picks the backend server for each try, by what the servers ask of whoever sends to them.
#pragma once

#include "daemon/decision_log.h"
#include "daemon/http_server.h"
#include "gateway/admitted_request.h"
#include "gateway/fleet_state.h"
#include "policy/group_directory.h"
#include "policy/load_table.h"
#include "policy/server_backpressure.h"
#include "policy/upstream_choice.h"

namespace rampgap {

// Servers that a request has been at, by id.
struct tried_servers {
    std::vector<std::string> all;
    // Of those, the ones that stayed silent or could not be reached.
    std::vector<std::string> silent;
};

class upstream_picker {
public:
    upstream_picker(process_context&, decision_log&, fleet_state&, load_table&, group_directory&, server_backpressure&);

    // The id of the server for the next try, with a grant where it has a limit; empty if there is
    // none now. May wait a moment for a grant.
    awaitable<std::string> take(http_exchange&, const admitted_request&, const tried_servers&);
    // Set if each server of the request's service has asked this process to back off.
    std::optional<failure> allBackOff(const admitted_request&);
    // The refusal of a request for which there is no server.
    failure none(const admitted_request&);
    // Keeps what a server said of itself in its answer.
    void takeNotice(const listed_backend&, reply_kind, const server_notice&);

private:
    std::string choose(const admitted_request&, const tried_servers&) const;
    // True while the answer to a question for a grant may bring a server.
    bool awaitsGrant(const std::vector<server_hash>&) const;
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
