#include "wire/crash_codec.h"

#include <algorithm>

namespace rampgap {

void addCrashes(crash_messages& messages, const aged_crash_records& all)
{
    for (const auto& [record, age] : all) {
        auto* added = messages.Add();
        added->set_request(record.request.value);
        for (const auto& crash : record.crashes) {
            if (crash.early)
                added->add_early_servers(crash.server);
            else
                added->add_late_servers(crash.server);
        }
        added->set_served(record.served);
        added->set_part_position(record.partPosition);
        added->set_age_ms(static_cast<std::uint32_t>(age.count()));
    }
}

bool mergeCrashes(const crash_messages& messages, crash_history& history, instant now)
{
    bool changed = false;
    for (const auto& message : messages) {
        crash_record record { { message.request() }, {}, message.served(), std::min(message.part_position(), lastPart) };
        for (const auto server : message.early_servers())
            record.crashes.push_back({ server, true });
        for (const auto server : message.late_servers())
            record.crashes.push_back({ server, false });
        changed = history.merge(record, milliseconds(message.age_ms()), now) || changed;
    }
    return changed;
}

} // namespace rampgap
