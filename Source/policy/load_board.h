// Work in progress at each backend server: our own exactly, that of peers as they told.
#pragma once

#include "policy/verdict.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace rampgap {

// Work that one process has at a backend server.
struct backend_load {
    // Requests that were sent and are not answered to the end.
    int requests = 0;
    // Prompt tokens of those whose first answer byte has not come.
    std::int64_t unreadTokens = 0;
    // How much longer than usual the server takes for the same work.
    double pace = 1;

    backend_load operator+(const backend_load&) const;
    bool operator==(const backend_load&) const = default;
};

// Loads by the hash of the server's id, as they travel between processes.
using load_report_by_hash = std::map<std::uint32_t, backend_load>;

std::uint32_t backendHash(const std::string& id);

// Reports of work come every 100 ms; after three lost ones they say nothing.
inline constexpr milliseconds loadReportLife { 400 };

class load_board {
public:
    // Reports older than `reportLife` no longer count.
    explicit load_board(milliseconds reportLife);

    void noteSent(const std::string& id, std::int64_t promptTokens, instant now);
    // The first byte of the answer came: the prompt is read.
    void noteBegun(const std::string& id, std::int64_t promptTokens);
    void noteEnded(const std::string& id, std::int64_t unreadTokens);
    void notePeer(const std::string& peer, load_report_by_hash, instant now);
    void forgetPeer(const std::string& peer);
    // Requests at each rank as the engines themselves count them.
    void noteRanks(const load_report_by_hash&, instant now);

    // True if a leader has ever counted this server among the ranks of its group.
    bool counted(const std::string& id) const { return m_ranks.contains(backendHash(id)); }

    backend_load own(const std::string& id) const;
    backend_load total(const std::string& id, instant now) const;
    // Our own loads, without idle servers.
    load_report_by_hash report() const;

private:
    struct peer_report {
        load_report_by_hash loads;
        instant at;
    };

    struct rank_count {
        int requests = 0;
        double pace = 1;
        instant at;
    };

    int sentLately(const std::string& id, instant now) const;

    milliseconds m_reportLife;
    std::map<std::string, backend_load> m_own;
    std::map<std::string, std::deque<instant>> m_sent;
    std::map<std::uint32_t, rank_count> m_ranks;
    std::map<std::string, peer_report> m_peers;
};

} // namespace rampgap
