// Which requests were running on backend servers as these crashed, as all entry VMs together saw
// it, and which of them are therefore not sent to any server again.
#pragma once

#include "policy/request_fingerprint.h"
#include "policy/verdict.h"

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <utility>
#include <vector>

namespace rampgap {

// One crash of a server that was running the request.
struct seen_crash {
    // hashOf the server's life.
    std::uint32_t server = 0;
    // The request had only begun: as a rule it ends a server with its first step.
    bool early = false;

    auto operator<=>(const seen_crash&) const = default;
};

// Crashes under one request; what processes tell each other.
struct crash_record {
    request_fingerprint request;
    std::vector<seen_crash> crashes;
    // A server ran it to the end after these crashes: they were not its doing.
    bool served = false;

    bool operator==(const crash_record&) const = default;
};

// With the time since each request was last seen.
using aged_crashes = std::vector<std::pair<crash_record, milliseconds>>;

// What is asked before a request is sent to a server.
struct send_question {
    request_fingerprint request;
    // A crash would close a whole expert group, not one server only.
    bool closesGroup = false;
    // It has been at a server before: this is the same caller's other try.
    bool again = false;
};

class crash_history {
public:
    // `events`: whole events of its answer that this server had sent.
    void noteCrash(request_fingerprint, std::uint32_t server, std::uint64_t events, instant now);
    void noteServed(request_fingerprint, instant now);
    // From a peer; `age`: since the request was last seen. True if it was news.
    bool merge(const crash_record&, milliseconds age, instant now);

    // Empty if the request may be sent to a server; otherwise how long it may not.
    std::optional<milliseconds> barredFor(request_fingerprint, instant now) const;
    // The refusal that its caller gets while it is barred; its coming keeps it barred for longer.
    std::optional<failure> refuseBarred(request_fingerprint, instant now);
    // The refusal of a request that may not be sent now: barred, or suspected after one crash.
    std::optional<failure> refuse(const send_question&, instant now);
    // Which process lets suspected requests begin; every one does where none is set.
    void setTrialChoice(std::function<bool(request_fingerprint)> isChosen) { m_isChosen = std::move(isChosen); }
    // Called when something new is known of a request.
    void onChange(std::function<void(request_fingerprint)> action) { m_onChange = std::move(action); }
    // Called when the crash of a server's life (its hashOf) is first heard of.
    void onServerCrashed(std::function<void(std::uint32_t server)> action) { m_onServerCrashed = std::move(action); }
    // It is barred, or suspected of a crash as it began.
    bool isPutOff(request_fingerprint request, instant now) const { return barredFor(request, now) || isSuspected(request, now); }
    // Set while it is suspected only because news of a crash that may acquit it can still be on
    // their way: until when.
    std::optional<instant> undecidedUntil(request_fingerprint, instant now) const;
    // Why a request may be sent though a server crashed as it began; empty if none did.
    std::string_view whyLetThrough(request_fingerprint, instant now) const;
    // A request begins at a server: until its end no copy of it does here if it is suspected.
    // False if it is not.
    bool beginTrial(request_fingerprint, instant now);
    // `isLost`: the server ended the call, so that it may have crashed.
    void endTrial(request_fingerprint, bool isLost, instant now);
    // The caller of a barred request came again: it stays barred for so much longer.
    void noteBarred(request_fingerprint, instant now);

    // What changed since the last call, most crashes first, at most `limit`; with its age.
    aged_crashes takeNews(std::size_t limit, instant now);
    bool hasNews() const { return !m_news.empty(); }
    // The requests that several servers crashed under, for a peer that lacks some.
    aged_crashes repeated(instant now) const;
    // What is known of one request; empty if nothing is. The crashes that it is cleared of stand in
    // a record of their own.
    aged_crashes about(request_fingerprint, instant now) const;
    // Of what `repeated` returns; equal where two processes know the same. 0: none.
    std::uint32_t digest() const { return m_digest; }
    // Requests that are barred now.
    std::vector<request_fingerprint> barred(instant now) const;

    // Forgets what has not come again for long.
    void settle(instant now);
    std::size_t size() const { return m_requests.size(); }

private:
    struct entry {
        std::set<seen_crash> crashes;
        // Of their servers those that it is cleared of: another ran it to the end since.
        std::set<std::uint32_t> cleared;
        instant seenAt;
    };
    // What is to blame first: by crashes, then by how many of them followed its beginning.
    struct weight {
        std::size_t crashes = 0;
        std::size_t early = 0;

        auto operator<=>(const weight&) const = default;
    };

    struct judgement {
        // When it stops to count as the cause of a crash; empty if it does not count as the cause of
        // one, instant::max() if it does for good.
        std::optional<instant> until;
        // What cleared it of a crash, if anything did.
        std::string_view liftedBy;
    };

    // The requests that ran on a server as it crashed, and when that was heard first.
    struct crashed_server {
        std::set<request_fingerprint> suspects;
        instant crashedAt;
    };

    static std::vector<seen_crash> openCrashes(const entry&);
    static weight weigh(const entry&);
    static milliseconds memoryOf(const entry&);
    bool take(const crash_record&, milliseconds age, instant now, bool own);
    // What is known of a crash of this server; the end of the crashes if nothing is.
    static std::set<seen_crash>::const_iterator findCrash(const entry&, std::uint32_t server);
    // True if it was not cleared of all of these.
    static bool clear(entry&, const std::vector<seen_crash>&);
    // True if it was not known.
    bool add(entry&, request_fingerprint, const seen_crash&, instant crashedAt);
    // Tells whoever asked to hear of it.
    void announce(request_fingerprint, const std::vector<std::uint32_t>& newServers);
    void noteChange(request_fingerprint);
    void updateDigest();
    // False if all that is held says more than a request with so many crashes.
    bool makeRoom(std::size_t crashes, bool own);
    void erase(request_fingerprint);
    void forgetSuspect(std::uint32_t server, request_fingerprint);
    std::vector<request_fingerprint> repeatedRequests() const;
    void addRecords(aged_crashes&, request_fingerprint, instant now) const;
    // Another request explains the crash better: more servers crashed under it.
    bool explained(const seen_crash&, request_fingerprint, const weight&) const;
    // Set if more servers crashed at the same moment without it than with it: that has another
    // cause. From then on; news of its calls there may come until then.
    std::optional<instant> acquittedAt(const seen_crash&, const entry&) const;
    // What its crashes, if it had just begun in any, make of it.
    judgement judge(request_fingerprint, instant now) const;
    // It had just begun as one server crashed, and nothing else explains that crash.
    bool isSuspected(request_fingerprint, instant now) const;
    // Another request explains all these crashes as well as this one.
    bool hasRival(const std::vector<seen_crash>&, request_fingerprint, const weight&) const;

    std::map<request_fingerprint, entry> m_requests;
    std::map<std::uint32_t, crashed_server> m_servers;
    // Suspected requests that are at a server, and until when that counts.
    std::map<request_fingerprint, instant> m_trials;
    std::function<bool(request_fingerprint)> m_isChosen;
    std::function<void(request_fingerprint)> m_onChange;
    std::function<void(std::uint32_t)> m_onServerCrashed;
    std::set<request_fingerprint> m_news;
    std::uint32_t m_digest = 0;
};

} // namespace rampgap
