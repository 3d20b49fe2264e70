// Which requests, with which parts of prompts, were running on backend servers as these crashed, as seen
// by all entry VMs together, and which of them are therefore blocked.
#pragma once

#include "policy/common/verdict.h"
#include "policy/requests/crash_table.h"

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <utility>
#include <vector>

namespace rampgap {

// Events after which a request no longer counts as just begun: a request that crashes servers usually
// does so with its first step.
inline constexpr std::uint64_t earlyEvents = 2;

// Input of the decision whether a request may be sent to a server.
struct send_input {
    request_fingerprint request;
    // A crash would close a whole expert group, not only one server.
    bool closesGroup = false;
    // It was sent to a server before: this is a retry for the same caller.
    bool isRetry = false;
    // The parts of its prompt.
    std::vector<request_fingerprint> parts {};
};

class crash_history {
public:
    // `events`: whole events of the answer that the server had sent.
    void recordCrash(request_fingerprint, std::uint32_t server, std::uint64_t events, instant now);
    void recordServed(request_fingerprint, instant now);
    // The same for the parts of a prompt, in their order.
    void recordPartsCrashed(const std::vector<request_fingerprint>& parts, std::uint32_t server, std::uint64_t events, instant now);
    // A server began to answer a prompt with these parts and did not crash.
    void recordPartsSurvived(const std::vector<request_fingerprint>& parts, instant now);
    // Merges a peer's record. `age`: since the request was last seen. True if this changed anything.
    bool merge(const crash_record&, milliseconds age, instant now);

    // How long the request is still blocked; empty if it is not.
    std::optional<milliseconds> blockedFor(request_fingerprint, instant now) const;
    // The refusal for the caller of a blocked request; empty if it is not blocked. Extends the block of a request, not of a part.
    std::optional<failure> refuseBlocked(request_fingerprint, instant now);
    // The same for a request with these parts in its prompt.
    std::optional<failure> refuseBlocked(request_fingerprint, const std::vector<request_fingerprint>& parts, instant now);
    // The refusal of a request that may not be sent now: it is blocked, or suspected after one crash.
    std::optional<failure> refuse(const send_input&, instant now);
    // `isChosen`: whether this process may start isolated attempts of a request. Without it, every process may.
    void setIsolatedAttemptFilter(std::function<bool(request_fingerprint)> isChosen) { m_isChosen = std::move(isChosen); }
    // Called when something new becomes known about a request.
    void onChange(std::function<void(request_fingerprint)> action) { m_onChange = std::move(action); }
    // Called when the crash of a server's incarnation (given by its hashOf) first becomes known.
    void onServerCrashed(std::function<void(std::uint32_t server)> action) { m_onServerCrashed = std::move(action); }
    // The request is blocked, or suspected of a crash as it began.
    bool isBlockedOrSuspected(request_fingerprint request, instant now) const { return blockedFor(request, now) || isSuspected(request, now); }
    // Until when the request must wait since it is about to be cleared: more servers are known to have crashed at the same
    // moment without it than with it, but updates that speak against it may still arrive. Empty if it need not wait.
    std::optional<instant> clearancePendingUntil(request_fingerprint, instant now) const;
    // Why a request may be sent although a server crashed as it began; empty if none did.
    std::string_view clearanceReason(request_fingerprint, instant now) const;
    // A request begins at a server. If it is suspected, this process sends no copy of it until the attempt
    // ends. False if it is not suspected.
    bool beginIsolatedAttempt(request_fingerprint, instant now);
    // `isLost`: the server broke off the call, so it may have crashed.
    void endIsolatedAttempt(request_fingerprint, bool isLost, instant now);
    // The caller of a blocked request came again: the block lasts its full time from now.
    void extendBlock(request_fingerprint request, instant now) { m_table.touch(request, now); }

    // Records of at most `limit` requests that changed since they were last taken, those with the most crashes first.
    aged_crash_records takeUpdates(std::size_t limit, instant now) { return m_table.takeUpdates(limit, now); }
    bool hasUpdates() const { return m_table.hasUpdates(); }
    // Records of the requests under which several servers crashed, for a peer that lacks some.
    aged_crash_records repeated(instant now) const { return m_table.repeated(now); }
    // What is known about one request; empty if nothing is. The crashes that it is cleared of are in a
    // separate record.
    aged_crash_records recordsOf(request_fingerprint request, instant now) const { return m_table.recordsOf(request, now); }
    // Digest of what `repeated` returns, equal in processes that know the same. 0 if there are no such requests.
    std::uint32_t digest() const { return m_table.digest(); }
    // Requests that are blocked now.
    std::vector<request_fingerprint> blocked(instant now) const;

    // Drops requests that have not been seen for long.
    void expire(instant now);
    std::size_t size() const { return m_table.size(); }

private:
    using entry = crash_table::entry;
    using weight = crash_evidence::weight;

    // Several requests and parts may have been running on a server as it crashed; the one with the highest rank is
    // blamed. Of equal evidence the narrowest suspect, the one that the fewest requests share, ranks highest: blocking
    // it refuses the fewest requests, and if a wider one is the cause, its next crash gives it more evidence.
    struct suspect_rank {
        // Never cleared, and several servers crashed under it.
        bool isProven = false;
        weight strength;
        // The whole request, then the last part of its prompt, then the parts before it.
        std::uint32_t narrowness = 0;

        auto operator<=>(const suspect_rank&) const = default;
    };

    struct assessment {
        // Until when the request counts as the cause of a crash; empty if it does not count as the cause
        // of any, instant::max() if nothing ends that.
        std::optional<instant> until;
        // The reason why it was cleared of a crash; empty if it was not.
        std::string_view clearedBy;
    };

    bool apply(const crash_record&, milliseconds age, instant now, bool own);
    // Calls the functions set by onServerCrashed and onChange.
    void notifyListeners(request_fingerprint, const crash_table::change&);
    // Another request explains the crash better: there is more evidence against it.
    bool isExplainedByOther(const observed_crash&, request_fingerprint, const suspect_rank&) const;
    suspect_rank rankOf(const entry&) const;
    // The crashes count against the part, and not only against what else its requests hold.
    bool isPartAccused(const entry&) const;
    // Servers crashed under the part at more than one moment.
    bool crashedAtSeveralMoments(const entry&) const;
    instant crashTime(const observed_crash&) const;
    // Blocked, or it was and its time has passed.
    bool isAccused(request_fingerprint, instant now) const;
    std::optional<failure> refuseBlockedPart(request_fingerprint part, instant now);
    std::optional<failure> refusePart(request_fingerprint part, const send_input&, instant now);
    // The refusal of a request or part that may be sent only as an isolated attempt; empty if such an attempt may start
    // now. `isChosen`: this process may start one.
    std::optional<failure> refuseUnlessIsolated(request_fingerprint, bool isChosen, instant now) const;
    bool isChosen(const send_input&) const;
    // Whether this process may try the part with this request, now that its block has ended.
    bool isChosenForPart(request_fingerprint part, const send_input&, instant now) const;
    // When the block of a part ends or has ended.
    instant partBlockEnd(const entry&) const;
    bool isPartSuspected(request_fingerprint part, instant now) const;
    // When the request is cleared of the crash because more servers crashed at the same moment without it
    // than with it, which points to another cause. Until then, updates may still arrive that it also ran
    // on those servers. Empty if that does not apply.
    std::optional<instant> clearedAt(const observed_crash&, const entry&) const;
    // Assesses a request by the crashes in which it had just begun.
    assessment assess(request_fingerprint, instant now) const;
    // It had just begun as a server crashed, and nothing else explains that crash.
    bool isSuspected(request_fingerprint, instant now) const;
    // Another request explains all these crashes equally well.
    bool hasEqualSuspect(const std::vector<observed_crash>&, request_fingerprint, const suspect_rank&) const;

    crash_table m_table;
    // Suspected requests that are running at a server, and until when an attempt excludes others.
    std::map<request_fingerprint, instant> m_isolatedAttempts;
    std::function<bool(request_fingerprint)> m_isChosen;
    std::function<void(request_fingerprint)> m_onChange;
    std::function<void(std::uint32_t)> m_onServerCrashed;
};

} // namespace rampgap
