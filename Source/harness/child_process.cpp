#include "harness/child_process.h"

#include <csignal>
#include <cstdio>
#include <fcntl.h>
#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

extern char** environ;

namespace rampgap::test {

namespace {

    // Until the process ends.
    void copyToStderr(FILE* lines)
    {
        char line[4'096] = "";
        while (fgets(line, sizeof line, lines))
            fputs(line, stderr);
    }

} // namespace

child_process::child_process(const std::string& program, const std::vector<std::string>& arguments)
{
    const std::string path = std::string(RAMPGAP_PROGRAMS) + "/" + program;
    std::vector<char*> words { const_cast<char*>(path.c_str()) };
    for (const auto& argument : arguments)
        words.push_back(const_cast<char*>(argument.c_str()));
    words.push_back(nullptr);

    int ends[2];
    if (pipe2(ends, O_CLOEXEC) != 0)
        throw std::runtime_error("no pipe");
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, ends[1], 1);
    const bool showLogs = getenv("RAMPGAP_TEST_LOGS") != nullptr;
    if (!showLogs)
        posix_spawn_file_actions_addopen(&actions, 2, "/dev/null", O_WRONLY, 0);
    const int failed = posix_spawn(&m_id, path.c_str(), &actions, nullptr, words.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    close(ends[1]);
    if (failed != 0)
        throw std::runtime_error("cannot start " + path);
    FILE* const out = fdopen(ends[0], "r");
    char line[512] = "";
    while (fgets(line, sizeof line, out)) {
        int rankPort = 0;
        if (sscanf(line, "rank http=%d", &rankPort) == 1)
            m_ranks.push_back("127.0.0.1:" + std::to_string(rankPort));
        if (sscanf(line, "ready http=%d peer=%d", &m_httpPort, &m_peerPort) == 2)
            break;
    }
    // The pipe stays open, so that later lines of the process do not end it.
    if (m_httpPort == 0)
        throw std::runtime_error(program + " did not become ready");
    if (showLogs)
        std::thread(copyToStderr, out).detach();
}

child_process::~child_process()
{
    kill();
}

void child_process::signal(int number) const
{
    if (m_id > 0)
        ::kill(m_id, number);
}

int child_process::wait()
{
    int status = 0;
    if (m_id <= 0 || waitpid(m_id, &status, 0) != m_id)
        return -1;
    m_id = -1;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
}

void child_process::kill()
{
    if (m_id <= 0)
        return;
    signal(SIGKILL);
    wait();
}

} // namespace rampgap::test
