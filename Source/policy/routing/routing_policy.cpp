#include "policy/routing/routing_policy.h"

#include "policy/routing/prefix_table.h"
#include <algorithm>
#include <limits>

namespace rampgap {

namespace {

    // Random draws for one candidate before a pool is scanned in order.
    constexpr int maxDraws = 4;
    constexpr int candidateCount = 2;
    // The round trip to another zone and the prefill that a cached prefix saves.
    constexpr double otherZoneMs = 3;
    constexpr double prefixSavingMs = 40;
    constexpr std::array<double, 2> hashedConfidence { 0.9, 0.5 };
    constexpr std::uint64_t hashMultiplier = 0x9E3779B97F4A7C15;

    bool contains(std::span<const backend_id> ids, backend_id id)
    {
        return std::find(ids.begin(), ids.end(), id) != ids.end();
    }

    bool eligible(const routing_input& input, const backend_table& table, backend_id id)
    {
        return !contains(input.tried, id) && table.usable(id, input.now);
    }

    // If all backends look unavailable, this VM's view is assumed to be wrong. A backend that left
    // by itself may have returned; if it has not, it refuses the request as not run.
    bool eligibleIfAllUnavailable(const routing_input& input, const backend_table& table, backend_id id)
    {
        return !contains(input.tried, id) && table.mayHaveReturned(id);
    }

    backend_id drawFrom(const std::vector<backend_id>& pool, const routing_input& input, const backend_table& table, std::mt19937_64& random)
    {
        if (pool.empty())
            return noBackend;
        for (int draw = 0; draw < maxDraws; ++draw) {
            const backend_id id = pool[random() % pool.size()];
            if (eligible(input, table, id))
                return id;
        }
        const std::size_t offset = random() % pool.size();
        for (std::size_t i = 0; i < pool.size(); ++i) {
            const backend_id id = pool[(offset + i) % pool.size()];
            if (eligible(input, table, id))
                return id;
        }
        return noBackend;
    }

    // Among the backends that look unavailable, the one whose time as suspect ends first.
    backend_id pickUnavailable(const routing_input& input, const backend_table& table)
    {
        backend_id best = noBackend;
        for (const backend_id id : table.pool(input.service)) {
            if (!eligibleIfAllUnavailable(input, table, id))
                continue;
            if (best == noBackend || table.view(id).suspectUntil < table.view(best).suspectUntil)
                best = id;
        }
        return best;
    }

    class round_robin : public routing_policy {
    public:
        backend_id choose(const routing_input& input, const backend_table& table, std::mt19937_64&) override
        {
            const auto& pool = table.pool(input.service);
            for (std::size_t i = 0; i < pool.size(); ++i) {
                const backend_id id = pool[m_next++ % pool.size()];
                if (eligible(input, table, id))
                    return id;
            }
            return pickUnavailable(input, table);
        }

    private:
        std::size_t m_next = 0;
    };

    class least_outstanding : public routing_policy {
    public:
        backend_id choose(const routing_input& input, const backend_table& table, std::mt19937_64&) override
        {
            backend_id best = noBackend;
            double least = std::numeric_limits<double>::infinity();
            for (const backend_id id : table.pool(input.service)) {
                if (!eligible(input, table, id) || table.outstanding(id, input.now) >= least)
                    continue;
                best = id;
                least = table.outstanding(id, input.now);
            }
            return best == noBackend ? pickUnavailable(input, table) : best;
        }
    };

    class random_two : public routing_policy {
    public:
        backend_id choose(const routing_input& input, const backend_table& table, std::mt19937_64& random) override
        {
            const auto& pool = table.pool(input.service);
            const backend_id first = drawFrom(pool, input, table, random);
            if (first == noBackend)
                return pickUnavailable(input, table);
            const backend_id second = drawFrom(pool, input, table, random);
            return table.outstanding(second, input.now) < table.outstanding(first, input.now) ? second : first;
        }
    };

    class prefix_affinity : public routing_policy {
    public:
        backend_id choose(const routing_input& input, const backend_table& table, std::mt19937_64& random) override
        {
            const auto& pool = table.pool(input.service);
            if (!pool.empty() && input.prefix != 0) {
                const backend_id hashed = pool[input.prefix % pool.size()];
                if (eligible(input, table, hashed))
                    return hashed;
            }
            const backend_id drawn = drawFrom(pool, input, table, random);
            return drawn == noBackend ? pickUnavailable(input, table) : drawn;
        }
    };

    // Minimizes predicted wait, distance and expected prefill over two random candidates of the own
    // zone, one of the whole pool, those that recently got the prefix, and the two that the prefix
    // hashes to, which are the same for all entry VMs.
    class scored : public routing_policy {
    public:
        backend_id choose(const routing_input& input, const backend_table& table, std::mt19937_64& random) override
        {
            best_choice best;
            const auto estimates = m_prefixes.find(input.prefix, input.now);
            for (const auto& estimate : estimates) {
                if (estimate.backend != noBackend && eligible(input, table, estimate.backend) && table.view(estimate.backend).serves == input.service)
                    best.offer(estimate.backend, score(input, table, estimate.backend) - prefixSavingMs * estimate.confidence);
            }
            const auto& pool = table.pool(input.service);
            for (std::size_t i = 0; i < hashedConfidence.size() && input.prefix != 0 && !pool.empty(); ++i) {
                const backend_id hashed = pool[(input.prefix * (i + 1) * hashMultiplier >> 32) % pool.size()];
                if (eligible(input, table, hashed))
                    best.offer(hashed, score(input, table, hashed) - prefixSavingMs * hashedConfidence[i]);
            }
            for (int i = 0; i < candidateCount; ++i)
                offer(best, drawFrom(table.zonePool(input.service), input, table, random), input, table);
            offer(best, drawFrom(table.pool(input.service), input, table, random), input, table);
            return best.id == noBackend ? pickUnavailable(input, table) : best.id;
        }

        void recordPlacement(std::uint64_t prefix, backend_id backend, instant now) override
        {
            if (prefix != 0)
                m_prefixes.record(prefix, backend, now);
        }

    private:
        struct best_choice {
            backend_id id = noBackend;
            double score = std::numeric_limits<double>::infinity();

            void offer(backend_id candidate, double value)
            {
                if (value >= score)
                    return;
                id = candidate;
                score = value;
            }
        };

        static double score(const routing_input& input, const backend_table& table, backend_id id)
        {
            const double distance = table.view(id).sameZone ? 0 : otherZoneMs;
            return table.predictedWaitMs(id, input.now) + distance;
        }

        static void offer(best_choice& best, backend_id id, const routing_input& input, const backend_table& table)
        {
            if (id != noBackend)
                best.offer(id, score(input, table, id));
        }

        prefix_table m_prefixes;
    };

} // namespace

void routing_policy::recordPlacement(std::uint64_t, backend_id, instant)
{
}

result<std::unique_ptr<routing_policy>> routing_policy::make(std::string_view name)
{
    if (name == "scored")
        return std::unique_ptr<routing_policy>(std::make_unique<scored>());
    if (name == "round_robin")
        return std::unique_ptr<routing_policy>(std::make_unique<round_robin>());
    if (name == "least_outstanding")
        return std::unique_ptr<routing_policy>(std::make_unique<least_outstanding>());
    if (name == "random_two")
        return std::unique_ptr<routing_policy>(std::make_unique<random_two>());
    if (name == "prefix_affinity")
        return std::unique_ptr<routing_policy>(std::make_unique<prefix_affinity>());
    return notRun(failure_reason::invalid_request, "no routing policy named '" + std::string(name) + "'");
}

} // namespace rampgap
