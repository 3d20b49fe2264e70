// Which expert group each model engine belongs to, as its agent or the engine itself told.
#pragma once

#include "policy/verdict.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace rampgap {

// The agents of a service find their group's members by asking each other: the list of
// servers does not name groups, and a service may have any number of them.
class group_roster {
public:
    void note(const std::string& backendId, const std::string& group, instant now);
    // The group that a server was last known in; empty if nobody has told.
    const std::string& groupOf(const std::string& backendId) const;

    // The servers of `pool` that are in `group`, in its order. Where the whole pool fits in
    // one group of `size` ranks, servers that nobody has told of count too.
    std::vector<std::string> members(const std::vector<std::string>& pool, const std::string& group, std::size_t size) const;
    // The servers of `pool` that nobody has told of.
    std::vector<std::string> unknown(const std::vector<std::string>& pool) const;
    // Those to ask now; they count as asked. Servers that are not in `pool` are forgotten.
    std::vector<std::string> takeQuestions(const std::vector<std::string>& pool, const std::string& ownId, instant now);

private:
    struct entry {
        std::string group;
        instant toldAt;
    };

    std::map<std::string, entry> m_told;
    std::map<std::string, instant> m_askedAt;
};

} // namespace rampgap
