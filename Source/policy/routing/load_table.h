// Work in progress at each backend server: an exact count of our own, that of peers as reported.
#pragma once

#include "policy/common/verdict.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace rampgap {

// Work that one process has at a backend server.
struct backend_load {
    // Requests that were sent and are not fully answered.
    int requests = 0;
    // Prompt tokens of those whose first answer byte has not arrived.
    std::int64_t unreadTokens = 0;
    // Factor by which the server takes longer than usual for the same work.
    double pace = 1;

    backend_load operator+(const backend_load&) const;
    bool operator==(const backend_load&) const = default;
};

// Loads by the hash of the server's id, as processes send them to each other.
using load_report_by_hash = std::map<std::uint32_t, backend_load>;

std::uint32_t backendHash(const std::string& id);

// Load reports arrive every 100 ms; the last one expires when three further ones are lost.
inline constexpr milliseconds loadReportLifetime { 400 };

class load_table {
public:
    // Reports older than `reportLifetime` are ignored.
    explicit load_table(milliseconds reportLifetime);

    void recordSent(const std::string& id, std::int64_t promptTokens, instant now);
    // The first byte of the answer arrived: the prompt has been processed.
    void recordFirstByte(const std::string& id, std::int64_t promptTokens);
    void recordEnded(const std::string& id, std::int64_t unreadTokens);
    void mergePeerState(const std::string& peer, load_report_by_hash, instant now);
    void forgetPeer(const std::string& peer);
    // Requests at each rank, as counted by the engines themselves.
    void mergeRankLoads(const load_report_by_hash&, instant now);

    // True if a leader has ever reported this server as a rank of its group.
    bool isKnownRank(const std::string& id) const { return m_ranks.contains(backendHash(id)); }

    // Own requests that were sent after the engine's latest count was taken.
    int sentRecently(const std::string& id, instant now) const;
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

    milliseconds m_reportLifetime;
    std::map<std::string, backend_load> m_own;
    std::map<std::string, std::deque<instant>> m_sent;
    std::map<std::uint32_t, rank_count> m_ranks;
    std::map<std::string, peer_report> m_peers;
};

} // namespace rampgap
