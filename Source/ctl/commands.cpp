#include "ctl/commands.h"

#include "ctl/fleet_reader.h"
#include "daemon/daemon_main.h"
#include "daemon/sleep.h"
#include "policy/common/digest.h"
#include "policy/configuration/change_plan.h"
#include <fstream>
#include <iomanip>
#include <iostream>
#include <sstream>
#include <unistd.h>

namespace rampgap::ctl {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

    constexpr milliseconds watchPause { 1'000 };
    constexpr milliseconds waitPause { 100 };
    constexpr std::int64_t nsPerMicrosecond = 1'000;

    int fail(const std::string& message, int code = exit_failed)
    {
        std::cerr << "rampgapctl: " << message << "\n";
        return code;
    }

    result<std::string> readFile(const std::string& path)
    {
        const std::ifstream file(path);
        if (!file)
            return notRun(failure_reason::not_found, path + " cannot be read");
        std::ostringstream text;
        text << file.rdbuf();
        return text.str();
    }

    // Prints to the --output file or to standard output.
    int writeOut(const ctl_flags& flags, const std::string& text)
    {
        if (flags.output.empty()) {
            std::cout << text;
            return exit_ok;
        }
        std::ofstream file(flags.output);
        file << text;
        file.flush();
        return file ? exit_ok : fail(flags.output + " cannot be written");
    }

    declaration::parse_result parseFile(const std::string& path)
    {
        const auto text = readFile(path);
        if (!text)
            return std::vector<input_error> { { path, 0, "", "cannot be read", "name an INI file" } };
        return declaration::parse(text.value(), path);
    }

    json::object planObject(const change_plan& plan)
    {
        json::array changes;
        for (const auto& change : plan.changes()) {
            const char* const kinds[] = { "add", "remove", "modify" };
            changes.push_back(json::object { { "kind", kinds[static_cast<int>(change.kind)] }, { "section", change.section }, { "key", change.key }, { "before", change.before }, { "after", change.after } });
        }
        const declaration_link& link = plan.declared().link();
        return {
            { "revision", link.revision },
            { "base_revision", link.baseRevision },
            { "base_digest", link.baseDigest },
            { "plan_digest", link.planDigest },
            { "changes", std::move(changes) },
            { "costs", json::array(plan.costs().begin(), plan.costs().end()) },
            { "warnings", json::array(plan.warnings().begin(), plan.warnings().end()) },
        };
    }

    json::object statusObject(const process_status& status)
    {
        return {
            { "name", status.name },
            { "zone", status.zone },
            { "role", status.role },
            { "address", status.address },
            { "reachable", status.reachable },
            { "ready", status.ready },
            { "reader", status.reader },
            { "revision", status.revision },
            { "digest", status.digest },
            { "source", status.source },
            { "age_ms", status.ageMs },
            { "refusals", json::array(status.refusals.begin(), status.refusals.end()) },
        };
    }

    const char* stateName(const process_status& status)
    {
        if (!status.reachable)
            return "unreachable";
        return status.ready ? "ready" : "not ready";
    }

    void printStatuses(const std::vector<process_status>& all)
    {
        std::cout << std::left << std::setw(22) << "NAME" << std::setw(16) << "ZONE" << std::setw(8) << "ROLE" << std::setw(13) << "STATE"
                  << std::setw(10) << "REVISION" << std::setw(10) << "AGE"
                  << "SOURCE\n";
        const bool colour = isatty(STDOUT_FILENO) != 0;
        for (const auto& status : all) {
            const char* const state = stateName(status);
            const bool red = colour && !status.ready;
            std::cout << (red ? "\033[31m" : "") << std::setw(22) << status.name << std::setw(16) << status.zone << std::setw(8) << status.role << std::setw(13) << state
                      << std::setw(10) << status.revision << std::setw(10) << (std::to_string(status.ageMs / 1000) + " s") << status.source
                      << (status.reader ? " (reader)" : "") << (red ? "\033[0m" : "") << "\n";
        }
        for (const auto& status : all) {
            for (const auto& refused : status.refusals)
                std::cout << "refused by " << status.name << ": " << refused << "\n";
        }
    }

    int check(const ctl_flags& flags)
    {
        const auto parsed = parseFile(flags.arguments[0]);
        if (!parsed)
            return fail("\n" + toString(parsed.error()), exit_usage);
        const auto& declared = parsed.value();
        std::cout << flags.arguments[0] << ": valid; " << declared.workspaces().size() << " workspaces, " << declared.services().size() << " services, "
                  << declared.backends().size() << " backends, " << declared.groups().size() << " groups\n";
        return exit_ok;
    }

    int showPlan(const ctl_flags& flags, const change_plan& plan)
    {
        if (flags.json)
            std::cout << json::serialize(planObject(plan)) << "\n";
        else
            std::cout << plan.toText();
        if (flags.output.empty())
            return exit_ok;
        const int code = writeOut(flags, plan.declared().canonicalText());
        if (code == exit_ok && !flags.json)
            std::cout << "Written to " << flags.output << "; 'rampgapctl confirm " << flags.output << "' prints what to publish.\n";
        return code;
    }

    awaitable<int> planIntent(fleet_reader& fleet, const ctl_flags& flags, declaration intent)
    {
        const auto statuses = co_await fleet.statuses();
        if (!statuses)
            co_return fail(statuses.error().message);
        std::uint64_t highest = 0;
        for (const auto& status : statuses.value())
            highest = std::max(highest, status.highestSeen);
        if (statuses.value().front().revision == 0)
            co_return showPlan(flags, change_plan::makeFirst(intent));
        const auto current = co_await fleet.inForce();
        if (!current)
            co_return fail(current.error().message);
        co_return showPlan(flags, change_plan::make(current.value(), intent, highest));
    }

    awaitable<int> plan(fleet_reader& fleet, const ctl_flags& flags)
    {
        auto intent = parseFile(flags.arguments[0]);
        if (!intent)
            co_return fail("\n" + toString(intent.error()), exit_usage);
        co_return co_await planIntent(fleet, flags, std::move(intent.value()));
    }

    awaitable<int> drain(fleet_reader& fleet, const ctl_flags& flags)
    {
        const auto current = co_await fleet.inForce();
        if (!current)
            co_return fail(current.error().message);
        auto drained = current.value().withDraining(flags.arguments[0]);
        if (!drained)
            co_return fail("no backend named '" + flags.arguments[0] + "'; see 'rampgapctl status'", exit_usage);
        co_return co_await planIntent(fleet, flags, std::move(*drained));
    }

    awaitable<int> confirm(fleet_reader& fleet, const ctl_flags& flags)
    {
        const auto planned = parseFile(flags.arguments[0]);
        if (!planned)
            co_return fail("\n" + toString(planned.error()), exit_usage);
        const declaration_link& link = planned.value().link();
        if (link.planDigest != planDigest(link.baseDigest, planned.value().canonicalBody()))
            co_return fail(flags.arguments[0] + ": not an unchanged plan; make it with 'rampgapctl plan INTENT --output FILE'", exit_usage);
        const auto statuses = co_await fleet.statuses();
        if (!statuses)
            co_return fail(statuses.error().message);
        const auto& entry = statuses.value().front();
        if (entry.revision != link.baseRevision || (entry.revision > 0 && entry.digest != link.baseDigest))
            co_return fail("revision " + std::to_string(entry.revision) + " is in force, but the plan is based on " + std::to_string(link.baseRevision) + ": plan again");
        co_return writeOut(flags, planned.value().canonicalText());
    }

    awaitable<int> status(process_context& context, fleet_reader& fleet, const ctl_flags& flags)
    {
        for (;;) {
            const auto all = co_await fleet.statuses();
            if (!all)
                co_return fail(all.error().message);
            if (flags.json) {
                json::array list;
                for (const auto& one : all.value())
                    list.push_back(statusObject(one));
                std::cout << json::serialize(list) << std::endl;
            } else {
                if (flags.watch && isatty(STDOUT_FILENO))
                    std::cout << "\033[H\033[2J";
                printStatuses(all.value());
            }
            if (!flags.watch)
                co_return exit_ok;
            co_await sleepFor(context.io(), watchPause);
        }
    }

    awaitable<int> waitFor(process_context& context, fleet_reader& fleet, const ctl_flags& flags)
    {
        const std::uint64_t wanted = std::strtoull(flags.arguments[0].c_str(), nullptr, 10);
        if (wanted == 0)
            co_return fail("'" + flags.arguments[0] + "' is not a revision", exit_usage);
        const instant until = context.now() + milliseconds(flags.timeoutMs);
        for (;;) {
            const auto all = co_await fleet.statuses();
            if (!all)
                co_return fail(all.error().message);
            std::string lacking;
            for (const auto& one : all.value()) {
                if (one.reachable && one.revision < wanted)
                    lacking += " " + one.name;
                for (const auto& refused : one.refusals) {
                    if (refused.starts_with("revision " + std::to_string(wanted) + ":"))
                        co_return fail(one.name + " refused " + refused);
                }
            }
            if (lacking.empty()) {
                std::cout << "revision " << wanted << " is in force in " << all.value().size() << " processes\n";
                co_return exit_ok;
            }
            if (context.now() >= until)
                co_return fail("revision " + std::to_string(wanted) + " is not in force in:" + lacking);
            if (isatty(STDERR_FILENO))
                std::cerr << "waiting for:" << lacking << "\n";
            co_await sleepFor(context.io(), waitPause);
        }
    }

    awaitable<int> showTimeline(fleet_reader& fleet, const ctl_flags& flags)
    {
        const auto events = co_await fleet.timeline();
        if (!events)
            co_return fail(events.error().message);
        json::array list;
        for (const auto& event : events.value()) {
            if (!flags.request.empty() && event.correlation != flags.request)
                continue;
            if (flags.json) {
                list.push_back(json::object { { "process", event.process }, { "zone", event.zone }, { "clock", event.clock }, { "wall_ns", event.wallNs }, { "kind", std::string(toString(event.kind)) }, { "request", event.correlation }, { "detail", event.detail } });
                continue;
            }
            std::cout << std::right << std::setw(8) << event.clock << "  " << event.wallNs / nsPerMicrosecond << "us  " << std::left << std::setw(22) << event.process
                      << std::setw(20) << toString(event.kind) << event.correlation << (event.correlation.empty() ? "" : "  ") << event.detail << "\n";
        }
        if (flags.json)
            std::cout << json::serialize(list) << "\n";
        co_return exit_ok;
    }

    int printCompletion()
    {
        std::cout << "complete -W \"";
        for (const auto& row : commandTable())
            std::cout << row.name << " ";
        std::cout << "--entry --key --output --request --json --watch --timeout-ms --help --version\" -o default rampgapctl\n";
        return exit_ok;
    }

} // namespace

awaitable<int> runCommand(process_context& context, http_client& client, const ctl_flags& flags)
{
    if (flags.command == "check")
        co_return check(flags);
    if (flags.command == "digest") {
        std::cout << sha256Hex(flags.arguments[0]) << "\n";
        co_return exit_ok;
    }
    if (flags.command == "completion")
        co_return printCompletion();
    if (flags.entry.empty())
        co_return fail("no entry VM; name one with --entry or RAMPGAP_ENTRY", exit_usage);
    fleet_reader fleet(context, client, flags.entry, flags.key);
    if (flags.command == "plan")
        co_return co_await plan(fleet, flags);
    if (flags.command == "drain")
        co_return co_await drain(fleet, flags);
    if (flags.command == "confirm")
        co_return co_await confirm(fleet, flags);
    if (flags.command == "wait")
        co_return co_await waitFor(context, fleet, flags);
    if (flags.command == "status")
        co_return co_await status(context, fleet, flags);
    co_return co_await showTimeline(fleet, flags);
}

} // namespace rampgap::ctl
