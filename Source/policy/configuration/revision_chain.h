// The chain of accepted declarations: decides which one comes into force and never goes back.
#pragma once

#include "policy/configuration/declaration.h"

#include <deque>
#include <memory>
#include <string>
#include <vector>

namespace rampgap {

// Source of a document: the configuration service, or a process that has it in force.
enum class document_source { service,
    peer };

enum class offer_kind { accepted,
    known,
    refused };

// A document that the service stores under the number of its revision.
struct published_document {
    std::uint64_t number = 0;
    std::string text;

    bool operator==(const published_document&) const = default;
};

// Result of offering a document. `reason` is set for refused ones.
struct offer_outcome {
    offer_kind kind = offer_kind::known;
    std::uint64_t revision = 0;
    std::string reason;

    bool operator==(const offer_outcome&) const = default;
};

class revision_chain {
public:
    // Offers one document. From the service it must follow the one in force; a peer's
    // document was checked by that peer against its own chain.
    offer_outcome offer(const std::string& text, document_source);
    // Offers a document of the service; records its number even if it cannot be parsed.
    offer_outcome offerPublished(const published_document&);
    // Offers documents of the service to a process that has none yet: the latest ones, oldest first,
    // or the whole history. If none comes into force, a longer window is needed.
    std::vector<offer_outcome> offerWindow(const std::vector<published_document>& documents, bool wholeHistory);

    // Null until a declaration is in force.
    std::shared_ptr<const declaration> inForce() const { return m_inForce; }
    std::uint64_t revision() const { return m_inForce ? m_inForce->link().revision : 0; }
    const std::string& digest() const { return m_digest; }
    // The highest revision number seen, whether or not it was accepted.
    std::uint64_t highestSeen() const { return m_highestSeen; }

    // Documents that bring a process at `revision` to our revision: all later ones, or only the one
    // in force if the chain does not reach back that far.
    std::vector<std::string> after(std::uint64_t revision) const;
    const std::deque<offer_outcome>& refusals() const { return m_refusals; }

private:
    struct kept_document {
        std::uint64_t revision;
        std::uint64_t base;
        std::string text;
    };

    offer_outcome refuse(std::uint64_t revision, std::string reason);
    void putInForce(declaration, std::string digest);
    bool startInWindow(const std::vector<published_document>& documents);

    std::shared_ptr<const declaration> m_inForce;
    std::string m_digest;
    std::uint64_t m_highestSeen = 0;
    std::deque<kept_document> m_kept;
    std::deque<offer_outcome> m_refusals;
};

} // namespace rampgap
