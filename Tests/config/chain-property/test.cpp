// All processes have the same chain of revisions, under a stale service, lost messages, restarts and cuts.

#include "policy/common/digest.h"
#include "policy/configuration/revision_chain.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <map>
#include <rapidcheck.h>

using namespace rampgap;

namespace {

constexpr std::size_t nodeCount = 5;
constexpr std::size_t window = 8;

declaration intent(int number)
{
    return declaration::parse("[rules]\nid_life_ms = " + std::to_string(1'000 + number) + "\n", "test").value();
}

declaration confirmed(int number, std::uint64_t revision, std::uint64_t baseRevision, const std::string& base)
{
    const declaration body = intent(number);
    return body.withLink({ revision, baseRevision, base, planDigest(base, body.canonicalBody()) });
}

// Model of a published history, processes that read it, and messages between them.
class fleet_model {
public:
    fleet_model()
        : m_nodes(nodeCount)
        , m_highest(nodeCount, 0)
    {
        publish(confirmed(0, 1, 0, "").canonicalText());
    }

    void step()
    {
        const std::size_t node = *rc::gen::inRange<std::size_t>(0, nodeCount);
        switch (*rc::gen::inRange(0, 10)) {
        case 0:
        case 1:
            operate(node);
            break;
        case 2:
            m_nodes[node] = revision_chain();
            m_highest[node] = 0;
            break;
        case 3:
        case 4:
        case 5:
            read(node, *rc::gen::inRange<std::size_t>(0, m_history.size() + 1));
            break;
        case 6:
            deliverLate(node);
            break;
        default:
            exchange(node, *rc::gen::inRange<std::size_t>(0, nodeCount));
        }
    }

    void heal()
    {
        for (std::size_t node = 0; node < nodeCount; ++node)
            read(node, m_history.size());
        for (std::size_t node = 0; node < nodeCount; ++node)
            exchange(node, 0);
    }

    // The revision in force at a process that read everything in order.
    std::uint64_t reference() const
    {
        revision_chain chain;
        for (const auto& text : m_history)
            chain.offer(text, document_source::service);
        return chain.revision();
    }

    const std::vector<revision_chain>& nodes() const { return m_nodes; }

private:
    void publish(std::string text) { m_history.push_back(std::move(text)); }

    // An operator acts through one process, whose state may be stale.
    void operate(std::size_t node)
    {
        const revision_chain& chain = m_nodes[node];
        if (!chain.inForce())
            return;
        const std::uint64_t revision = m_history.size() + 1;
        const int number = *rc::gen::inRange(1, 1'000);
        const declaration good = confirmed(number, revision, chain.revision(), chain.digest());
        switch (*rc::gen::inRange(0, 6)) {
        case 0:
            publish(good.withLink({ revision, chain.revision(), chain.digest(), "" }).canonicalText());
            break;
        case 1:
            publish(intent(number + 1).withLink(good.link()).canonicalText());
            break;
        case 2:
            publish("[rules\nbroken");
            break;
        default:
            publish(good.canonicalText());
        }
    }

    // A node reads the service while that lists only the first `visible` documents, as a stale service does.
    void read(std::size_t node, std::size_t visible)
    {
        std::vector<published_document> seen;
        for (std::size_t i = 0; i < visible; ++i)
            seen.push_back({ i + 1, m_history[i] });
        if (m_nodes[node].inForce()) {
            // Only documents later than any seen before; a stale service shows none.
            const std::size_t from = std::min<std::size_t>(m_nodes[node].highestSeen(), visible);
            for (std::size_t i = from; i < visible; ++i)
                m_nodes[node].offerPublished(seen[i]);
        } else {
            for (std::size_t count = window;; count *= window) {
                const bool whole = seen.size() < count;
                m_nodes[node].offerWindow(whole ? seen : std::vector<published_document>(seen.end() - static_cast<std::ptrdiff_t>(count), seen.end()), whole);
                if (whole || m_nodes[node].inForce())
                    break;
            }
        }
        check(node);
    }

    void exchange(std::size_t to, std::size_t from)
    {
        for (const auto& text : m_nodes[from].after(m_nodes[to].revision())) {
            m_late.push_back(text);
            m_nodes[to].offer(text, document_source::peer);
        }
        check(to);
    }

    // A peer's message that arrives late or a second time.
    void deliverLate(std::size_t to)
    {
        if (m_late.empty())
            return;
        m_nodes[to].offer(m_late[*rc::gen::inRange<std::size_t>(0, m_late.size())], document_source::peer);
        check(to);
    }

    void check(std::size_t node)
    {
        const revision_chain& chain = m_nodes[node];
        RC_ASSERT(chain.revision() >= m_highest[node]);
        m_highest[node] = chain.revision();
        if (!chain.inForce())
            return;
        const auto known = m_digests.emplace(chain.revision(), chain.digest()).first;
        RC_ASSERT(known->second == chain.digest());
        RC_ASSERT(!chain.inForce()->link().planDigest.empty());
        RC_ASSERT(chain.inForce()->link().planDigest == planDigest(chain.inForce()->link().baseDigest, chain.inForce()->canonicalBody()));
    }

    std::vector<std::string> m_history;
    std::vector<std::string> m_late;
    std::vector<revision_chain> m_nodes;
    std::vector<std::uint64_t> m_highest;
    std::map<std::uint64_t, std::string> m_digests;
};

} // namespace

TEST_CASE("all processes have one chain, none goes back to an earlier revision, and they agree after healing")
{
    CHECK(rc::check("one chain", [] {
        fleet_model fleet;
        for (int i = 0; i < 120; ++i)
            fleet.step();
        fleet.heal();
        for (const auto& node : fleet.nodes())
            RC_ASSERT(node.revision() == fleet.reference());
    }));
}

TEST_CASE("of two declarations with the same base one is accepted, the other is refused with a reason")
{
    revision_chain chain;
    chain.offer(confirmed(1, 1, 0, "").canonicalText(), document_source::service);
    const std::string base = chain.digest();
    CHECK((chain.offer(confirmed(2, 2, 1, base).canonicalText(), document_source::service).kind == offer_kind::accepted));
    const auto lost = chain.offer(confirmed(3, 3, 1, base).canonicalText(), document_source::service);
    CHECK((lost.kind == offer_kind::refused));
    CHECK(lost.reason.find("plan again") != std::string::npos);
    const auto sameNumber = chain.offer(confirmed(4, 2, 1, base).canonicalText(), document_source::service);
    CHECK((sameNumber.kind == offer_kind::refused));
    CHECK(chain.revision() == 2);
    CHECK(chain.refusals().size() == 2);
}

TEST_CASE("invalid documents are refused whatever is in force")
{
    revision_chain chain;
    const declaration good = confirmed(1, 1, 0, "");
    const auto refused = [&](const std::string& text) { return chain.offer(text, document_source::peer).kind == offer_kind::refused; };
    CHECK(refused(good.withLink({ 1, 0, "", "" }).canonicalText()));
    CHECK(chain.refusals().back().reason.find("not confirmed") == 0);
    CHECK(refused(intent(9).withLink(good.link()).canonicalText()));
    CHECK(refused(good.canonicalText().substr(0, good.canonicalText().size() / 2)));
    CHECK(refused("no ini"));
    CHECK(refused(std::string(maxDeclarationBytes + 1, ';')));
    CHECK(refused(good.withLink({ 1, 1, "", good.link().planDigest }).canonicalText()));
    CHECK(refused(good.withLink({ 0, 0, "", good.link().planDigest }).canonicalText()));
    CHECK(chain.inForce() == nullptr);
}
