// The listed backend servers and this process's observations of each.
#pragma once

#include "policy/common/verdict.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace rampgap {

// A backend server as the users' metadata store lists it.
struct listed_backend {
    std::string id;
    std::string service;
    std::string address;
    std::string zone;
    int capacity = 1;
    bool draining = false;
    // Store revision at which the entry was created. Of two entries with one address only the newer is valid.
    std::uint64_t createdAt = 0;
    // Start of the server's process in Unix milliseconds; 0 if the list does not say. A server
    // may be restarted under its id and has no state of its previous run then.
    std::uint64_t incarnation = 0;
    // How much longer it is cold, from the time at which the entry was written; 0: it is not cold.
    milliseconds coldFor { 0 };

    bool operator==(const listed_backend&) const = default;
};

// Outcome of one attempt on a backend server, as far as it says something about that server.
enum class attempt_result {
    answered,
    // It reported that it had no capacity left.
    refused,
    // The request could not be delivered.
    unreachable,
    // It accepted the request, then failed, closed the connection or sent a malformed answer.
    failed,
    // It accepted the request and did not answer in time.
    silent,
    // Another server now uses its address.
    replaced,
};

struct backend_health {
    // Share of attempts that failed; recent ones weigh more.
    double failureShare = 0;
    int unreachableInRow = 0;
    // The server is not chosen before this time unless no other is available.
    instant avoidedUntil {};
};

class backend_directory {
public:
    // `lapsedRetention`: minimum time for which an entry is kept that vanished from the list while
    // its server was not draining. 0 in a process that sends requests; longer in one that only
    // stays in contact with the server.
    explicit backend_directory(milliseconds lapsedRetention = milliseconds(0))
        : m_lapsedRetention(lapsedRetention)
    {
    }

    // Adds or updates an entry. True if the server was listed with another incarnation before;
    // everything recorded about that one is discarded.
    bool list(const listed_backend&);
    // Sets the services of the configuration. An entry of another service may come from anyone, so
    // it takes no address over from a server. Before the first call all services count.
    void setServices(std::set<std::string>);
    // The entry is missing from the list. It is kept until `keepUntil`, since it may merely have
    // lapsed in an outage and be listed again.
    void unlist(const std::string& id, instant now, instant keepUntil);
    // Keeps missing entries no longer than until `until`; no effect if `lapsedRetention` is set.
    void limitRetention(instant until);
    // Forgets a server at once, if it is known.
    void remove(const std::string& id);
    // Drops the missing entries whose retention has ended.
    void removeExpired(instant now);

    // The server itself announced that it is leaving: it gets no more requests in this incarnation,
    // whatever the list says. True if this was not known yet.
    bool recordLeaving(const std::string& id, instant now);
    void recordResult(const std::string& id, attempt_result, instant now);

    // Sets whether the operators have evacuated a zone: its servers run on, but get no new requests.
    // True if that changed.
    bool setEvacuated(const std::string& zone, bool evacuated);
    const std::set<std::string>& evacuatedZones() const { return m_evacuatedZones; }

    // True if it is listed, not leaving, and not replaced by a newer entry at its address.
    bool isActive(const std::string& id) const;
    // True if it may get new requests: active, and not in an evacuated zone.
    bool acceptsWork(const std::string& id) const;
    bool avoided(const std::string& id, instant now) const;
    const backend_health& health(const std::string& id) const;
    const listed_backend* find(const std::string& id) const;
    // The active server at an address.
    const listed_backend* findByAddress(const std::string& address) const;
    // The active server of a service on a machine.
    const listed_backend* findByHost(const std::string& host, const std::string& service) const;
    // Ids of the servers of a service that accept work, in a fixed order.
    const std::vector<std::string>& pool(const std::string& service) const;
    // The same for the active servers: the members of expert groups are among them, evacuated or not.
    const std::vector<std::string>& activeServers(const std::string& service) const;
    // Increases with each change of any of these lists.
    std::uint64_t revision() const { return m_revision; }
    // Number of the servers that are listed in a zone.
    std::size_t countInZone(const std::string& zone) const;

private:
    struct entry {
        listed_backend listed;
        backend_health health;
        // Set while it is missing from the list but may be listed again.
        std::optional<instant> keptUntil;
        bool replaced = false;
    };

    // The servers of one service, from the last time that they were asked for.
    struct service_lists {
        std::uint64_t revision = 0;
        std::vector<std::string> active;
        std::vector<std::string> pool;
    };

    const service_lists& listsOf(const std::string& service) const;
    bool serves(const listed_backend&) const;
    void updateNewestAt(const std::string& address);

    milliseconds m_lapsedRetention;
    std::map<std::string, entry> m_entries;
    // Servers that announced that they are leaving, and when each was last listed or announced it.
    std::map<std::string, instant> m_leaving;
    std::optional<std::set<std::string>> m_services;
    std::set<std::string> m_evacuatedZones;
    // For each address the highest creation revision of its listed entries.
    std::map<std::string, std::uint64_t> m_newestAt;
    std::uint64_t m_revision = 1;
    mutable std::map<std::string, service_lists> m_lists;
};

} // namespace rampgap
