// Converts crash records to and from messages.
#pragma once

#include "crash.pb.h"
#include "policy/requests/crash_history.h"

namespace rampgap {

using crash_messages = google::protobuf::RepeatedPtrField<wire::crash_record>;

void addCrashes(crash_messages&, const aged_crash_records&);
// Merges the records into the history. Returns true if any of them changed it.
bool mergeCrashes(const crash_messages&, crash_history&, instant now);

} // namespace rampgap
