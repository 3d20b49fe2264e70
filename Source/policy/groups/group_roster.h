// Records which expert group each model engine belongs to, as reported by its agent or by the engine.
#pragma once

#include "policy/common/verdict.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace rampgap {

// The agents of a service find the members of their group by querying each other: the list of
// servers does not name groups, and a service may have any number of them.
class group_roster {
public:
    void recordGroup(const std::string& backendId, const std::string& group, instant now);
    // The last known group of a server; empty if it is not known.
    const std::string& groupOf(const std::string& backendId) const;

    // The servers of `pool` that are in `group`, in the order of the pool. Where the whole pool fits
    // in one group of `size` ranks, servers of an unknown group are included.
    std::vector<std::string> members(const std::vector<std::string>& pool, const std::string& group, std::size_t size) const;
    // Increases when the group of any server changes.
    std::uint64_t revision() const { return m_revision; }
    // The servers of `pool` whose group is not known.
    std::vector<std::string> unknown(const std::vector<std::string>& pool) const;
    // The servers to query now, which are marked as queried. Servers that are not in `pool`, which is sorted, are forgotten.
    std::vector<std::string> selectDueQueries(const std::vector<std::string>& pool, const std::string& ownId, instant now);

private:
    struct entry {
        std::string group;
        instant recordedAt;
    };

    std::map<std::string, entry> m_known;
    std::uint64_t m_revision = 0;
    // The latest query of a server, and the pause after it.
    struct query {
        instant sentAt;
        milliseconds pause { 0 };
    };

    std::map<std::string, query> m_queries;
};

} // namespace rampgap
