// Runs an action at the end of a scope in a coroutine, also if an exception ends it.
#pragma once

#include "daemon/process_context.h"

#include <memory>
#include <utility>

namespace rampgap {

// With the process's context all suspended coroutines are destroyed. The action is not run then: what it refers to may be gone.
template <class Action>
class scope_exit {
public:
    scope_exit(const process_context& context, Action action)
        : m_running(context.running())
        , m_action(std::move(action))
    {
    }
    ~scope_exit()
    {
        if (*m_running)
            m_action();
    }
    scope_exit(const scope_exit&) = delete;
    scope_exit& operator=(const scope_exit&) = delete;

private:
    std::shared_ptr<const bool> m_running;
    Action m_action;
};

} // namespace rampgap
