#include "wire/crash_codec.h"

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
        added->set_age_ms(static_cast<std::uint32_t>(age.count()));
    }
}

bool mergeCrashes(const crash_messages& messages, crash_history& history, instant now)
{
    bool news = false;
    for (const auto& told : messages) {
        crash_record record { { told.request() }, {}, told.served() };
        for (const auto server : told.early_servers())
            record.crashes.push_back({ server, true });
        for (const auto server : told.late_servers())
            record.crashes.push_back({ server, false });
        news = history.merge(record, milliseconds(told.age_ms()), now) || news;
    }
    return news;
}

} // namespace rampgap
