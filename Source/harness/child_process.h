// One process of a test fleet; ended with the object.
#pragma once

#include <string>
#include <sys/types.h>
#include <vector>

namespace rampgap::test {

class child_process {
public:
    // Starts the program and waits for its "ready http=PORT peer=PORT" line.
    child_process(const std::string& program, const std::vector<std::string>& arguments);
    ~child_process();
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;

    int httpPort() const { return m_httpPort; }
    int peerPort() const { return m_peerPort; }
    std::string address() const { return "127.0.0.1:" + std::to_string(m_httpPort); }
    std::string peerAddress() const { return "127.0.0.1:" + std::to_string(m_peerPort); }
    pid_t id() const { return m_id; }
    // Addresses of the ranks that a group's stand-in serves.
    const std::vector<std::string>& rankAddresses() const { return m_ranks; }

    void signal(int number) const;
    // Waits for the end; the exit code, or minus the signal's number.
    int wait();
    void kill();

private:
    pid_t m_id = -1;
    int m_httpPort = 0;
    int m_peerPort = 0;
    std::vector<std::string> m_ranks;
};

} // namespace rampgap::test
