// The backend servers that are listed, and what this process found out about each.
#pragma once

#include "policy/verdict.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace rampgap {

// A backend server as the users' list shows it.
struct listed_backend {
    std::string id;
    std::string service;
    std::string address;
    std::string zone;
    int capacity = 1;
    bool draining = false;
    // Revision at which the entry was created: of two with one address the newer one lives.
    std::uint64_t createdAt = 0;
    // Start of the server's process in Unix milliseconds; 0 where the list does not tell. A
    // server may be started again under its id, and then knows nothing of before.
    std::uint64_t incarnation = 0;

    bool operator==(const listed_backend&) const = default;
};

// How one try on a backend server ended, as far as it says something about that server.
enum class try_result {
    answered,
    // It said that it had no room.
    refused,
    // Nothing could be handed over.
    unreachable,
    // It took the request and failed, broke off or answered what cannot be read.
    failed,
    // It took the request and stayed silent.
    silent,
    // Another server has its address.
    replaced,
};

struct backend_health {
    // Share of tries that failed, recent ones first.
    double failureShare = 0;
    int unreachableInRow = 0;
    // Nothing is sent there before this, unless nothing else is left.
    instant avoidedUntil {};
};

class backend_directory {
public:
    // `lapsedLife`: how long an entry that went without leaving is kept at the least. 0 for
    // whoever sends requests; longer for whoever only keeps in touch with the server.
    explicit backend_directory(milliseconds lapsedLife = milliseconds(0))
        : m_lapsedLife(lapsedLife)
    {
    }

    // True if the server was listed before in an earlier incarnation, of which nothing holds
    // any more: its health is unknown again.
    bool list(const listed_backend&);
    // The services that the configuration names. An entry of another service may come from
    // anyone: it takes no address from a server. Before the first call all services count.
    void setServices(std::set<std::string>);
    // `keepUntil`: until then the entry may only have lapsed in an outage and come back.
    void unlist(const std::string& id, instant now, instant keepUntil);
    // Entries that are missing are not kept beyond `until`, unless they are for `lapsedLife`.
    void keepNoLongerThan(instant until);
    // Forgets a server at once, if it is known.
    void remove(const std::string& id);
    // Drops what has not come back.
    void settle(instant now);

    // The server itself said that it leaves: it gets nothing more in this life, whatever the list
    // says of it. True if that is new.
    bool noteLeaving(const std::string& id, instant now);
    void noteResult(const std::string& id, try_result, instant now);

    // May get new work: listed, not leaving, and not replaced by a newer one at its address.
    bool open(const std::string& id) const;
    bool avoided(const std::string& id, instant now) const;
    const backend_health& health(const std::string& id) const;
    const listed_backend* find(const std::string& id) const;
    const listed_backend* findByAddress(const std::string& address) const;
    // The open server of a service on a machine.
    const listed_backend* findByHost(const std::string& host, const std::string& service) const;
    // Ids of the servers of a service that are open, in a fixed order.
    std::vector<std::string> pool(const std::string& service) const;

private:
    struct entry {
        listed_backend listed;
        backend_health health;
        // Set while it is missing from the list, but may come back.
        std::optional<instant> keptUntil;
        bool replaced = false;
    };

    bool serves(const listed_backend&) const;
    void noteNewestAt(const std::string& address);

    milliseconds m_lapsedLife;
    std::map<std::string, entry> m_entries;
    // Servers that said that they leave, and when each was last listed or said so.
    std::map<std::string, instant> m_leaving;
    std::optional<std::set<std::string>> m_services;
    // Highest creation revision of the listed entries with an address.
    std::map<std::string, std::uint64_t> m_newestAt;
};

} // namespace rampgap
