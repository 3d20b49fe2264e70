#include "policy/readiness.h"

namespace rampgap {

namespace {

    // A process with an older proof lets callers go where there is a newer one.
    constexpr milliseconds longestProofAge { 2'600 };
    // Between zones datagrams come several times each 250 ms: this silence is a cut.
    constexpr milliseconds longestZoneSilence { 800 };
    // Proofs are renewed each 0.5 to 0.8 s; one this old is not being renewed.
    constexpr milliseconds longestProofAgeWhenCut { 1'000 };

} // namespace

bool isReady(const readiness_question& question)
{
    if (question.leaving || !question.configured || !question.proofAge)
        return false;
    const bool cutOff = question.sinceOtherZones && *question.sinceOtherZones > longestZoneSilence;
    return *question.proofAge < (cutOff ? longestProofAgeWhenCut : longestProofAge);
}

} // namespace rampgap
