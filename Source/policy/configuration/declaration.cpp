#include "policy/configuration/declaration.h"

#include "policy/common/digest.h"
#include "policy/configuration/section_reader.h"
#include <algorithm>
#include <limits>
#include <set>
#include <sstream>

namespace rampgap {

namespace {

    constexpr number_range revisionRange { 0, std::numeric_limits<std::int64_t>::max(), "revisions" };
    constexpr number_range millisecondRange { 1, 86'400'000, "milliseconds" };
    constexpr number_range percentRange { 0, 100, "percent" };
    constexpr number_range priorityRange { 1, 9, "priority levels" };
    constexpr number_range concurrencyRange { 0, 1'000'000, "requests" };
    constexpr number_range slotRange { 1, 100'000, "requests at once" };
    constexpr number_range expertRange { 1, 65'536, "experts" };
    constexpr double maxRate = 1e9;
    constexpr double maxWeight = 1e9;
    constexpr std::size_t digestLength = 64;

    template <class Item>
    const Item* findByName(const std::vector<Item>& items, std::string_view name)
    {
        const auto found = std::find_if(items.begin(), items.end(), [&](const Item& item) { return item.name == name; });
        return found == items.end() ? nullptr : &*found;
    }

    template <class Item>
    void sortByName(std::vector<Item>& items)
    {
        std::sort(items.begin(), items.end(), [](const Item& a, const Item& b) { return a.name < b.name; });
    }

    std::string joinList(const std::vector<std::string>& names)
    {
        std::string text;
        for (const auto& name : names)
            text += (text.empty() ? "" : ", ") + name;
        return text;
    }

    std::string yesNo(bool value) { return value ? "yes" : "no"; }

    declaration_link readLink(section_reader& reader)
    {
        declaration_link link;
        link.revision = static_cast<std::uint64_t>(reader.number("revision", 0, revisionRange));
        link.baseRevision = static_cast<std::uint64_t>(reader.number("base_revision", 0, revisionRange));
        link.baseDigest = reader.text("base_digest", "");
        link.planDigest = reader.text("plan_digest", "");
        return link;
    }

    rule_set readRules(section_reader& reader)
    {
        rule_set rules;
        rules.idLife = milliseconds(reader.number("id_life_ms", rules.idLife.count(), millisecondRange));
        rules.defaultTimeout = milliseconds(reader.number("default_timeout_ms", rules.defaultTimeout.count(), millisecondRange));
        rules.retryPercent = static_cast<int>(reader.number("retry_percent", rules.retryPercent, percentRange));
        return rules;
    }

    workspace_declaration readWorkspace(section_reader& reader, std::string name)
    {
        workspace_declaration workspace;
        workspace.name = std::move(name);
        workspace.keyDigest = reader.requiredText("key_digest");
        if (!workspace.keyDigest.empty() && workspace.keyDigest.size() != digestLength)
            reader.reject("key_digest", "not a SHA-256 digest", "write the 64 digits that 'rampgapctl digest KEY' prints");
        workspace.priority = static_cast<int>(reader.number("priority", workspace.priority, priorityRange));
        workspace.requestsPerSecond = reader.real("requests_per_second", 0, 0, maxRate);
        workspace.concurrent = static_cast<int>(reader.number("concurrent", 0, concurrencyRange));
        workspace.uses = reader.list("uses");
        return workspace;
    }

    service_declaration readPlainService(section_reader& reader, std::string name)
    {
        service_declaration service { std::move(name), reader.requiredText("path"), reader.flag("not_repeatable", false) };
        if (!service.path.empty() && service.path[0] != '/')
            reader.reject("path", "'" + service.path + "' does not start with /", "write it as /name");
        return service;
    }

    backend_declaration readBackend(section_reader& reader, std::string name)
    {
        backend_declaration backend;
        backend.name = std::move(name);
        backend.zone = reader.requiredText("zone");
        backend.address = reader.address("address", "", false);
        backend.peerAddress = reader.address("peer_address", "", false);
        backend.serves = reader.requiredText("serves");
        backend.slots = static_cast<int>(reader.number("slots", backend.slots, slotRange));
        backend.checksFencing = reader.flag("checks_fencing", false);
        backend.stopped = reader.flag("stopped", false);
        backend.draining = reader.flag("draining", false);
        return backend;
    }

    group_declaration readGroup(section_reader& reader, std::string name)
    {
        group_declaration group;
        group.name = std::move(name);
        group.model = reader.requiredText("model");
        group.ranks = reader.list("ranks");
        group.experts = static_cast<int>(reader.number("experts", 1, expertRange));
        group.slotsPerRank = static_cast<int>(reader.number("slots_per_rank", 1, expertRange));
        group.skewWeight = reader.real("skew_weight", 1, 0, maxWeight);
        group.costWeight = reader.real("cost_weight", 1, 0, maxWeight);
        if (group.ranks.empty())
            reader.reject("ranks", "no ranks", "list the backends of the group in rank order");
        if (group.ranks.size() * static_cast<std::size_t>(group.slotsPerRank) < static_cast<std::size_t>(group.experts))
            reader.reject("slots_per_rank", "fewer slots than experts", "raise slots_per_rank or add ranks");
        return group;
    }

    // Reports references to names that are not declared.
    class reference_check {
    public:
        reference_check(const ini_document& document, std::vector<input_error>& errors)
            : m_document(document)
            , m_errors(errors)
        {
        }

        void require(bool found, const std::string& section, std::string_view key, const std::string& name, std::string_view kind)
        {
            if (found)
                return;
            const ini_section* referrer = m_document.find(section);
            const ini_entry* entry = referrer ? referrer->find(key) : nullptr;
            m_errors.push_back({ m_document.file(), entry ? entry->line : 0, "[" + section + "] " + std::string(key),
                "no " + std::string(kind) + " named '" + name + "'", "declare it or correct the name" });
        }

    private:
        const ini_document& m_document;
        std::vector<input_error>& m_errors;
    };

} // namespace

declaration::parse_result declaration::parse(std::string_view text, std::string file)
{
    if (text.size() > maxDeclarationBytes)
        return std::vector<input_error> { { std::move(file), 0, "", "larger than 1,000,000 bytes", "split the fleet into several deployments" } };
    auto parsed = ini_document::parse(text, std::move(file));
    if (!parsed)
        return parsed.error();
    const ini_document& document = parsed.value();

    declaration loaded;
    std::vector<input_error> errors;
    for (const auto& section : document.sections()) {
        section_reader reader(document, section, errors);
        const auto space = section.name.find(' ');
        const std::string kind = section.name.substr(0, space);
        const std::string name = space == std::string::npos ? "" : section.name.substr(space + 1);
        if (kind == "declaration")
            loaded.m_link = readLink(reader);
        else if (kind == "rules")
            loaded.m_rules = readRules(reader);
        else if (name.empty())
            errors.push_back({ document.file(), section.line, "[" + section.name + "]", "unknown section or section without a name", "write [workspace NAME], [model NAME], [service NAME], [backend NAME] or [group NAME]" });
        else if (kind == "workspace")
            loaded.m_workspaces.push_back(readWorkspace(reader, name));
        else if (kind == "model")
            loaded.m_services.push_back({ name, "", reader.flag("not_repeatable", false) });
        else if (kind == "service")
            loaded.m_services.push_back(readPlainService(reader, name));
        else if (kind == "backend")
            loaded.m_backends.push_back(readBackend(reader, name));
        else if (kind == "group")
            loaded.m_groups.push_back(readGroup(reader, name));
        else
            errors.push_back({ document.file(), section.line, "[" + section.name + "]", "unknown kind of section", "use workspace, model, service, backend or group" });
        reader.rejectUnknown();
    }

    reference_check check(document, errors);
    for (const auto& workspace : loaded.m_workspaces) {
        for (const auto& name : workspace.uses)
            check.require(loaded.findService(name), "workspace " + workspace.name, "uses", name, "model or service");
    }
    for (const auto& backend : loaded.m_backends)
        check.require(loaded.findService(backend.serves), "backend " + backend.name, "serves", backend.serves, "model or service");
    for (const auto& group : loaded.m_groups) {
        check.require(loaded.findService(group.model), "group " + group.name, "model", group.model, "model");
        for (const auto& rank : group.ranks)
            check.require(loaded.findBackend(rank), "group " + group.name, "ranks", rank, "backend");
    }
    if (!errors.empty())
        return errors;

    sortByName(loaded.m_workspaces);
    sortByName(loaded.m_services);
    sortByName(loaded.m_backends);
    sortByName(loaded.m_groups);
    return loaded;
}

const backend_declaration* declaration::findBackend(std::string_view name) const
{
    return findByName(m_backends, name);
}

const service_declaration* declaration::findService(std::string_view name) const
{
    return findByName(m_services, name);
}

const workspace_declaration* declaration::findWorkspaceByDigest(std::string_view keyDigest) const
{
    const auto found = std::find_if(m_workspaces.begin(), m_workspaces.end(), [&](const auto& workspace) { return workspace.keyDigest == keyDigest; });
    return found == m_workspaces.end() ? nullptr : &*found;
}

std::vector<std::string> declaration::poolOf(std::string_view service) const
{
    std::vector<std::string> names;
    for (const auto& backend : m_backends) {
        if (backend.serves == service && !backend.stopped)
            names.push_back(backend.name);
    }
    return names;
}

std::vector<std::string> declaration::ownersOf(std::string_view service) const
{
    std::vector<std::string> names;
    for (const auto& backend : m_backends) {
        if (backend.serves == service && !backend.stopped && !backend.draining)
            names.push_back(backend.name);
    }
    return names;
}

std::string declaration::canonicalBody() const
{
    std::ostringstream out;
    out << "[rules]\nid_life_ms = " << m_rules.idLife.count() << "\ndefault_timeout_ms = " << m_rules.defaultTimeout.count()
        << "\nretry_percent = " << m_rules.retryPercent << "\n";
    for (const auto& workspace : m_workspaces) {
        out << "\n[workspace " << workspace.name << "]\nkey_digest = " << workspace.keyDigest << "\npriority = " << workspace.priority
            << "\nrequests_per_second = " << workspace.requestsPerSecond << "\nconcurrent = " << workspace.concurrent
            << "\nuses = " << joinList(workspace.uses) << "\n";
    }
    for (const auto& service : m_services) {
        out << (service.isModel() ? "\n[model " : "\n[service ") << service.name << "]\n";
        if (!service.isModel())
            out << "path = " << service.path << "\n";
        out << "not_repeatable = " << yesNo(service.notRepeatable) << "\n";
    }
    for (const auto& backend : m_backends) {
        out << "\n[backend " << backend.name << "]\nzone = " << backend.zone << "\naddress = " << backend.address
            << "\npeer_address = " << backend.peerAddress << "\nserves = " << backend.serves << "\nslots = " << backend.slots
            << "\nchecks_fencing = " << yesNo(backend.checksFencing) << "\nstopped = " << yesNo(backend.stopped)
            << "\ndraining = " << yesNo(backend.draining) << "\n";
    }
    for (const auto& group : m_groups) {
        out << "\n[group " << group.name << "]\nmodel = " << group.model << "\nranks = " << joinList(group.ranks)
            << "\nexperts = " << group.experts << "\nslots_per_rank = " << group.slotsPerRank
            << "\nskew_weight = " << group.skewWeight << "\ncost_weight = " << group.costWeight << "\n";
    }
    return out.str();
}

std::string declaration::canonicalText() const
{
    std::ostringstream out;
    out << "[declaration]\nrevision = " << m_link.revision << "\nbase_revision = " << m_link.baseRevision
        << "\nbase_digest = " << m_link.baseDigest << "\nplan_digest = " << m_link.planDigest << "\n\n"
        << canonicalBody();
    return out.str();
}

std::string declaration::digest() const
{
    return sha256Hex(canonicalText());
}

std::optional<declaration> declaration::withDraining(std::string_view name) const
{
    if (!findBackend(name))
        return std::nullopt;
    declaration changed = *this;
    for (auto& backend : changed.m_backends) {
        if (backend.name == name)
            backend.draining = true;
    }
    return changed;
}

declaration declaration::withLink(declaration_link link) const
{
    declaration linked = *this;
    linked.m_link = std::move(link);
    return linked;
}

std::string planDigest(std::string_view baseDigest, std::string_view canonicalBody)
{
    return sha256Hex(std::string(baseDigest) + "\n" + std::string(canonicalBody));
}

} // namespace rampgap
