#include "policy/configuration/change_plan.h"

#include "policy/membership/rendezvous.h"
#include <algorithm>
#include <set>
#include <sstream>

namespace rampgap {

namespace {

    constexpr int sampledIds = 1'000;

    ini_document bodyOf(const declaration& declared)
    {
        return ini_document::parse(declared.canonicalBody(), "declaration").value();
    }

    std::set<std::string> zonesOf(const declaration& declared, const std::string& service)
    {
        std::set<std::string> zones;
        for (const auto& backend : declared.backends()) {
            if (backend.serves == service && !backend.stopped && !backend.draining)
                zones.insert(backend.zone);
        }
        return zones;
    }

    std::string percent(int part, int whole)
    {
        return std::to_string((100 * part + whole / 2) / whole) + "%";
    }

} // namespace

change_plan change_plan::makeFirst(const declaration& intent)
{
    change_plan plan;
    plan.m_declared = intent.withLink({ 1, 0, "", planDigest("", intent.canonicalBody()) });
    const ini_document body = bodyOf(intent);
    for (const auto& section : body.sections())
        plan.m_changes.push_back({ change_kind::add, section.name, "", "", "" });
    return plan;
}

change_plan change_plan::make(const declaration& inForce, const declaration& intent, std::uint64_t highestSeen)
{
    change_plan plan;
    const std::string base = inForce.digest();
    const std::uint64_t revision = std::max(highestSeen, inForce.link().revision) + 1;
    plan.m_declared = intent.withLink({ revision, inForce.link().revision, base, planDigest(base, intent.canonicalBody()) });
    plan.compare(inForce);
    plan.assessOwners(inForce);
    plan.assessPools(inForce);
    plan.assessGroups(inForce);
    return plan;
}

void change_plan::compare(const declaration& inForce)
{
    const ini_document before = bodyOf(inForce);
    const ini_document after = bodyOf(m_declared);
    for (const auto& section : after.sections()) {
        const ini_section* oldSection = before.find(section.name);
        if (!oldSection) {
            m_changes.push_back({ change_kind::add, section.name, "", "", "" });
            continue;
        }
        for (const auto& entry : section.entries) {
            const ini_entry* oldEntry = oldSection->find(entry.key);
            const std::string value = oldEntry ? oldEntry->value : "";
            if (value != entry.value)
                m_changes.push_back({ change_kind::modify, section.name, entry.key, value, entry.value });
        }
    }
    for (const auto& section : before.sections()) {
        if (!after.find(section.name))
            m_changes.push_back({ change_kind::remove, section.name, "", "", "" });
    }
}

void change_plan::assessOwners(const declaration& inForce)
{
    for (const auto& service : m_declared.services()) {
        const auto before = inForce.ownersOf(service.name);
        const auto after = m_declared.ownersOf(service.name);
        if (before == after || before.empty())
            continue;
        int moved = 0;
        for (int i = 0; i < sampledIds; ++i) {
            const std::string id = std::to_string(i);
            moved += rendezvousPick(id, before) != rendezvousPick(id, after) ? 1 : 0;
        }
        m_costs.push_back(service.name + ": " + percent(moved, sampledIds) + " of the ids that may run only once change their owner; they are refused as not run until the handover");
    }
    if (m_declared.rules().idLife > inForce.rules().idLife)
        m_warnings.emplace_back("a longer id_life_ms: agents that have run for less than that refuse ids until it has passed since their start");
    for (const auto& backend : inForce.backends()) {
        const backend_declaration* after = m_declared.findBackend(backend.name);
        const bool ends = !backend.stopped && (!after || after->stopped);
        if (ends && !backend.draining)
            m_warnings.push_back(backend.name + " is removed or stopped without draining first: its ids are refused for " + std::to_string(m_declared.rules().idLife.count()) + " ms");
        if (after && !backend.draining && after->draining)
            m_costs.push_back(backend.name + " drains: it accepts no new requests and finishes those in flight");
    }
}

void change_plan::assessPools(const declaration& inForce)
{
    for (const auto& service : m_declared.services()) {
        const auto after = zonesOf(m_declared, service.name);
        if (after.empty())
            m_warnings.push_back(service.name + " has no backend server left");
        for (const auto& zone : zonesOf(inForce, service.name)) {
            if (!after.empty() && !after.contains(zone))
                m_warnings.push_back(service.name + " has no backend server left in zone " + zone);
        }
    }
}

void change_plan::assessGroups(const declaration& inForce)
{
    for (const auto& group : m_declared.groups()) {
        const auto before = std::find_if(inForce.groups().begin(), inForce.groups().end(), [&](const auto& old) { return old.name == group.name; });
        if (before == inForce.groups().end() || *before == group)
            continue;
        if (before->ranks != group.ranks)
            m_costs.push_back("group " + group.name + ": its ranks change; on each new rank up to " + std::to_string(group.slotsPerRank) + " experts per layer are loaded");
    }
}

std::string change_plan::toText() const
{
    std::ostringstream out;
    const declaration_link& link = m_declared.link();
    out << "Plan for revision " << link.revision << ", based on revision " << link.baseRevision << "\n";
    if (m_changes.empty())
        out << "  no changes\n";
    for (const auto& change : m_changes) {
        switch (change.kind) {
        case change_kind::add:
            out << "  + [" << change.section << "]\n";
            break;
        case change_kind::remove:
            out << "  - [" << change.section << "]\n";
            break;
        case change_kind::modify:
            out << "  ~ [" << change.section << "] " << change.key << ": " << change.before << " -> " << change.after << "\n";
            break;
        }
    }
    for (const auto& cost : m_costs)
        out << "  cost: " << cost << "\n";
    for (const auto& warning : m_warnings)
        out << "  warning: " << warning << "\n";
    return out.str();
}

} // namespace rampgap
