// What one entry VM knows of each backend server: state, load, own requests.
#pragma once

#include "policy/declaration.h"
#include "policy/verdict.h"

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
    // Its engine takes nothing before this.
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

    // Adds, changes and retires backends; ids stay the same for a name.
    void apply(const declaration&, instant now);
    // The platform's list names VMs that are leaving.
    void noteListedLeaving(const std::vector<std::string>& names);

    void noteSent(backend_id);
    // An agent answered, with whatever verdict. `madeAt` is when its report was made.
    void recordAnswered(backend_id, const load_report&, instant madeAt);
    // The backend took a request: whatever was suspected of it is over.
    void recordServed(backend_id);
    void noteConnectFailed(backend_id, instant now);
    void noteLeaving(backend_id, instant now);
    // Its engine takes nothing more for so long.
    void notePause(backend_id, milliseconds, instant now);
    void noteEnded(backend_id);

    // May new work go there: up, or suspect past its time, and not leaving.
    bool usable(backend_id, instant now) const;
    // True unless an operator or the platform's list took it out.
    bool mayBeBack(backend_id) const;
    // Since when every connection failed; `fallback` if the last one did not.
    instant failingSince(backend_id, instant fallback) const;
    const backend_view& view(backend_id id) const { return m_views[id]; }
    std::size_t size() const { return m_views.size(); }
    backend_id find(const std::string& name) const;
    // Ids of the declared backends of a model or service.
    const std::vector<backend_id>& pool(const std::string& service) const;
    const std::vector<backend_id>& zonePool(const std::string& service) const;

    // Requests that wait or run there: our own exactly, those of others by the last report
    // while it is fresh and by the pool's average once it is old.
    double outstanding(backend_id, instant now) const;
    // Predicted wait to a start, in milliseconds.
    double predictedWaitMs(backend_id, instant now) const;

private:
    std::string m_zone;
    std::vector<backend_view> m_views;
    std::unordered_map<std::string, backend_id> m_ids;
    std::unordered_map<std::string, std::vector<backend_id>> m_pools;
    std::unordered_map<std::string, std::vector<backend_id>> m_zonePools;
    // Average of what other entry VMs have at a backend.
    double m_meanOthers = 0;
};

inline constexpr backend_id noBackend = UINT32_MAX;

} // namespace rampgap
