// Which expert groups can run requests now, and which servers belong to each, as published by the
// agents of the ranks.
#pragma once

#include "policy/common/verdict.h"
#include "policy/groups/pass_model.h"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace rampgap {

// Identifies an expert group; a service may have any number of them.
struct group_key {
    std::string service;
    std::string group;

    auto operator<=>(const group_key&) const = default;
};

// A group opens, closes when it loses a rank, and opens again in the next epoch. So its states
// are totally ordered, and of two reports the one with the later state holds, whatever order
// they arrive in.
struct group_phase {
    std::uint64_t epoch = 0;
    bool open = false;

    auto rank() const { return epoch * 2 + (open ? 0 : 1); }
    // How often the group has closed: each epoch but the first follows a closing.
    auto closings() const { return epoch + (open ? 0 : 1); }
    bool operator==(const group_phase&) const = default;
};

struct group_update {
    group_key key;
    group_phase phase;

    bool operator==(const group_update&) const = default;
};

// Agents confirm a group's state to one entry VM each 400 ms, and that one passes it on to the others.
inline constexpr milliseconds groupUpdateLifetime { 1'500 };

class group_directory {
public:
    // The state of a group that was not confirmed for `lifetime` counts as unknown.
    explicit group_directory(milliseconds lifetime);

    // True if the state changed. `age`: how long ago the state was confirmed.
    bool mergeUpdate(const group_update&, milliseconds age, instant now);
    // Records that a server, given by the hash of its id, is a rank of the group.
    void recordMember(std::uint32_t backendHash, const group_key&);

    // What lengthens the group's steps, as published by its leader.
    void recordSlowdown(const group_key&, const group_slowdown&, instant now);
    // Of the server's group; no slowdown if its leader has not published one recently.
    group_slowdown slowdownAt(const std::string& service, std::uint32_t backendHash, instant now) const;

    // Mean duration of the group's passes, as measured and published by its leader.
    void recordPublishedPass(const group_key&, milliseconds pass, instant now);
    // The last such report; empty if there was none recently.
    std::optional<milliseconds> publishedPass(const group_key&, instant now) const;
    // Measured time that a sequence adds to a pass of the group, divided by the predicted one.
    void recordTokenFactor(const group_key&, double factor, instant now);

    // Records that an engine with free request slots refused a request without running it: its
    // group is suspected to be closed until a later update shows it open. Where the engine's group
    // is not known, no other group becomes suspected.
    void recordRefusal(const std::string& service, std::uint32_t backendHash, instant now);

    // Records whether an attempt could hand over its request to the server.
    void recordReachability(const std::string& service, std::uint32_t backendHash, bool reached, instant now);
    // True if the server's group is most likely cut off from this process, though other groups
    // of its service are not: requests should go to other groups while there are any.
    bool isUnreachable(const std::string& service, std::uint32_t backendHash, instant now) const;
    // True if another group of the service is open and, as far as is known, reachable.
    bool hasOtherOpenGroup(const std::string& service, std::uint32_t backendHash, instant now) const;
    // The group that the server is in; without a name where that is not known.
    group_key groupKeyOf(const std::string& service, std::uint32_t backendHash) const;
    // The group that the server is known to be a rank of; empty if it is not known.
    std::string groupOf(const std::string& service, std::uint32_t backendHash) const { return groupKeyOf(service, backendHash).group; }
    // Time since a rank of the server's group last confirmed the group's state, as far as this
    // process knows; empty if none ever did.
    std::optional<milliseconds> stateAge(const std::string& service, std::uint32_t backendHash, instant now) const;

    // When the server's group last closed, or any group of the service if the server's is not known; empty if none did.
    std::optional<instant> lastClosing(const std::string& service, std::uint32_t backendHash) const;

    // True if the server's group is known or suspected to be closed.
    bool closedAt(const std::string& service, std::uint32_t backendHash, instant now) const;
    // True if any group of the service is known.
    bool hasGroups(const std::string& service, instant now) const { return !groupsOf(service, now).empty(); }
    // True if all groups of the service are known or suspected to be closed.
    bool closed(const std::string& service, instant now) const;
    // How long the service has had no open group, as far as this process knows.
    milliseconds closedFor(const std::string& service, instant now) const;
    // How long a group of the service has been open, for the one open longest; 0 if none is known to be.
    milliseconds openFor(const std::string& service, instant now) const;
    // The known states with their ages, to be published to peers.
    std::vector<std::pair<group_update, milliseconds>> updates(instant now) const;

private:
    struct entry {
        group_phase phase;
        instant confirmedAt;
        instant changedAt;
        std::optional<instant> closedAt;
    };

    // That a group is closed.
    struct suspicion {
        instant since;
        instant confirmedAt;
    };

    // Failures to reach one group since an attempt last succeeded there.
    struct recent_failures {
        // Hashes of the servers that could not be reached.
        std::set<std::uint32_t> servers;
        instant last;
    };

    bool closed(const group_key&, instant now) const;
    // True if attempts at several servers failed recently, and none succeeded since.
    bool failedRecently(const group_key&, instant now) const;
    // True if no rank has confirmed the group lately, while those of another group of the service did.
    bool unconfirmed(const group_key&, instant now) const;
    bool knownClosed(const entry&, instant now) const;
    // The suspicion that is still in force, or null.
    const suspicion* suspected(const group_key&, instant now) const;
    std::vector<group_key> groupsOf(const std::string& service, instant now) const;

    milliseconds m_lifetime;
    std::map<group_key, entry> m_groups;
    std::map<group_key, suspicion> m_suspicions;
    std::map<group_key, recent_failures> m_failures;
    std::map<group_key, std::pair<group_slowdown, instant>> m_slowdowns;
    std::map<group_key, std::pair<milliseconds, instant>> m_publishedPasses;
    std::map<group_key, std::pair<double, instant>> m_tokenFactors;
    std::unordered_map<std::uint32_t, group_key> m_members;
};

} // namespace rampgap
