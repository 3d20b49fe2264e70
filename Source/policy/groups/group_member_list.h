// The servers of one expert group, in the order of their ids.
#pragma once

#include "policy/groups/group_roster.h"
#include "policy/routing/backend_directory.h"

namespace rampgap {

struct sized_group {
    std::string name;
    // Number of its ranks.
    std::size_t size = 0;

    bool operator==(const sized_group&) const = default;
};

// Keeps the list until the listed servers or their groups change: agents need it 50 times a second.
class group_member_list {
public:
    const std::vector<std::string>& members(const backend_directory&, const std::string& service, const group_roster&, const sized_group&);

private:
    std::uint64_t m_serversRevision = 0;
    std::uint64_t m_rosterRevision = 0;
    sized_group m_group;
    std::vector<std::string> m_members;
};

} // namespace rampgap
