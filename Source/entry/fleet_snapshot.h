// What an entry VM looks up per request, made once per declaration and never changed.
#pragma once

#include "policy/configuration/declaration.h"

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace rampgap {

class fleet_snapshot {
public:
    static std::shared_ptr<const fleet_snapshot> make(std::shared_ptr<const declaration>);

    const declaration& declared() const { return *m_declaration; }
    std::uint64_t revision() const { return m_declaration->link().revision; }
    // Null for a key that no workspace has.
    const workspace_declaration* workspaceOfKey(const std::string& key) const;
    // Null if no model has the name.
    const service_declaration* model(const std::string& name) const;
    // The plain service with the longest path that `path` starts with; null if none.
    const service_declaration* serviceOfPath(std::string_view path) const;
    // The backends that ids of a service are placed on.
    const std::vector<std::string>& homes(const std::string& service) const;

private:
    explicit fleet_snapshot(std::shared_ptr<const declaration>);

    std::shared_ptr<const declaration> m_declaration;
    std::unordered_map<std::string, const workspace_declaration*> m_workspaces;
    std::unordered_map<std::string, const service_declaration*> m_models;
    std::unordered_map<std::string, std::vector<std::string>> m_homes;
};

} // namespace rampgap
