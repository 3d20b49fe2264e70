// One entry VM: the same decisions as a daemon's, in virtual time. What a daemon does between two
// awaits is a step here.
#pragma once

#include "model/lockstep_group.h"
#include "policy/requests/admission_queue.h"
#include "policy/requests/admission_wait.h"
#include "policy/requests/delay_estimate.h"
#include "policy/requests/shared_retry_budget.h"
#include "policy/routing/backend_directory.h"
#include "policy/routing/upstream_choice.h"

#include <map>
#include <optional>
#include <random>

namespace rampgap::model {

using attempt_id = std::uint64_t;

// Ids of an attempt's sequences: one for each try.
inline constexpr sequence_id triesOfAttempt = 16;

// A request as a caller sends it to an entry VM.
struct model_request {
    attempt_id id = 0;
    double promptTokens = 0;
    int events = 0;
    instant deadline;
};

// How an attempt ended at an entry VM.
struct attempt_end {
    bool answered = false;
    // Surely not run: the caller may come back after the pause.
    bool notRun = false;
    milliseconds retryAfter { 0 };
};

// What an entry VM needs of the fleet around it.
class fleet_port {
public:
    virtual ~fleet_port() = default;

    // Whether packets of the zone reach the server now.
    virtual bool reaches(std::size_t zone, const std::string& backendId) const = 0;
    virtual milliseconds delayTo(std::size_t zone, const std::string& backendId) const = 0;
    // False if the rank refuses it.
    virtual bool submit(const std::string& backendId, sequence) = 0;
    virtual void cancel(const std::string& backendId, sequence_id) = 0;
    virtual void passOn(attempt_id) = 0;
    virtual void end(attempt_id, attempt_end) = 0;
};

class entry_model {
public:
    entry_model(event_queue&, const scenario&, const ways&, fleet_port&, std::size_t zone, const std::vector<listed_backend>&, std::uint64_t seed);

    void take(const model_request&);
    // The caller has left.
    void drop(attempt_id);
    void hear(const group_report&);
    void hearEvent(attempt_id, sequence_id, bool last);
    void hearCut(attempt_id, sequence_id);
    // Everything is forgotten, as after a start.
    void restart();
    std::size_t zone() const { return m_zone; }
    int secondTries() const { return m_secondTries; }

private:
    struct attempt {
        model_request request;
        instant receivedAt;
        std::vector<std::string> tried;
        std::vector<std::string> silent;
        int runs = 0;
        int delivered = 0;
        bool mayHaveRun = false;
        std::optional<attempt_result> last;
        std::optional<admission_id> place;
        std::vector<admission_stage> stages;
        std::string backend;
        sequence_id sequence = 0;
        instant sentAt;
        instant newestAt;
        // Rises with each step: timers of earlier steps are void.
        int step = 0;
    };

    void begin(instant startedAt);
    attempt* find(attempt_id);
    // Runs the action unless the attempt has gone on since.
    void later(const attempt&, duration, std::function<void(attempt&)>);
    void next(attempt&);
    void awaitGroup(attempt&, instant until, milliseconds retryAfter);
    void askPlace(attempt&);
    void nextStage(attempt&);
    void carryOut(const admission_outcome&);
    void send(attempt&);
    void arrive(attempt&);
    void watchFirstEvent(attempt&);
    void watchSilence(attempt&);
    // The route and the retry budget allow another try.
    bool mayGoElsewhere(const attempt&);
    void endTry(attempt&, attempt_result);
    void refuse(attempt&, milliseconds retryAfter);
    void finish(attempt&, attempt_end);
    void releasePlace(attempt&);
    void setSlots();
    bool mayRepeat(const attempt&) const;
    milliseconds patienceOf() const;
    milliseconds timeLeft(const attempt&) const;
    milliseconds waited(const attempt&) const;

    event_queue& m_events;
    const scenario& m_scenario;
    const ways& m_ways;
    fleet_port& m_fleet;
    std::size_t m_zone;
    std::vector<listed_backend> m_listed;
    std::mt19937_64 m_random;
    backend_directory m_backends;
    load_table m_loads;
    group_directory m_groups;
    admission_queue m_queue;
    int m_slots = 1;
    double m_busyPart = 0;
    delay_estimate m_firstEvent;
    delay_estimate m_run;
    shared_retry_budget m_budget;
    upstream_choice m_choice;
    // The model's servers ask for nothing.
    server_backpressure m_backpressure;
    std::map<attempt_id, attempt> m_attempts;
    std::map<admission_id, attempt_id> m_waiting;
    int m_secondTries = 0;
};

} // namespace rampgap::model
