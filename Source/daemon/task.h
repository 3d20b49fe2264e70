// Starts coroutines that nobody waits for. An exception that ends one is logged and counted; dropped, its caller would wait for
// ever, or a loop that the process cannot do without would have ended unseen.
#pragma once

#include "daemon/http_message.h"
#include "daemon/process_context.h"

#include <functional>
#include <optional>
#include <string>

namespace rampgap {

// Runs `work` once. `name` is for the log.
void startTask(process_context&, std::string name, awaitable<void> work);
// Runs `loop`, and again after a pause each time that an exception ends it.
void startLoop(process_context&, std::string name, std::function<awaitable<void>()> loop);

// Returns what the exception that ended `work` says; empty if none did.
awaitable<std::optional<std::string>> runGuarded(awaitable<void> work);

} // namespace rampgap
