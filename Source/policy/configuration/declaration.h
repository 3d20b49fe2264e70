// The operators' declaration: what runs where, under which rules.
#pragma once

#include "policy/common/verdict.h"
#include "policy/configuration/ini_document.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace rampgap {

// The largest declaration that the configuration service can hold, in bytes.
inline constexpr std::size_t maxDeclarationBytes = 1'000'000;

// Position of a declaration in the chain of revisions.
struct declaration_link {
    std::uint64_t revision = 0;
    std::uint64_t baseRevision = 0;
    std::string baseDigest;
    std::string planDigest;

    bool operator==(const declaration_link&) const = default;
};

// Rules that apply to all services.
struct rule_set {
    milliseconds idLife { 600'000 };
    milliseconds defaultTimeout { 30'000 };
    int retryPercent = 10;

    bool operator==(const rule_set&) const = default;
};

struct workspace_declaration {
    std::string name;
    std::string keyDigest;
    int priority = 5;
    double requestsPerSecond = 0;
    int concurrent = 0;
    std::vector<std::string> uses;

    bool operator==(const workspace_declaration&) const = default;
};

// A model or plain service; `path` is set for services only.
struct service_declaration {
    std::string name;
    std::string path;
    bool notRepeatable = false;

    bool isModel() const { return path.empty(); }
    bool operator==(const service_declaration&) const = default;
};

// One backend server. `stopped` is the operator's assurance that it no longer runs.
struct backend_declaration {
    std::string name;
    std::string zone;
    std::string address;
    std::string peerAddress;
    std::string serves;
    int slots = 8;
    bool checksFencing = false;
    bool stopped = false;
    bool draining = false;

    bool operator==(const backend_declaration&) const = default;
};

// An expert-parallel group: ranks in order, each on a backend server.
struct group_declaration {
    std::string name;
    std::string model;
    std::vector<std::string> ranks;
    int experts = 0;
    int slotsPerRank = 0;
    double skewWeight = 1;
    double costWeight = 1;

    bool operator==(const group_declaration&) const = default;
};

class declaration {
public:
    using parse_result = boost::outcome_v2::checked<declaration, std::vector<input_error>>;

    // Parses and checks every section and the references between them.
    static parse_result parse(std::string_view text, std::string file);

    const declaration_link& link() const { return m_link; }
    const rule_set& rules() const { return m_rules; }
    const std::vector<workspace_declaration>& workspaces() const { return m_workspaces; }
    const std::vector<service_declaration>& services() const { return m_services; }
    const std::vector<backend_declaration>& backends() const { return m_backends; }
    const std::vector<group_declaration>& groups() const { return m_groups; }

    const backend_declaration* findBackend(std::string_view name) const;
    const service_declaration* findService(std::string_view name) const;
    const workspace_declaration* findWorkspaceByDigest(std::string_view keyDigest) const;

    // Names of the backends that serve `service` and are not stopped.
    std::vector<std::string> poolOf(std::string_view service) const;
    // Names of the agents among which rendezvous hashing picks the owner of a request id.
    std::vector<std::string> ownersOf(std::string_view service) const;

    // The text without the [declaration] section, in canonical order and spacing.
    std::string canonicalBody() const;
    // The whole text in canonical form.
    std::string canonicalText() const;
    std::string digest() const;

    // The same declaration with one backend draining; empty if there is none of the name.
    std::optional<declaration> withDraining(std::string_view backend) const;
    // The same body at another position in the chain.
    declaration withLink(declaration_link) const;

    bool operator==(const declaration&) const = default;

private:
    declaration_link m_link;
    rule_set m_rules;
    std::vector<workspace_declaration> m_workspaces;
    std::vector<service_declaration> m_services;
    std::vector<backend_declaration> m_backends;
    std::vector<group_declaration> m_groups;
};

// The digest that a confirmed plan carries: it binds the body to its base.
std::string planDigest(std::string_view baseDigest, std::string_view canonicalBody);

} // namespace rampgap
