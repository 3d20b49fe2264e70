// Which expert groups can run requests now, and which servers belong to each, as the ranks'
// agents tell.
#pragma once

#include "policy/pass_model.h"
#include "policy/verdict.h"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace rampgap {

// A service has any number of groups.
struct group_key {
    std::string service;
    std::string group;

    auto operator<=>(const group_key&) const = default;
};

// A group opens, breaks when it loses a rank, and opens again in the next epoch. So its
// states have one order, and of two reports the later state is true, whenever it came.
struct group_phase {
    std::uint64_t epoch = 0;
    bool open = false;

    auto rank() const { return epoch * 2 + (open ? 0 : 1); }
    bool operator==(const group_phase&) const = default;
};

struct group_news {
    group_key key;
    group_phase phase;

    bool operator==(const group_news&) const = default;
};

// Agents confirm a group's state to one entry VM each 400 ms, and these tell the others.
inline constexpr milliseconds groupNewsLife { 1'500 };

class group_board {
public:
    // What was not confirmed for `life` is taken for unknown.
    explicit group_board(milliseconds life);

    // True if the state changed. News from a peer is as old as it says.
    bool note(const group_news&, milliseconds age, instant now);
    // A server, by the hash of its id, is a rank of the group.
    void noteMember(std::uint32_t backendHash, const group_key&);

    // What lengthens the group's steps, as its leader told.
    void noteStrain(const group_key&, const group_strain&, instant now);
    // Of the server's group; none where no leader has told lately.
    group_strain strainAt(const std::string& service, std::uint32_t backendHash, instant now) const;

    // An engine with room refused a request unrun: its group has closed, unless a later
    // report shows it open. An engine whose group is not known says nothing of other groups.
    void noteRefusal(const std::string& service, std::uint32_t backendHash, instant now);

    // A try could not hand over its request to the server, or it did.
    void noteReach(const std::string& service, std::uint32_t backendHash, bool reached, instant now);
    // True if the server's group is most likely cut off from this process, though other groups
    // of its service are not: nothing is to be sent there while there is anything else.
    bool outOfReach(const std::string& service, std::uint32_t backendHash, instant now) const;
    // True if another group of the service is open and, as far as is known, within reach.
    bool openElsewhere(const std::string& service, std::uint32_t backendHash, instant now) const;
    // The group that the server is known to be a rank of; empty if it is not known.
    std::string groupOf(const std::string& service, std::uint32_t backendHash) const { return keyOf(service, backendHash).group; }
    // Since a rank of the server's group last confirmed its state, as far as heard here; empty
    // if none ever did.
    std::optional<milliseconds> newsAge(const std::string& service, std::uint32_t backendHash, instant now) const;

    // True if the server's group is known or suspected to be closed.
    bool closedAt(const std::string& service, std::uint32_t backendHash, instant now) const;
    // True if anything has been heard of a group of the service.
    bool heardOf(const std::string& service, instant now) const { return !keysOf(service, now).empty(); }
    // True if all groups of the service are known or suspected to be closed.
    bool closed(const std::string& service, instant now) const;
    // How long the service has had no open group, as far as this process knows.
    milliseconds closedFor(const std::string& service, instant now) const;
    // How long one of them has been open; 0 if none is known to be.
    milliseconds openFor(const std::string& service, instant now) const;
    // What is known, with its age, for peers.
    std::vector<std::pair<group_news, milliseconds>> news(instant now) const;

private:
    struct entry {
        group_phase phase;
        instant confirmedAt;
        instant changedAt;
    };

    struct suspicion {
        instant since;
        instant confirmedAt;
    };

    // Of one group, what tries showed lately.
    struct reach {
        // Different servers that could not be reached since one was.
        std::set<std::uint32_t> unreached;
        instant lastFailure;
    };

    bool closed(const group_key&, instant now) const;
    // Tries at several servers failed, and none succeeded since.
    bool failsLately(const group_key&, instant now) const;
    // None of its ranks has been heard of, while those of another group were.
    bool unheard(const group_key&, instant now) const;
    bool knownClosed(const entry&, instant now) const;
    // The group that a server without a known one is taken to be in.
    group_key keyOf(const std::string& service, std::uint32_t backendHash) const;
    // The suspicion that still holds, or null.
    const suspicion* suspected(const group_key&, instant now) const;
    std::vector<group_key> keysOf(const std::string& service, instant now) const;

    milliseconds m_life;
    std::map<group_key, entry> m_groups;
    std::map<group_key, suspicion> m_suspicions;
    std::map<group_key, reach> m_reach;
    std::map<group_key, std::pair<group_strain, instant>> m_strains;
    std::unordered_map<std::uint32_t, group_key> m_members;
};

} // namespace rampgap
