#include "model/scenario.h"

#include "policy/configuration/section_reader.h"
#include <filesystem>
#include <fstream>
#include <map>
#include <sstream>

namespace rampgap::model {

namespace {

    constexpr number_range milliRange { 0, 600'000, "ms" };
    constexpr number_range countRange { 1, 10'000, "" };
    constexpr number_range anyCount { 0, 10'000, "" };
    constexpr double mostRequests = 100'000;
    constexpr double mostFactor = 1'000;

    using errors = std::vector<input_error>;

    boost::outcome_v2::checked<ini_document, errors> load(const std::string& path)
    {
        std::ifstream file(path);
        if (!file)
            return errors { { path, 0, "", "cannot be read", "give the path of a file that exists" } };
        std::ostringstream text;
        text << file.rdbuf();
        return ini_document::parse(text.str(), path);
    }

    milliseconds milli(section_reader& section, std::string_view key, milliseconds fallback)
    {
        return milliseconds(section.number(key, fallback.count(), milliRange));
    }

    std::size_t count(section_reader& section, std::string_view key, std::size_t fallback)
    {
        return static_cast<std::size_t>(section.number(key, static_cast<std::int64_t>(fallback), countRange));
    }

    void readFleet(section_reader& section, scenario& made)
    {
        made.zones = count(section, "zones", made.zones);
        made.entries = count(section, "entries", made.entries);
        made.groups = count(section, "groups", made.groups);
        made.ranksPerGroup = count(section, "ranks_per_group", made.ranksPerGroup);
        made.zoneDelay = milli(section, "zone_delay_ms", made.zoneDelay);
        made.callerDelay = milli(section, "caller_delay_ms", made.callerDelay);
        made.formTime = milli(section, "form_ms", made.formTime);
        made.stall = milli(section, "stall_ms", made.stall);
        made.retryRatio = section.real("retry_ratio", made.retryRatio, 0, 1);
        made.retryAllowance = section.real("retry_allowance", made.retryAllowance, 0, mostRequests);
    }

    void readTraffic(section_reader& section, scenario& made)
    {
        made.length = milli(section, "length_ms", made.length);
        made.warmUp = milli(section, "warm_up_ms", made.warmUp);
        made.requestsPerSecond = section.real("requests_per_s", made.requestsPerSecond, 0, mostRequests);
        made.swing = section.real("swing", made.swing, 0, 1);
        made.busyEntries = section.real("busy_entries", made.busyEntries, 0, 1);
        made.latencyTarget = milli(section, "latency_target_ms", made.latencyTarget);
        made.gapTarget = milli(section, "gap_target_ms", made.gapTarget);
        made.deadline = milli(section, "deadline_ms", made.deadline);
        made.returns = static_cast<int>(section.number("returns", made.returns, anyCount));
        made.maxAttempts = static_cast<int>(section.number("max_attempts", made.maxAttempts, countRange));
        made.meanEvents = section.real("mean_events", made.meanEvents, 1, mostRequests);
        made.eventSpread = section.real("event_spread", made.eventSpread, 0, 3);
        made.meanPromptTokens = section.real("mean_prompt_tokens", made.meanPromptTokens, 1, mostRequests);
    }

    void readEngine(section_reader& section, scenario& made)
    {
        engine_costs& costs = made.costs;
        costs.capacity = static_cast<int>(section.number("capacity", 10, countRange));
        costs.stepsPerPass = static_cast<int>(section.number("steps_per_pass", 5, countRange));
        costs.stepMs = section.real("step_ms", 4.55, 0, mostFactor);
        costs.perSequenceMs = section.real("per_sequence_ms", 0.905, 0, mostFactor);
        costs.contextMsPerThousand = section.real("context_ms_per_thousand", 0.0183, 0, mostFactor);
        costs.prefillTokensPerMs = section.real("prefill_tokens_per_ms", 61.4, 0.001, mostRequests);
        costs.expertShare = section.real("expert_share", 0.85, 0, 1);
        costs.layerSets = static_cast<int>(section.number("layer_sets", 16, countRange));
        costs.experts = static_cast<int>(section.number("experts", 96, countRange));
        costs.slotsPerRank = static_cast<int>(section.number("slots_per_rank", 5, countRange));
        costs.newExpertsPerPrepare = static_cast<int>(section.number("new_per_set", 2, countRange));
        costs.expertMb = section.real("expert_mb", 420, 0, mostRequests);
        costs.linkMbps = section.real("link_mbps", 44'000, 1, 1e7);
        made.expertSkew = section.real("expert_skew", made.expertSkew, 0, 3);
        costs.usualPromptTokens = made.meanPromptTokens;
        costs.usualAnswerTokens = made.meanEvents * costs.stepsPerPass;
        const bool allPlaced = static_cast<std::size_t>(costs.slotsPerRank) * made.ranksPerGroup >= static_cast<std::size_t>(costs.experts);
        if (!allPlaced)
            section.reject("experts", "do not fit into the slots of all ranks", "give each rank more slots");
    }

    const std::map<std::string, fault_kind> faultKinds {
        { "closure", fault_kind::closure },
        { "zone_cut", fault_kind::zone_cut },
        { "slow_rank", fault_kind::slow_rank },
        { "slow_all", fault_kind::slow_all },
        { "lost_answers", fault_kind::lost_answers },
        { "shift", fault_kind::shift },
        { "burst", fault_kind::burst },
        { "hold", fault_kind::hold },
        { "restart_all", fault_kind::restart_all },
    };

    void readFault(section_reader& section, scenario& made)
    {
        fault read;
        const auto kind = faultKinds.find(section.requiredText("kind"));
        if (kind == faultKinds.end())
            section.reject("kind", "is no kind of fault", "see docs/design/model.md for the kinds");
        else
            read.kind = kind->second;
        read.at = milli(section, "at_ms", read.at);
        read.length = milli(section, "for_ms", read.length);
        read.where = static_cast<std::size_t>(section.number("where", 0, anyCount));
        read.share = section.real("share", read.share, 0, 1);
        read.factor = section.real("factor", read.factor, 0, mostFactor);
        read.count = static_cast<int>(section.number("count", read.count, countRange));
        read.gap = milli(section, "gap_ms", read.gap);
        const std::size_t places = read.kind == fault_kind::zone_cut ? made.zones : made.groups;
        if (read.where >= places)
            section.reject("where", "is beyond the last group or zone", "count from 0");
        made.faults.push_back(read);
    }

    void readWays(section_reader& section, ways& made)
    {
        made.lastChanceNth = static_cast<int>(section.number("last_chance_nth", made.lastChanceNth, anyCount));
        const std::string way = section.text("first_event", "learnt");
        if (way == "none")
            made.firstEvent = silence_way::none;
        else if (way == "constant")
            made.firstEvent = silence_way::constant;
        else if (way != "learnt")
            section.reject("first_event", "is not a way to limit the first event", "write none, constant or learnt");
        made.constantFirstEvent = milli(section, "first_event_ms", made.constantFirstEvent);
        made.groupReach = section.flag("group_reach", made.groupReach);
        made.groupsByPass = section.flag("groups_by_pass", made.groupsByPass);
        made.silenceOfOneGroup = section.flag("silence_of_one_group", made.silenceOfOneGroup);
        made.endsLongWaits = section.flag("ends_long_waits", made.endsLongWaits);
        made.minGain = section.real("least_gain", made.minGain, 0, 1);
        made.minGainWithHeadroom = section.real("least_gain_at_ease", made.minGainWithHeadroom, 0, 1);
    }

    // Reads a section that may be missing, then rejects keys that nobody asked for.
    template <class Made>
    void readSection(const ini_document& document, std::string_view name, errors& found, Made& made, void (*read)(section_reader&, Made&))
    {
        const ini_section empty { std::string(name), 0, {} };
        const ini_section* section = document.find(name);
        section_reader reader(document, section ? *section : empty, found);
        read(reader, made);
        reader.rejectUnknown();
    }

    std::string nameOf(const std::string& path) { return std::filesystem::path(path).stem().string(); }

    void rejectSections(const ini_document& document, const std::vector<std::string>& known, errors& found)
    {
        for (const auto& section : document.sections()) {
            const bool isFault = section.name.starts_with("fault ");
            const bool isKnown = std::find(known.begin(), known.end(), section.name) != known.end();
            if (!isKnown && !(isFault && known.size() > 1))
                found.push_back({ document.file(), section.line, "[" + section.name + "]", "is no section of this file", "remove it or mend its name" });
        }
    }

} // namespace

boost::outcome_v2::checked<scenario, errors> scenario::read(const std::string& path)
{
    const auto document = load(path);
    if (!document)
        return document.error();
    errors found;
    scenario made;
    made.name = nameOf(path);
    rejectSections(document.value(), { "fleet", "traffic", "engine" }, found);
    readSection(document.value(), "fleet", found, made, readFleet);
    readSection(document.value(), "traffic", found, made, readTraffic);
    readSection(document.value(), "engine", found, made, readEngine);
    for (const auto& section : document.value().sections()) {
        if (!section.name.starts_with("fault "))
            continue;
        section_reader reader(document.value(), section, found);
        readFault(reader, made);
        reader.rejectUnknown();
    }
    if (!found.empty())
        return found;
    return made;
}

boost::outcome_v2::checked<ways, errors> ways::read(const std::string& path)
{
    const auto document = load(path);
    if (!document)
        return document.error();
    errors found;
    ways made;
    made.name = nameOf(path);
    rejectSections(document.value(), { "ways" }, found);
    readSection(document.value(), "ways", found, made, readWays);
    if (!found.empty())
        return found;
    return made;
}

} // namespace rampgap::model
