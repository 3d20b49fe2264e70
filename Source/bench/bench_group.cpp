// A scenario on the model of the fleet, and two ways of deciding compared on many.

#include "bench/bench_flags.h"
#include "bench/benchmarks.h"
#include "model/fleet_run.h"

#include <algorithm>
#include <atomic>
#include <cmath>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <mutex>
#include <thread>

namespace rampgap::bench {

namespace {

    using namespace model;

    // Of a difference: within it 95 in 100 means of so many pairs lie.
    constexpr double confidenceDeviations = 1.96;

    template <class Made>
    std::optional<Made> readOrReport(const std::string& path)
    {
        auto read = Made::read(path);
        if (read)
            return read.value();
        std::cerr << toString(read.error()) << "\n";
        return std::nullopt;
    }

    std::vector<double> marksOf(const scenario& given)
    {
        std::vector<double> marks;
        for (const auto& each : given.faults)
            marks.push_back(static_cast<double>(each.at.count()));
        return marks;
    }

    bool writePlot(const std::string& path, const std::string& picture)
    {
        if (path.empty())
            return true;
        std::ofstream file(path);
        file << picture;
        if (file)
            return true;
        std::cerr << "rampgap-bench: " << path << " cannot be written; name a file in a folder that exists\n";
        return false;
    }

    // Mean and half of the confidence interval.
    struct difference {
        double mean = 0;
        double half = 0;

        bool shown() const { return std::abs(mean) > half; }
    };

    difference differenceOf(const std::vector<double>& values)
    {
        const auto n = static_cast<double>(values.size());
        difference made;
        for (const double value : values)
            made.mean += value / n;
        double squares = 0;
        for (const double value : values)
            squares += (value - made.mean) * (value - made.mean);
        made.half = n > 1 ? confidenceDeviations * std::sqrt(squares / (n - 1) / n) : std::abs(made.mean);
        return made;
    }

    struct pair_run {
        std::size_t scenario = 0;
        std::uint64_t seed = 0;
        outcome first;
        outcome second;
    };

    // All pairs on all cores; progress on standard error.
    void runPairs(std::vector<pair_run>& pairs, const std::vector<scenario>& scenarios, const ways& first, const ways& second)
    {
        std::atomic<std::size_t> next { 0 };
        std::atomic<std::size_t> done { 0 };
        std::mutex progress;
        const auto work = [&] {
            for (std::size_t i = next++; i < pairs.size(); i = next++) {
                pair_run& each = pairs[i];
                each.first = runFleet(scenarios[each.scenario], first, each.seed);
                each.second = runFleet(scenarios[each.scenario], second, each.seed);
                const std::size_t count = ++done;
                if (count % 20 == 0 || count == pairs.size()) {
                    const std::lock_guard lock(progress);
                    std::cerr << count << " of " << pairs.size() << " pairs\n";
                }
            }
        };
        std::vector<std::thread> threads;
        for (unsigned i = 0; i < std::max(1U, std::thread::hardware_concurrency()); ++i)
            threads.emplace_back(work);
        for (auto& thread : threads)
            thread.join();
    }

    std::string describe(const difference& made)
    {
        char text[96];
        std::snprintf(text, sizeof(text), "%+.4f ± %.4f%s", made.mean, made.half, made.shown() ? "" : " (no difference shown)");
        return text;
    }

    void printComparison(const std::string& name, const std::vector<const pair_run*>& pairs, bool json)
    {
        std::vector<double> worth;
        std::vector<double> unserved;
        double first = 0;
        double second = 0;
        for (const auto* each : pairs) {
            worth.push_back(each->second.worth() - each->first.worth());
            unserved.push_back(each->second.unserved() - each->first.unserved());
            first += each->first.worth() / static_cast<double>(pairs.size());
            second += each->second.worth() / static_cast<double>(pairs.size());
        }
        const difference byWorth = differenceOf(worth);
        const difference byUnserved = differenceOf(unserved);
        if (json)
            std::cout << "{\"scenario\":\"" << name << "\",\"pairs\":" << pairs.size() << ",\"first\":" << first << ",\"second\":" << second << ",\"worth\":" << byWorth.mean << ",\"worth_half\":" << byWorth.half << ",\"unserved\":" << byUnserved.mean << ",\"unserved_half\":" << byUnserved.half << "}\n";
        else
            std::cout << "scenario=" << name << " pairs=" << pairs.size() << " first=" << first << " second=" << second << " worth: " << describe(byWorth) << " unserved: " << describe(byUnserved) << "\n";
    }

    std::optional<std::vector<scenario>> readScenarios(const std::string& folder)
    {
        std::error_code error;
        std::vector<std::string> paths;
        for (const auto& entry : std::filesystem::directory_iterator(folder, error)) {
            if (entry.path().extension() == ".ini")
                paths.push_back(entry.path().string());
        }
        if (error || paths.empty()) {
            std::cerr << "rampgap-bench: '" << folder << "' has no scenarios; name a folder with files *.ini by --scenarios\n";
            return std::nullopt;
        }
        std::sort(paths.begin(), paths.end());
        std::vector<scenario> scenarios;
        for (const auto& path : paths) {
            auto read = readOrReport<scenario>(path);
            if (!read)
                return std::nullopt;
            scenarios.push_back(std::move(*read));
        }
        return scenarios;
    }

} // namespace

int benchGroup(const bench_flags& flags)
{
    const auto given = readOrReport<scenario>(flags.files.front());
    const auto chosen = flags.ways.empty() ? std::optional(ways {}) : readOrReport<ways>(flags.ways);
    if (!given || !chosen)
        return 2;
    const outcome seen = runFleet(*given, *chosen, flags.seed);
    std::cout << (flags.json ? toJson(seen) : describeRun(flags) + " scenario=" + given->name + "\n" + toTable(seen));
    return writePlot(flags.plot, toSvg({ { given->name, seen } }, marksOf(*given))) ? 0 : 1;
}

int benchCompare(const bench_flags& flags)
{
    const auto first = readOrReport<ways>(flags.files[0]);
    const auto second = readOrReport<ways>(flags.files[1]);
    const auto scenarios = readScenarios(flags.scenarios);
    if (!first || !second || !scenarios)
        return 2;
    std::vector<pair_run> pairs;
    for (std::size_t i = 0; i < scenarios->size(); ++i) {
        for (std::uint64_t seed = 0; seed < flags.seeds; ++seed)
            pairs.push_back({ i, flags.seed + seed, {}, {} });
    }
    runPairs(pairs, *scenarios, *first, *second);
    std::vector<const pair_run*> all;
    for (std::size_t i = 0; i < scenarios->size(); ++i) {
        std::vector<const pair_run*> own;
        for (const auto& each : pairs) {
            if (each.scenario == i)
                own.push_back(&each);
        }
        printComparison((*scenarios)[i].name, own, flags.json);
        all.insert(all.end(), own.begin(), own.end());
    }
    printComparison("all", all, flags.json);
    const std::string picture = toSvg({ { first->name, pairs.front().first }, { second->name, pairs.front().second } }, marksOf(scenarios->front()));
    return writePlot(flags.plot, picture) ? 0 : 1;
}

} // namespace rampgap::bench
