// Fake of the configuration service and the VM list: read and watch, calls counted.
#pragma once

#include "daemon/boot_timer.h"
#include "daemon/http_server.h"
#include "discovery/vm_list.h"

#include <map>

namespace rampgap::standin {

// Readers use GET; PUT and POST are the operators' and the tests' side.
class platform_standin : public http_handler {
public:
    explicit platform_standin(process_context&);

    awaitable<void> handle(http_exchange&) override;

private:
    awaitable<http_response> answer(const http_request&);
    http_response publish(const http_request&, const std::string& path);
    http_response setFaults(const std::string& target);
    awaitable<http_response> watch(const std::string& target);
    awaitable<http_response> watchVms(const std::string& target);
    http_response latest(const std::string& target) const;
    // The highest revision that readers may see: lower while the service is stale.
    std::uint64_t visible() const;
    http_response documents(std::uint64_t after, std::size_t most) const;
    awaitable<void> waitForChange(instant until);

    process_context& m_context;
    std::map<std::uint64_t, std::string> m_declarations;
    vm_list m_vms;
    std::uint64_t m_reads = 0;
    bool m_down = false;
    std::uint64_t m_staleAt = UINT64_MAX;
    boot_timer m_change;
};

} // namespace rampgap::standin
