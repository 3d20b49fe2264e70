#include "policy/routing_policy.h"

#include "policy/prefix_table.h"
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
    constexpr std::array<double, 2> homeConfidence { 0.9, 0.5 };
    constexpr std::uint64_t homeSpread = 0x9E3779B97F4A7C15;

    bool contains(std::span<const backend_id> ids, backend_id id)
    {
        return std::find(ids.begin(), ids.end(), id) != ids.end();
    }

    bool eligible(const routing_question& question, const backend_table& table, backend_id id)
    {
        return !contains(question.tried, id) && table.usable(id, question.now);
    }

    // If all look dead, the view is doubted rather than the pool emptied. A backend that
    // left by itself may be back; if it is not, it refuses the request as not run.
    bool eligibleInDoubt(const routing_question& question, const backend_table& table, backend_id id)
    {
        return !contains(question.tried, id) && table.mayBeBack(id);
    }

    backend_id drawFrom(const std::vector<backend_id>& pool, const routing_question& question, const backend_table& table, std::mt19937_64& random)
    {
        if (pool.empty())
            return noBackend;
        for (int draw = 0; draw < maxDraws; ++draw) {
            const backend_id id = pool[random() % pool.size()];
            if (eligible(question, table, id))
                return id;
        }
        const std::size_t offset = random() % pool.size();
        for (std::size_t i = 0; i < pool.size(); ++i) {
            const backend_id id = pool[(offset + i) % pool.size()];
            if (eligible(question, table, id))
                return id;
        }
        return noBackend;
    }

    // Of those in doubt, the one whose bad sign is the oldest.
    backend_id anyInDoubt(const routing_question& question, const backend_table& table)
    {
        backend_id best = noBackend;
        for (const backend_id id : table.pool(question.service)) {
            if (!eligibleInDoubt(question, table, id))
                continue;
            if (best == noBackend || table.view(id).suspectUntil < table.view(best).suspectUntil)
                best = id;
        }
        return best;
    }

    class round_robin : public routing_policy {
    public:
        backend_id choose(const routing_question& question, const backend_table& table, std::mt19937_64&) override
        {
            const auto& pool = table.pool(question.service);
            for (std::size_t i = 0; i < pool.size(); ++i) {
                const backend_id id = pool[m_next++ % pool.size()];
                if (eligible(question, table, id))
                    return id;
            }
            return anyInDoubt(question, table);
        }

    private:
        std::size_t m_next = 0;
    };

    class least_outstanding : public routing_policy {
    public:
        backend_id choose(const routing_question& question, const backend_table& table, std::mt19937_64&) override
        {
            backend_id best = noBackend;
            double least = std::numeric_limits<double>::infinity();
            for (const backend_id id : table.pool(question.service)) {
                if (!eligible(question, table, id) || table.outstanding(id, question.now) >= least)
                    continue;
                best = id;
                least = table.outstanding(id, question.now);
            }
            return best == noBackend ? anyInDoubt(question, table) : best;
        }
    };

    class random_two : public routing_policy {
    public:
        backend_id choose(const routing_question& question, const backend_table& table, std::mt19937_64& random) override
        {
            const auto& pool = table.pool(question.service);
            const backend_id first = drawFrom(pool, question, table, random);
            if (first == noBackend)
                return anyInDoubt(question, table);
            const backend_id second = drawFrom(pool, question, table, random);
            return table.outstanding(second, question.now) < table.outstanding(first, question.now) ? second : first;
        }
    };

    class prefix_affinity : public routing_policy {
    public:
        backend_id choose(const routing_question& question, const backend_table& table, std::mt19937_64& random) override
        {
            const auto& pool = table.pool(question.service);
            if (!pool.empty() && question.prefix != 0) {
                const backend_id home = pool[question.prefix % pool.size()];
                if (eligible(question, table, home))
                    return home;
            }
            const backend_id drawn = drawFrom(pool, question, table, random);
            return drawn == noBackend ? anyInDoubt(question, table) : drawn;
        }
    };

    // The least of predicted wait, distance and expected prefill, over two random
    // candidates of the own zone, one of the whole pool, those that lately got the prefix
    // and the prefix's two hash homes, on which all entry VMs agree without a word.
    class scored : public routing_policy {
    public:
        backend_id choose(const routing_question& question, const backend_table& table, std::mt19937_64& random) override
        {
            best_choice best;
            const auto guesses = m_prefixes.find(question.prefix, question.now);
            for (const auto& guess : guesses) {
                if (guess.backend != noBackend && eligible(question, table, guess.backend) && table.view(guess.backend).serves == question.service)
                    best.offer(guess.backend, score(question, table, guess.backend) - prefixSavingMs * guess.confidence);
            }
            const auto& pool = table.pool(question.service);
            for (std::size_t i = 0; i < homeConfidence.size() && question.prefix != 0 && !pool.empty(); ++i) {
                const backend_id home = pool[(question.prefix * (i + 1) * homeSpread >> 32) % pool.size()];
                if (eligible(question, table, home))
                    best.offer(home, score(question, table, home) - prefixSavingMs * homeConfidence[i]);
            }
            for (int i = 0; i < candidateCount; ++i)
                offer(best, drawFrom(table.zonePool(question.service), question, table, random), question, table);
            offer(best, drawFrom(table.pool(question.service), question, table, random), question, table);
            return best.id == noBackend ? anyInDoubt(question, table) : best.id;
        }

        void notePlaced(std::uint64_t prefix, backend_id backend, instant now) override
        {
            if (prefix != 0)
                m_prefixes.note(prefix, backend, now);
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

        static double score(const routing_question& question, const backend_table& table, backend_id id)
        {
            const double distance = table.view(id).sameZone ? 0 : otherZoneMs;
            return table.predictedWaitMs(id, question.now) + distance;
        }

        static void offer(best_choice& best, backend_id id, const routing_question& question, const backend_table& table)
        {
            if (id != noBackend)
                best.offer(id, score(question, table, id));
        }

        prefix_table m_prefixes;
    };

} // namespace

void routing_policy::notePlaced(std::uint64_t, backend_id, instant)
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
