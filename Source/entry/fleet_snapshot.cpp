#include "entry/fleet_snapshot.h"

#include "policy/common/digest.h"

namespace rampgap {

namespace {

    const std::vector<std::string> noHomes;

    bool isUnder(std::string_view path, std::string_view prefix)
    {
        if (!path.starts_with(prefix))
            return false;
        return path.size() == prefix.size() || prefix.ends_with('/') || path[prefix.size()] == '/';
    }

} // namespace

std::shared_ptr<const fleet_snapshot> fleet_snapshot::make(std::shared_ptr<const declaration> declared)
{
    return std::shared_ptr<const fleet_snapshot>(new fleet_snapshot(std::move(declared)));
}

fleet_snapshot::fleet_snapshot(std::shared_ptr<const declaration> declared)
    : m_declaration(std::move(declared))
{
    for (const auto& workspace : m_declaration->workspaces())
        m_workspaces.emplace(workspace.keyDigest, &workspace);
    for (const auto& service : m_declaration->services()) {
        if (service.isModel())
            m_models.emplace(service.name, &service);
        m_homes.emplace(service.name, m_declaration->ownersOf(service.name));
    }
}

const workspace_declaration* fleet_snapshot::workspaceOfKey(const std::string& key) const
{
    const auto found = m_workspaces.find(sha256Hex(key));
    return found == m_workspaces.end() ? nullptr : found->second;
}

const service_declaration* fleet_snapshot::model(const std::string& name) const
{
    const auto found = m_models.find(name);
    return found == m_models.end() ? nullptr : found->second;
}

const service_declaration* fleet_snapshot::serviceOfPath(std::string_view path) const
{
    const service_declaration* best = nullptr;
    for (const auto& service : m_declaration->services()) {
        if (service.isModel() || !isUnder(path, service.path))
            continue;
        if (!best || service.path.size() > best->path.size())
            best = &service;
    }
    return best;
}

const std::vector<std::string>& fleet_snapshot::homes(const std::string& service) const
{
    const auto found = m_homes.find(service);
    return found == m_homes.end() ? noHomes : found->second;
}

} // namespace rampgap
