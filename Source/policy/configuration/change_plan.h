// The plan that an operator confirms: what an intent would change.
#pragma once

#include "policy/configuration/declaration.h"

#include <string>
#include <vector>

namespace rampgap {

enum class change_kind { add,
    remove,
    modify };

// One changed section or key of the declaration.
struct declared_change {
    change_kind kind = change_kind::modify;
    std::string section;
    std::string key;
    std::string before;
    std::string after;

    bool operator==(const declared_change&) const = default;
};

class change_plan {
public:
    // The exact changes from `inForce` to `intent`, their costs and their risks.
    // `highestSeen` is the highest revision number that was ever published.
    static change_plan make(const declaration& inForce, const declaration& intent, std::uint64_t highestSeen);
    // The plan of a fleet's first declaration, when none is in force.
    static change_plan makeFirst(const declaration& intent);

    const std::vector<declared_change>& changes() const { return m_changes; }
    const std::vector<std::string>& costs() const { return m_costs; }
    const std::vector<std::string>& warnings() const { return m_warnings; }
    // The declaration to publish once the plan is confirmed.
    const declaration& declared() const { return m_declared; }

    std::string toText() const;
    bool operator==(const change_plan&) const = default;

private:
    void compare(const declaration& inForce);
    void assessOwners(const declaration& inForce);
    void assessPools(const declaration& inForce);
    void assessGroups(const declaration& inForce);

    std::vector<declared_change> m_changes;
    std::vector<std::string> m_costs;
    std::vector<std::string> m_warnings;
    declaration m_declared;
};

} // namespace rampgap
