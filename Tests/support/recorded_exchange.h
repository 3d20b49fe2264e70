// What a caller of a relay would have got.
#pragma once

#include "daemon/http_server.h"

namespace rampgap::test {

class recorded_exchange : public http_exchange {
public:
    explicit recorded_exchange(http::verb method = http::verb::get) { m_request.method(method); }

    const http_request& request() const override { return m_request; }
    instant receivedAt() const override { return m_receivedAt; }
    awaitable<bool> send(http_response response) override
    {
        head = response.base();
        body = response.body();
        m_begun = true;
        finished = true;
        co_return true;
    }
    awaitable<bool> begin(http_head answer) override
    {
        head = std::move(answer);
        m_begun = true;
        co_return true;
    }
    awaitable<bool> write(std::string_view bytes) override
    {
        body += bytes;
        co_return true;
    }
    awaitable<bool> finish() override
    {
        finished = true;
        co_return true;
    }
    void closeAfterAnswer() override { }
    void abort() override { }
    bool begun() const override { return m_begun; }
    bool callerGone() const override { return false; }
    void onCallerGone(std::function<void()>) override { }

    http_head head;
    std::string body;
    // The answer is framed as complete.
    bool finished = false;

private:
    instant m_receivedAt = boot_clock::now();
    http_request m_request;
    bool m_begun = false;
};

} // namespace rampgap::test
