#include "once_model.h"

#include <algorithm>

namespace rampgap::test {

namespace {

    constexpr std::size_t agentCount = 4;
    constexpr milliseconds idLife { 1'000 };
    const std::string service = "filings";

    std::string backendSection(const std::string& name, const std::string& flag)
    {
        return "[backend " + name + "]\nzone = z\naddress = 127.0.0.1:1\npeer_address = 127.0.0.1:2\nserves = " + service + "\n" + flag + "\n";
    }

    std::string flagOf(const backend_declaration& backend)
    {
        if (backend.stopped)
            return "stopped = yes";
        return backend.draining ? "draining = yes" : "";
    }

    declaration parsed(const std::string& backends, std::uint64_t revision)
    {
        auto made = declaration::parse("[rules]\nid_life_ms = 1000\n[service " + service + "]\npath = /f\n" + backends, "model");
        return made.value().withLink({ revision, revision - 1, "", "" });
    }

} // namespace

once_model::once_model(choice_source& choices)
    : m_choices(choices)
    , m_now(instant() + std::chrono::hours(1))
{
    std::string backends;
    for (std::size_t i = 0; i < agentCount; ++i)
        backends += backendSection(nameOf(i), "");
    m_declarations.push_back(parsed(backends, 1));
    m_agents.resize(agentCount);
    for (std::size_t i = 0; i < agentCount; ++i)
        restart(i, 0);
    heal();
}

std::string once_model::nameOf(std::size_t index) const
{
    return "a" + std::to_string(index);
}

void once_model::step()
{
    const auto any = [&] { return static_cast<std::size_t>(m_choices.below(agentCount)); };
    switch (m_choices.below(24)) {
    case 0:
        m_now += milliseconds(m_choices.below(400));
        break;
    case 2:
        publish();
        break;
    case 3:
    case 4:
        learn(m_agents[any()], m_choices.below(6) == 0);
        break;
    case 5:
    case 6:
    case 7:
    case 8:
    case 9:
    case 1: {
        const std::size_t asker = any();
        ask(asker, any(), m_choices.below(4) == 0);
        break;
    }
    case 10:
        deliverLate();
        break;
    case 11:
        if (m_choices.below(3) == 0)
            crash(any());
        break;
    case 12:
        if (const std::size_t which = any(); !m_agents[which].alive)
            restart(which, m_choices.below(static_cast<std::uint32_t>(m_declarations.size())));
        break;
    case 13:
        if (m_choices.below(2) == 0)
            leave(any());
        break;
    case 14:
        exchangeAll();
        break;
    default:
        send();
    }
}

// Drains one backend or puts it back; declares it stopped only if it is.
void once_model::publish()
{
    const declaration& last = m_declarations.back();
    const std::size_t changed = m_choices.below(agentCount);
    // At least two owners remain, or nothing could run.
    const auto& homes = last.ownersOf(service);
    if (homes.size() <= 2 && std::find(homes.begin(), homes.end(), nameOf(changed)) != homes.end())
        return;
    std::string backends;
    for (std::size_t i = 0; i < agentCount; ++i) {
        const auto* backend = last.findBackend(nameOf(i));
        std::string flag = flagOf(*backend);
        if (i == changed && flag.empty())
            flag = m_agents[i].alive ? "draining = yes" : "stopped = yes";
        else if (i == changed)
            flag.clear();
        backends += backendSection(nameOf(i), flag);
    }
    m_declarations.push_back(parsed(backends, last.link().revision + 1));
}

void once_model::learn(agent& which, bool skip)
{
    if (!which.alive || which.revisionIndex + 1 >= m_declarations.size())
        return;
    which.revisionIndex = skip ? m_declarations.size() - 1 : which.revisionIndex + 1;
    which.guard->apply(declared(which), m_now);
}

// Requests go to any agent, whatever the sender knows: each agent must check them itself.
void once_model::send()
{
    std::string key;
    if (m_ids.empty() || m_choices.below(3) == 0) {
        key = "id" + std::to_string(m_nextId++);
    } else {
        auto chosen = m_ids.begin();
        std::advance(chosen, m_choices.below(static_cast<std::uint32_t>(m_ids.size())));
        key = chosen->first;
    }
    const std::size_t first = m_choices.below(agentCount);
    for (std::size_t i = 0; i < agentCount; ++i) {
        agent& target = m_agents[(first + i) % agentCount];
        if (target.alive)
            tryRun(target, key);
    }
}

void once_model::exchangeAll()
{
    for (std::size_t asker = 0; asker < agentCount; ++asker) {
        for (std::size_t asked = 0; asked < agentCount; ++asked) {
            if (asker != asked && m_agents[asker].alive && m_agents[asked].alive)
                m_agents[asker].guard->acceptHandover(m_agents[asked].guard->answerHandover(m_agents[asker].guard->ownership().status(), false, m_now), m_now);
        }
    }
}

bool once_model::tryRun(agent& target, const std::string& key)
{
    const auto known = m_ids.find(key);
    // Callers repeat an id only within its lifetime.
    if (known != m_ids.end() && m_now - known->second.born >= idLife) {
        m_ids.erase(known);
        return false;
    }
    const request_id id { "w", service, key };
    const auto claimed = target.guard->claim(id, 0, m_now);
    if (!claimed || claimed.value())
        return false;
    auto& record = m_ids.try_emplace(key, id_record { m_now, 0 }).first->second;
    ++record.runs;
    ++m_accepted;
    m_mostRuns = std::max(m_mostRuns, record.runs);
    target.guard->ledger().finishWithoutAnswer(id, m_now);
    return true;
}

void once_model::ask(std::size_t asker, std::size_t asked, bool takeBack)
{
    agent& from = m_agents[asker];
    agent& to = m_agents[asked];
    if (asker == asked || !from.alive || !to.alive)
        return;
    late_answer made { asker, from.incarnation, to.guard->answerHandover(from.guard->ownership().status(), takeBack, m_now), takeBack };
    switch (m_choices.below(6)) {
    case 0:
        break;
    case 1:
        m_late.push_back(std::move(made));
        break;
    default:
        if (takeBack)
            from.guard->restoreMemory(made.answer, m_now);
        else
            from.guard->acceptHandover(made.answer, m_now);
    }
}

void once_model::deliverLate()
{
    if (m_late.empty())
        return;
    const std::size_t which = m_choices.below(static_cast<std::uint32_t>(m_late.size()));
    const late_answer late = m_late[which];
    // Half of the late answers arrive a second time.
    if (m_choices.below(2) == 0)
        m_late.erase(m_late.begin() + static_cast<std::ptrdiff_t>(which));
    agent& from = m_agents[late.asker];
    if (!from.alive || from.incarnation != late.askerIncarnation)
        return;
    if (late.memoryBack)
        from.guard->restoreMemory(late.answer, m_now);
    else
        from.guard->acceptHandover(late.answer, m_now);
}

void once_model::crash(std::size_t which)
{
    m_agents[which].alive = false;
}

void once_model::restart(std::size_t which, std::size_t revisionIndex)
{
    agent& target = m_agents[which];
    // A backend that the operator declared stopped is not started before it is declared running again.
    if (const auto* backend = m_declarations.back().findBackend(nameOf(which)); backend->stopped)
        return;
    ++target.incarnation;
    target.alive = true;
    target.revisionIndex = revisionIndex;
    target.guard = std::make_unique<execution_guard>(nameOf(which), target.incarnation, m_now, ledger_limits {});
    target.guard->apply(declared(target), m_now);
}

void once_model::leave(std::size_t which)
{
    agent& target = m_agents[which];
    if (!target.alive)
        return;
    const auto deposit = target.guard->handOff(m_now);
    crash(which);
    if (!deposit)
        return;
    for (const auto& name : target.guard->ownership().standbys()) {
        const std::size_t index = static_cast<std::size_t>(name.back() - '0');
        agent& keeper = m_agents[index];
        if (!keeper.alive)
            continue;
        const bool accepted = keeper.guard->acceptDeposit(*deposit, m_now);
        const bool replyLost = m_choices.below(4) == 0;
        // After a lost answer no other standby may be asked.
        if (accepted || replyLost)
            return;
    }
}

void once_model::heal()
{
    for (std::size_t i = 0; i < agentCount; ++i) {
        if (!m_agents[i].alive)
            restart(i, m_declarations.size() - 1);
    }
    for (int round = 0; round < 3; ++round) {
        for (auto& member : m_agents) {
            while (member.alive && member.revisionIndex + 1 < m_declarations.size())
                learn(member, false);
        }
        exchangeAll();
        m_now += idLife + milliseconds(1);
    }
}

bool once_model::someoneRuns(const std::string& key)
{
    return std::any_of(m_agents.begin(), m_agents.end(), [&](agent& member) { return member.alive && tryRun(member, key); });
}

} // namespace rampgap::test
