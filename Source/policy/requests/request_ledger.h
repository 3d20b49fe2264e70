// Remembers the ids that an agent has run, so that each runs at most once.
#pragma once

#include "policy/common/verdict.h"
#include "policy/requests/request_id.h"

#include <deque>
#include <unordered_map>
#include <vector>

namespace rampgap {

// The answer of a finished request, kept in case its id is sent again.
struct stored_answer {
    int status = 0;
    std::string contentType;
    std::string body;
    // Without it a caller would take coded bytes for the body.
    std::string contentEncoding {};

    bool operator==(const stored_answer&) const = default;
};

struct ledger_limits {
    std::size_t maxIds = 65'536;
    std::size_t maxAnswerBytes = 16'777'216;
    milliseconds idLife { 600'000 };

    bool operator==(const ledger_limits&) const = default;
};

// Keeps ids in memory, each for `idLife` after its last change, and answers as long as they fit.
class request_ledger {
public:
    explicit request_ledger(ledger_limits);

    // Claims an id for one run. Empty: run the request. An answer: send that. A failure: refuse the request.
    result<std::optional<stored_answer>> claim(const request_id&, std::uint64_t bodyDigest, instant now);
    // The claimed request was refused before it ran; its id is free again.
    void release(const request_id&);
    // The run ended with a complete answer.
    void finish(const request_id&, stored_answer, instant now);
    // The run ended without an answer that could be repeated.
    void finishWithoutAnswer(const request_id&, instant now);

    // Adds ids that another agent has run, without their answers.
    void inherit(const std::vector<std::uint64_t>& hashes, instant now);
    // Hashes of all ids within their lifetime.
    std::vector<std::uint64_t> liveIds(instant now) const;
    // True if the id is known and within its lifetime.
    bool knows(const request_id&, instant now) const;

    void setIdLife(milliseconds life) { m_limits.idLife = life; }
    std::size_t size() const { return m_records.size(); }
    std::size_t answerBytes() const { return m_answerBytes; }

private:
    enum class phase { running,
        finished,
        inherited };
    struct record {
        phase state = phase::running;
        std::uint64_t bodyDigest = 0;
        std::optional<stored_answer> answer;
        instant touched;
    };
    struct expiry {
        std::uint64_t hash;
        instant touched;
    };

    void expire(instant now);
    void dropOldAnswers();
    void touch(std::uint64_t hash, record&, instant now);

    ledger_limits m_limits;
    std::unordered_map<std::uint64_t, record> m_records;
    std::deque<expiry> m_expiries;
    std::deque<std::uint64_t> m_answers;
    std::size_t m_answerBytes = 0;
};

} // namespace rampgap
