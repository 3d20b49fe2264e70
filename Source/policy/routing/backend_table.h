// What one entry VM knows of each backend server: state, load, own requests.
#pragma once

#include "policy/common/verdict.h"
#include "policy/configuration/declaration.h"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace rampgap {

using backend_id = std::uint32_t;

// Load as an agent reports it with each answer.
struct load_report {
    int running = 0;
    int queued = 0;
    double averageRunMs = 0;

    bool operator==(const load_report&) const = default;
};

enum class backend_state { up,
    suspect,
    leaving,
    stopped };

// One backend server as this entry VM sees it.
struct backend_view {
    std::string name;
    std::string zone;
    std::string address;
    std::string serves;
    int slots = 1;
    bool sameZone = false;
    backend_state state = backend_state::up;
    instant suspectUntil;
    int failuresInRow = 0;
    instant failingSince;
    // Its engine accepts no requests before this time.
    instant pausedUntil {};
    instant joinedAt;
    int ownInFlight = 0;
    load_report load;
    int ownAtReport = 0;
    instant reportedAt;
};

class backend_table {
public:
    explicit backend_table(std::string zone);

    // Adds, updates and retires backends; a name keeps its id.
    void apply(const declaration&, instant now);
    // Takes the VMs out of service that the platform's list reports as leaving.
    void recordListedLeaving(const std::vector<std::string>& names);

    void recordSent(backend_id);
    // An agent answered, with any verdict. `madeAt` is when it made its load report.
    void recordAnswered(backend_id, const load_report&, instant madeAt);
    // The backend accepted a request, so it is neither unreachable nor leaving.
    void recordServed(backend_id);
    void recordConnectFailure(backend_id, instant now);
    void recordLeaving(backend_id, instant now);
    // Its engine accepts no requests for this long.
    void recordPause(backend_id, milliseconds, instant now);
    void recordEnded(backend_id);

    // True if new requests may be sent there: it is up, or its time as suspect or leaving is over.
    bool usable(backend_id, instant now) const;
    // True unless an operator or the platform's list has taken it out of service.
    bool mayHaveReturned(backend_id) const;
    // Since when every connection attempt has failed; `fallback` if the last one succeeded.
    instant failingSince(backend_id, instant fallback) const;
    const backend_view& view(backend_id id) const { return m_views[id]; }
    std::size_t size() const { return m_views.size(); }
    backend_id find(const std::string& name) const;
    // Ids of the declared backends of a model or service.
    const std::vector<backend_id>& pool(const std::string& service) const;
    const std::vector<backend_id>& zonePool(const std::string& service) const;

    // Requests queued or running there: the exact number of our own, plus an estimate of those of
    // other VMs that shifts from the last report to the average over all backends as the report ages.
    double outstanding(backend_id, instant now) const;
    // Predicted time until a new request starts there, in milliseconds.
    double predictedWaitMs(backend_id, instant now) const;

private:
    std::string m_zone;
    std::vector<backend_view> m_views;
    std::unordered_map<std::string, backend_id> m_ids;
    std::unordered_map<std::string, std::vector<backend_id>> m_pools;
    std::unordered_map<std::string, std::vector<backend_id>> m_zonePools;
    // Average number of requests that other entry VMs have at a backend.
    double m_meanOthers = 0;
};

inline constexpr backend_id noBackend = UINT32_MAX;

} // namespace rampgap
