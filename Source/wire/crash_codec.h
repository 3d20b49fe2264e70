// Records of crashed servers, to and from messages.
#pragma once

#include "crash.pb.h"
#include "policy/crash_history.h"

namespace rampgap {

using crash_messages = google::protobuf::RepeatedPtrField<wire::crash_record>;

void addCrashes(crash_messages&, const aged_crash_records&);
// True if any was news to the history.
bool mergeCrashes(const crash_messages&, crash_history&, instant now);

} // namespace rampgap
