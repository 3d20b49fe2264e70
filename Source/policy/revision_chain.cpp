#include "policy/revision_chain.h"

#include <algorithm>
#include <optional>
#include <set>

namespace rampgap {

namespace {

    constexpr std::size_t keptRevisions = 8;
    constexpr std::size_t keptRefusals = 16;

    // The fault that makes a document unusable on its own, whatever is in force.
    std::string selfFault(const declaration& offered)
    {
        const declaration_link& link = offered.link();
        if (link.revision == 0)
            return "no revision: publish what 'rampgapctl confirm' printed";
        if (link.planDigest.empty())
            return "not confirmed: no plan_digest";
        if (link.planDigest != planDigest(link.baseDigest, offered.canonicalBody()))
            return "plan_digest does not match: the text was changed after it was confirmed";
        if (link.baseRevision >= link.revision)
            return "base_revision is not below revision";
        return {};
    }

} // namespace

offer_outcome revision_chain::refuse(std::uint64_t revision, std::string reason)
{
    offer_outcome outcome { offer_kind::refused, revision, std::move(reason) };
    if (std::find(m_refusals.begin(), m_refusals.end(), outcome) != m_refusals.end())
        return outcome;
    m_refusals.push_back(outcome);
    if (m_refusals.size() > keptRefusals)
        m_refusals.pop_front();
    return outcome;
}

void revision_chain::putInForce(declaration accepted, std::string digest)
{
    m_kept.push_back({ accepted.link().revision, accepted.link().baseRevision, accepted.canonicalText() });
    if (m_kept.size() > keptRevisions)
        m_kept.pop_front();
    m_digest = std::move(digest);
    m_inForce = std::make_shared<const declaration>(std::move(accepted));
}

offer_outcome revision_chain::offer(const std::string& text, document_source source)
{
    auto parsed = declaration::parse(text, "declaration");
    if (!parsed)
        return refuse(0, toString(parsed.error()));
    declaration& offered = parsed.value();
    const declaration_link link = offered.link();
    m_highestSeen = std::max(m_highestSeen, link.revision);
    std::string digest = offered.digest();
    if (digest == m_digest)
        return { offer_kind::known, link.revision, {} };
    if (const std::string fault = selfFault(offered); !fault.empty())
        return refuse(link.revision, fault);
    if (link.revision == revision())
        return refuse(link.revision, "another declaration is in force under this revision: plan again on it");
    if (link.revision < revision()) {
        // A stale service shows old revisions again; that is no fault of an operator.
        const bool lost = link.baseRevision < revision() && source == document_source::service
            && std::none_of(m_kept.begin(), m_kept.end(), [&](const kept_document& kept) { return kept.revision == link.revision; })
            && !m_kept.empty() && link.revision > m_kept.front().revision;
        return lost ? refuse(link.revision, "a later revision is in force: plan again on it") : offer_outcome { offer_kind::known, link.revision, {} };
    }
    const bool linked = m_inForce ? link.baseDigest == m_digest : link.baseRevision == 0;
    if (source == document_source::service && m_inForce && !linked)
        return refuse(link.revision, "not based on revision " + std::to_string(revision()) + ", which is in force: plan again on it");
    putInForce(std::move(offered), std::move(digest));
    return { offer_kind::accepted, link.revision, {} };
}

// Without memory it is unknown which of the latest documents was in force. One that
// another names as its base was: the operators' plan was made on it.
std::vector<offer_outcome> revision_chain::offerWindow(const std::vector<std::string>& texts)
{
    std::vector<offer_outcome> outcomes;
    if (!m_inForce) {
        std::set<std::string> bases;
        std::vector<std::optional<declaration>> documents;
        for (const auto& text : texts) {
            auto parsed = declaration::parse(text, "declaration");
            const bool usable = parsed && selfFault(parsed.value()).empty();
            documents.push_back(usable ? std::optional<declaration>(parsed.value()) : std::nullopt);
            if (usable)
                bases.insert(parsed.value().link().baseDigest);
        }
        const auto isStart = [&](const std::optional<declaration>& document) {
            return document && (document->link().baseRevision == 0 || bases.contains(document->digest()));
        };
        auto start = std::find_if(documents.begin(), documents.end(), isStart);
        if (start == documents.end())
            start = std::find_if(documents.begin(), documents.end(), [](const auto& document) { return document.has_value(); });
        if (start == documents.end()) {
            for (const auto& text : texts)
                outcomes.push_back(offer(text, document_source::service));
            return outcomes;
        }
        m_highestSeen = std::max(m_highestSeen, (*start)->link().revision);
        putInForce(**start, (*start)->digest());
        outcomes.push_back({ offer_kind::accepted, revision(), {} });
    }
    for (const auto& text : texts)
        outcomes.push_back(offer(text, document_source::service));
    return outcomes;
}

std::vector<std::string> revision_chain::after(std::uint64_t from) const
{
    std::vector<std::string> texts;
    if (!m_inForce || from >= revision())
        return texts;
    auto first = std::find_if(m_kept.begin(), m_kept.end(), [&](const kept_document& kept) { return kept.base == from; });
    if (first == m_kept.end())
        first = std::prev(m_kept.end());
    for (; first != m_kept.end(); ++first)
        texts.push_back(first->text);
    return texts;
}

} // namespace rampgap
