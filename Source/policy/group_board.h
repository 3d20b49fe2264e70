// Which expert groups can run requests now, as their ranks' agents tell.
#pragma once

#include "policy/verdict.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace rampgap {

// A group opens, breaks when it loses a rank, and opens again in the next epoch. So its
// states have one order, and of two reports the later state is true, whenever it came.
struct group_phase {
    std::uint64_t epoch = 0;
    bool open = false;

    auto rank() const { return epoch * 2 + (open ? 0 : 1); }
    bool operator==(const group_phase&) const = default;
};

struct group_news {
    std::string group;
    std::string service;
    group_phase phase;

    bool operator==(const group_news&) const = default;
};

class group_board {
public:
    // What was not confirmed for `life` is taken for unknown.
    explicit group_board(milliseconds life);

    // True if the state changed. News from a peer is as old as it says.
    bool note(const group_news&, milliseconds age, instant now);

    // An engine of the service with room for it refused a request unrun: its group has
    // closed, unless a later report shows it open. Says nothing of a service with several.
    void noteRefusal(const std::string& service, instant now);

    // True if the service's only groups are known or suspected to be closed.
    bool closed(const std::string& service, instant now) const;
    // How long the service's groups have been closed, as far as this process knows.
    milliseconds closedFor(const std::string& service, instant now) const;
    // How long one of them has been open; 0 if none is known to be.
    milliseconds openFor(const std::string& service, instant now) const;
    // What is known, with its age, for peers.
    std::vector<std::pair<group_news, milliseconds>> news(instant now) const;

private:
    struct entry {
        group_news news;
        instant confirmedAt;
        instant changedAt;
    };

    struct suspicion {
        instant since;
        instant confirmedAt;
    };

    bool knownClosed(const entry&, instant now) const;
    // The suspicion that still holds, or null.
    const suspicion* suspected(const std::string& service, instant now) const;
    bool shownOpenAfter(const std::string& service, instant) const;

    milliseconds m_life;
    std::map<std::string, entry> m_groups;
    std::map<std::string, suspicion> m_suspicions;
};

} // namespace rampgap
