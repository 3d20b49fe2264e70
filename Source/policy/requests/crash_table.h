// The crashes of servers under requests and parts of prompts, as this process and its peers saw them, and what
// of that peers are still to be told.
#pragma once

#include "policy/requests/crash_evidence.h"
#include "policy/requests/request_fingerprint.h"
#include "policy/requests/survival_table.h"

#include <map>
#include <set>
#include <utility>
#include <vector>

namespace rampgap {

// What a record is about: a whole request, or a part of prompts by its place in these, counted from 1. The last
// part belongs to one request or its session.
inline constexpr std::uint32_t wholeRequest = 0;
inline constexpr std::uint32_t lastPart = 255;

// Crashes of servers that were running one request, or requests with one part in their prompts, as processes
// send them to each other.
struct crash_record {
    request_fingerprint request;
    std::vector<observed_crash> crashes;
    // A server ran the request to the end after these crashes, so it did not cause them.
    bool served = false;
    std::uint32_t partPosition = wholeRequest;

    bool operator==(const crash_record&) const = default;
};

// Crash records, each with the time since any process last saw the request.
using aged_crash_records = std::vector<std::pair<crash_record, milliseconds>>;

class crash_table {
public:
    struct entry {
        crash_evidence evidence;
        instant seenAt;
        std::uint32_t partPosition = wholeRequest;

        bool isPart() const { return partPosition != wholeRequest; }
    };

    // The requests and parts that ran on a server as it crashed, and when the crash first became known.
    struct crashed_server {
        std::set<request_fingerprint> suspects;
        instant crashedAt;
    };

    // What a record has changed.
    struct change {
        bool isNew = false;
        // Servers whose crash was not known before.
        std::vector<std::uint32_t> newServers;
    };

    // `age`: since the request was last seen. `own`: seen by this process itself.
    change apply(const crash_record&, milliseconds age, instant now, bool own);
    // Servers began to answer prompts with the part and did not crash.
    change recordSurvived(request_fingerprint part, instant now);
    // The request was seen again, if it is known.
    void touch(request_fingerprint, instant now);

    // Null if nothing is known of it.
    const entry* find(request_fingerprint) const;
    const std::map<std::uint32_t, crashed_server>& servers() const { return m_servers; }
    // How long this process has recorded which parts are survived.
    duration recordingFor(instant now) const { return m_survivals.recordingFor(now); }
    instant lastCrashAt(const entry&) const;
    // Requests under which several servers crashed, and parts with several crashes that they are not cleared of.
    std::vector<request_fingerprint> repeatedRequests() const;

    // See crash_history.
    aged_crash_records takeUpdates(std::size_t limit, instant now);
    bool hasUpdates() const { return !m_changed.empty(); }
    aged_crash_records repeated(instant now) const;
    aged_crash_records recordsOf(request_fingerprint, instant now) const;
    std::uint32_t digest() const { return m_digest; }
    void expire(instant now);
    std::size_t size() const { return m_requests.size(); }

private:
    // Adds a crash. True if that changed the entry.
    bool add(entry&, request_fingerprint, const observed_crash&, instant crashedAt);
    // Decides whether a new crash counts against a part that was survived before, and clears the part of it if not.
    void applySurvivals(entry&, request_fingerprint part, const observed_crash&, instant crashedAt);
    // True if nothing needs to be recorded: the part is not in the table, and it was survived just before the crash.
    bool mayIgnore(const crash_record&, instant crashedAt);
    void recordChange(request_fingerprint);
    void updateDigest();
    // Drops the request or part with the weakest evidence if the table is full of its kind. False if all of them
    // have stronger evidence than the record.
    bool makeRoom(const crash_record&, bool own);
    void erase(request_fingerprint);
    void forgetSuspect(std::uint32_t server, request_fingerprint);
    void addRecords(aged_crash_records&, request_fingerprint, instant now) const;

    // Requests and parts; how many of them are parts.
    std::map<request_fingerprint, entry> m_requests;
    std::size_t m_parts = 0;
    std::map<std::uint32_t, crashed_server> m_servers;
    survival_table m_survivals;
    std::set<request_fingerprint> m_changed;
    std::uint32_t m_digest = 0;
};

} // namespace rampgap
