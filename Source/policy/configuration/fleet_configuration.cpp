#include "policy/configuration/fleet_configuration.h"

#include <algorithm>
#include <set>

namespace rampgap {

namespace {

    std::string routeKey(std::string_view host, std::string_view prefix)
    {
        std::string key(host);
        key += prefix;
        return key;
    }

} // namespace

fleet_configuration::fleet_configuration(fleet_contents contents)
    : m_contents(std::move(contents))
{
}

result<std::shared_ptr<const fleet_configuration>> fleet_configuration::make(fleet_contents contents)
{
    std::shared_ptr<fleet_configuration> configuration(new fleet_configuration(std::move(contents)));
    const auto& own = configuration->m_contents;
    for (std::size_t i = 0; i < own.services.size(); ++i)
        configuration->m_services.emplace(own.services[i].name, i);
    for (std::size_t i = 0; i < own.routes.size(); ++i) {
        const auto& route = own.routes[i];
        if (!configuration->m_routes.emplace(routeKey(route.host, route.pathPrefix), i).second)
            return notRun(failure_reason::invalid_request, "route '" + route.name + "' has the host and prefix of another route; remove one");
        if (route.services.empty())
            return notRun(failure_reason::invalid_request, "route '" + route.name + "' names no service; name one");
        for (const auto& target : route.services) {
            if (!configuration->m_services.contains(target.service))
                return notRun(failure_reason::invalid_request, "route '" + route.name + "' names the unknown service '" + target.service + "'; declare it");
        }
    }
    for (std::size_t i = 0; i < own.workspaces.size(); ++i) {
        for (const auto& key : own.workspaces[i].keys)
            configuration->m_keys.emplace(key, i);
    }
    configuration->indexPriorities();
    return std::shared_ptr<const fleet_configuration>(std::move(configuration));
}

void fleet_configuration::indexPriorities()
{
    std::set<int> ofWorkspaces;
    bool anyTakesRoutes = !usesKeys();
    for (const auto& workspace : m_contents.workspaces) {
        if (workspace.priority >= 0)
            ofWorkspaces.insert(workspace.priority);
        else
            anyTakesRoutes = true;
    }
    std::unordered_map<std::string, std::set<int>> byService;
    for (const auto& route : m_contents.routes) {
        for (const auto& target : route.services) {
            auto& priorities = byService[target.service];
            if (route.isPublic || anyTakesRoutes)
                priorities.insert(route.priority);
            if (!route.isPublic)
                priorities.insert(ofWorkspaces.begin(), ofWorkspaces.end());
        }
    }
    for (const auto& [service, priorities] : byService) {
        if (priorities.size() > 1)
            m_servicesOfManyPriorities.insert(service);
    }
}

const route_spec* fleet_configuration::findRoute(std::string_view host, std::string_view path) const
{
    // Prefixes end with a slash, so only the path cut after a slash can match.
    std::string key = routeKey(host, path);
    while (key.size() > host.size()) {
        if (key.back() == '/') {
            const auto found = m_routes.find(key);
            if (found != m_routes.end())
                return &m_contents.routes[found->second];
        }
        key.pop_back();
    }
    return nullptr;
}

const workspace_spec* fleet_configuration::findWorkspace(std::string_view key) const
{
    const auto found = m_keys.find(std::string(key));
    return found == m_keys.end() ? nullptr : &m_contents.workspaces[found->second];
}

const service_spec* fleet_configuration::findService(std::string_view name) const
{
    const auto found = m_services.find(std::string(name));
    return found == m_services.end() ? nullptr : &m_contents.services[found->second];
}

milliseconds fleet_configuration::strictestGap(const std::string& service) const
{
    milliseconds strictest { 0 };
    for (const auto& route : m_contents.routes) {
        const bool targetsService = std::any_of(route.services.begin(), route.services.end(), [&](const weighted_service& target) { return target.service == service; });
        if (!targetsService || route.gapTarget <= milliseconds(0))
            continue;
        strictest = strictest == milliseconds(0) ? route.gapTarget : std::min(strictest, route.gapTarget);
    }
    return strictest;
}

const std::string& pickService(const route_spec& route, double draw)
{
    double total = 0;
    for (const auto& target : route.services)
        total += target.weight;
    double left = draw * total;
    for (const auto& target : route.services) {
        left -= target.weight;
        if (left < 0)
            return target.service;
    }
    return route.services.back().service;
}

} // namespace rampgap
