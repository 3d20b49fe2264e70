// One published configuration: routes, services, workspaces and limits, as values.
#pragma once

#include "policy/common/verdict.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace rampgap {

// Whether the requests of a route may be repeated.
enum class repeat_rule { idempotent,
    non_idempotent,
    streaming };

struct weighted_service {
    std::string service;
    int weight = 1;

    bool operator==(const weighted_service&) const = default;
};

struct route_spec {
    std::string name;
    std::string host;
    // Begins and ends with a slash.
    std::string pathPrefix;
    repeat_rule repeat = repeat_rule::non_idempotent;
    // Longest time from a request's arrival to its final answer; a caller may set an earlier deadline.
    milliseconds timeout { 0 };
    // Target for the time until the answer, or the first byte of a stream, arrives; within it the answer has its full value.
    milliseconds latencyTarget { 0 };
    // Target for the longest pause between two events of a stream; 0 if none is set.
    milliseconds gapTarget { 0 };
    // 0 is the most urgent.
    int priority = 0;
    std::vector<weighted_service> services;
    int maxAttempts = 1;
    bool isPublic = false;
    bool resumable = false;

    // True if a request may be sent to a second backend after it may have run.
    bool repeatable() const { return repeat == repeat_rule::idempotent || (repeat == repeat_rule::streaming && resumable); }
    bool operator==(const route_spec&) const = default;
};

// Published performance figures of a model engine, from which the duration of a pass is computed.
struct engine_costs {
    int capacity = 1;
    std::int64_t cacheTokens = 0;
    // Steps that a pass makes if any sequence generates tokens; each step generates one token a sequence.
    int stepsPerPass = 1;
    double stepMs = 0;
    double perSequenceMs = 0;
    // Per 1,000 tokens of context of each generating sequence.
    double contextMsPerThousand = 0;
    double prefillTokensPerMs = 1;
    // Attention cost of the prefill, per million pairs of a token and an earlier one.
    double pairsMsPerMillion = 0;
    // Most prompt tokens processed in one step.
    int prefillChunk = 512;
    double usualPromptTokens = 0;
    double usualAnswerTokens = 0;
    // Number of sets of expert layers; the layers of a set share one placement.
    int layerSets = 0;
    int experts = 0;
    // Expert slots of one rank for one layer set.
    int slotsPerRank = 0;
    // Experts of a layer set that one preparation may add to a rank.
    int newExpertsPerPrepare = 0;
    double expertMb = 0;
    double linkMbps = 0;
    // Share of the work for tokens that is done by experts.
    double expertShare = 0;
    // How old the state that an engine reports to other machines may be.
    milliseconds reportLag { 500 };

    bool operator==(const engine_costs&) const = default;
};

struct service_spec {
    std::string name;
    std::string healthPath;
    int maxConnections = 0;
    // Requests per second that a cold server of the service accepts from all entry VMs together; 0: any number.
    double coldRequestsPerSecond = 0;
    // Set for model engines only.
    bool isModel = false;
    engine_costs costs;

    bool operator==(const service_spec&) const = default;
};

// What a caller may send, and how long it may take.
struct caller_limits {
    std::uint32_t maxHeaderBytes = 16'384;
    std::uint64_t maxBodyBytes = 1'048'576;
    milliseconds headerTimeout { 10'000 };
    milliseconds idleTimeout { 60'000 };

    bool operator==(const caller_limits&) const = default;
};

struct workspace_spec {
    std::string name;
    std::vector<std::string> keys;
    // Overrides the route's priority if it is 0 or more.
    int priority = -1;

    bool operator==(const workspace_spec&) const = default;
};

struct fleet_contents {
    std::uint64_t version = 0;
    std::vector<route_spec> routes;
    std::vector<service_spec> services;
    std::vector<workspace_spec> workspaces;
    caller_limits limits;

    bool operator==(const fleet_contents&) const = default;
};

// Immutable; looked up by host and path, by key and by name.
class fleet_configuration {
public:
    // Fails if a route names no service or an unknown one, or if two routes have the same host and prefix.
    static result<std::shared_ptr<const fleet_configuration>> make(fleet_contents);

    std::uint64_t version() const { return m_contents.version; }
    const fleet_contents& contents() const { return m_contents; }
    // The route with the longest prefix of the path; null if there is none.
    const route_spec* findRoute(std::string_view host, std::string_view path) const;
    // The workspace that holds the key; null if none does.
    const workspace_spec* findWorkspace(std::string_view key) const;
    // Strictest gap target of the routes to a service; 0 if none has one.
    milliseconds strictestGap(const std::string& service) const;
    // True if requests of different priority may go to the service.
    bool prioritiesDiffer(const std::string& service) const { return m_servicesOfManyPriorities.contains(service); }
    const service_spec* findService(std::string_view name) const;
    // True if requests need a key unless their route is public.
    bool usesKeys() const { return !m_contents.workspaces.empty(); }

private:
    explicit fleet_configuration(fleet_contents);

    void indexPriorities();

    fleet_contents m_contents;
    std::unordered_set<std::string> m_servicesOfManyPriorities;
    std::unordered_map<std::string, std::size_t> m_routes;
    std::unordered_map<std::string, std::size_t> m_keys;
    std::unordered_map<std::string, std::size_t> m_services;
};

// The service for one request of the route; `draw` is uniform in [0, 1).
const std::string& pickService(const route_spec&, double draw);

} // namespace rampgap
