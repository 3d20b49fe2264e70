// The HTTP pages that every process has: health, metrics, status, timeline.
#pragma once

#include "daemon/http_server.h"

namespace rampgap {

class configuration_node;
struct process_settings;

class operator_pages {
public:
    operator_pages(process_context&, const process_settings&, const configuration_node&);

    // Returns the answer if the path is one of these pages, otherwise nothing.
    std::optional<http_response> answer(const http_request&);
    void setLeaving() { m_leaving = true; }

private:
    bool authorised(const http_request&) const;
    http_response health() const;
    http_response readiness() const;
    http_response status() const;
    http_response timelinePage() const;
    http_response declarationPage() const;
    http_response cutPeers(const http_request&);

    process_context& m_context;
    const process_settings& m_settings;
    const configuration_node& m_configuration;
    bool m_leaving = false;
};

// The bearer key of a request, empty if there is none.
std::string bearerKey(const http_request&);

} // namespace rampgap
