// What is modelled: a fleet, its load and its faults, and the ways of deciding that are
// compared. Both are read from files of the project's INI format.
#pragma once

#include "policy/configuration/fleet_configuration.h"
#include "policy/configuration/ini_document.h"

#include <cstdint>
#include <string>
#include <vector>

namespace rampgap::model {

enum class fault_kind {
    // A group loses a rank and is closed.
    closure,
    // A zone is cut off from the others, with its engines and entry VMs.
    zone_cut,
    // One rank takes `factor` times as long.
    slow_rank,
    // All ranks of all groups do.
    slow_all,
    // A share of the answers of all engines is lost without a reset.
    lost_answers,
    // Other experts are in demand, for a share of them, `count` times each `gap`.
    shift,
    // `factor` times as many callers.
    burst,
    // Steps of a group are held.
    hold,
    // All processes and engines end and start again.
    restart_all,
};

struct fault {
    fault_kind kind = fault_kind::closure;
    milliseconds at { 0 };
    milliseconds length { 0 };
    // Index of the group or zone that is struck.
    std::size_t where = 0;
    double share = 0;
    double factor = 1;
    int count = 1;
    milliseconds gap { 0 };

    bool operator==(const fault&) const = default;
};

struct scenario {
    std::string name;
    milliseconds length { 40'000 };
    // Callers who come before are not counted: placements are found in the meantime.
    milliseconds warmUp { 3'000 };
    std::size_t zones = 3;
    std::size_t entries = 42;
    std::size_t groups = 3;
    std::size_t ranksPerGroup = 24;
    // One way between zones, and to callers.
    milliseconds zoneDelay { 1 };
    milliseconds callerDelay { 3 };
    // Callers of all zones together in a second; they come in a wave of this swing.
    double requestsPerSecond = 250;
    double swing = 0.1;
    // Part of the entry VMs that have three times as many callers as the others.
    double busyEntries = 0.2;
    milliseconds latencyTarget { 500 };
    milliseconds gapTarget { 150 };
    milliseconds deadline { 8'000 };
    // Callers come back so often after a refusal or a failure.
    int returns = 1;
    int maxAttempts = 2;
    double meanEvents = 19;
    double eventSpread = 0.7;
    double meanPromptTokens = 850;
    // Demand of experts follows a power law with this exponent.
    double expertSkew = 0.92;
    milliseconds formTime { 600 };
    milliseconds stall { 1'500 };
    double retryRatio = 0.2;
    double retryAllowance = 234;
    engine_costs costs;
    std::vector<fault> faults;

    // Files of the kind of `Examples/model/scenarios`.
    static boost::outcome_v2::checked<scenario, std::vector<input_error>> read(const std::string& path);
};

enum class silence_way { none,
    constant,
    learnt };

// Ways of deciding; by default those of the daemons.
struct ways {
    std::string name;
    // Of the places that come free, every so many for those who cannot come back; 0: none.
    int lastChanceNth = 4;
    silence_way firstEvent = silence_way::learnt;
    milliseconds constantFirstEvent { 500 };
    // Whole groups are left alone when they cannot be reached.
    bool groupReach = true;
    // Groups whose passes are too long come last.
    bool groupsByPass = true;
    // Streams of a silent group go on in another sooner.
    bool silenceOfOneGroup = true;
    // Callers are not held in closures that have lasted for long.
    bool endsLongWaits = true;
    double minGain = 0.053;
    double minGainWithHeadroom = 0.16;

    static boost::outcome_v2::checked<ways, std::vector<input_error>> read(const std::string& path);
};

} // namespace rampgap::model
