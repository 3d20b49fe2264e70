#include "policy/configuration/revision_chain.h"

#include <algorithm>
#include <set>

namespace rampgap {

namespace {

    constexpr std::size_t keptRevisions = 8;
    constexpr std::size_t keptRefusals = 16;

    // Error that makes a document invalid whatever is in force; empty if there is none.
    std::string intrinsicError(const declaration& offered)
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
    if (const std::string error = intrinsicError(offered); !error.empty())
        return refuse(link.revision, error);
    if (link.revision == revision())
        return refuse(link.revision, "another declaration is in force under this revision: plan again on it");
    if (link.revision < revision()) {
        // A stale service may show old revisions again: that is not an operator's error.
        const bool conflicting = link.baseRevision < revision() && source == document_source::service
            && std::none_of(m_kept.begin(), m_kept.end(), [&](const kept_document& kept) { return kept.revision == link.revision; })
            && !m_kept.empty() && link.revision > m_kept.front().revision;
        return conflicting ? refuse(link.revision, "a later revision is in force: plan again on it") : offer_outcome { offer_kind::known, link.revision, {} };
    }
    const bool linked = m_inForce ? link.baseDigest == m_digest : link.baseRevision == 0;
    if (source == document_source::service && !linked)
        return refuse(link.revision, m_inForce ? "not based on revision " + std::to_string(revision()) + ", which is in force: plan again on it" : "based on a revision that was never in force");
    putInForce(std::move(offered), std::move(digest));
    return { offer_kind::accepted, link.revision, {} };
}

offer_outcome revision_chain::offerPublished(const published_document& published)
{
    m_highestSeen = std::max(m_highestSeen, published.number);
    offer_outcome outcome = offer(published.text, document_source::service);
    if (outcome.revision == 0)
        outcome.revision = published.number;
    return outcome;
}

// After a start it is unknown which of the latest documents were in force. One that another names
// as its base was, since operators plan on what is in force.
bool revision_chain::startInWindow(const std::vector<published_document>& window)
{
    std::set<std::string> bases;
    std::vector<declaration> documents;
    for (const auto& published : window) {
        auto parsed = declaration::parse(published.text, "declaration");
        if (!parsed || !intrinsicError(parsed.value()).empty())
            continue;
        bases.insert(parsed.value().link().baseDigest);
        documents.push_back(std::move(parsed.value()));
    }
    const auto start = std::find_if(documents.begin(), documents.end(), [&](const declaration& document) { return bases.contains(document.digest()); });
    if (start == documents.end())
        return false;
    std::string digest = start->digest();
    putInForce(std::move(*start), std::move(digest));
    m_highestSeen = std::max(m_highestSeen, revision());
    return true;
}

std::vector<offer_outcome> revision_chain::offerWindow(const std::vector<published_document>& documents, bool wholeHistory)
{
    std::vector<offer_outcome> outcomes;
    if (!m_inForce && !wholeHistory) {
        if (!startInWindow(documents))
            return outcomes;
        outcomes.push_back({ offer_kind::accepted, revision(), {} });
    }
    for (const auto& published : documents)
        outcomes.push_back(offerPublished(published));
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
