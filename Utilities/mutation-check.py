#!/usr/bin/env python3
"""Takes one protective rule at a time out of the policy and shows that a test turns red.

Usage: Utilities/mutation-check.py [NAME]...   (all rules without a name; needs g++ only)
Exit code 0 if every rule is caught, 1 if one is not.
"""
import concurrent.futures
import glob
import os
import subprocess
import sys
import tempfile

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
# A generous number of random runs; the seed is fixed.
RUNS = {"RC_PARAMS": "seed=20261202 max_success=30000"}

# name, source file, text to replace, replacement, test sources
RULES = [
    ("no_quarantine", "ownership_guard.cpp", "if (inQuarantine(now))\n        return refuse", "if (false)\n        return refuse", "requests/at-most-once-property"),
    ("quarantine_from_start", "ownership_guard.cpp", "    m_quarantineFrom = now;\n}\n\nbool ownership_guard::inQuarantine", "}\n\nbool ownership_guard::inQuarantine", "requests/at-most-once-property"),
    ("no_proof", "ownership_guard.cpp", "if (m_revisionConfirmed || m_revision == 0 || !unconfirmedAgents().empty())", "if (m_revisionConfirmed)", "requests/at-most-once-property"),
    ("no_handover", "ownership_guard.cpp", "if (change.pending.contains(previous) ||", "if (false ||", "requests/at-most-once-property"),
    ("no_wait_for_lost_homes", "ownership_guard.cpp", "if (change.lost.contains(previous) && now", "if (false && now", "requests/at-most-once-property"),
    ("no_majority", "ownership_guard.cpp", "|| !majorityAtRevision())\n        return refuse", ")\n        return refuse", "requests/at-most-once-property"),
    ("skip_not_proved", "ownership_guard.cpp", "const bool skipped = known &&", "const bool skipped = false && known &&", "requests/at-most-once-property"),
    ("handover_at_any_revision", "ownership_guard.cpp", "if (revision < m_revision)\n        return;\n    for", "if (false)\n        return;\n    for", "requests/at-most-once-property"),
    ("vouch_without_memory", "ownership_guard.cpp", "return m_revisionConfirmed && !inQuarantine(now);", "return true;", "requests/at-most-once-property"),
    ("memory_back_at_any_revision", "ownership_guard.cpp", "if (revision == m_revision)\n        m_memoryRestored", "if (true)\n        m_memoryRestored", "requests/at-most-once-property"),
    ("grant_at_any_revision", "ownership_guard.cpp", "found->second.revision == m_revision && now", "now", "requests/at-most-once-property"),
    ("give_away_unsettled", "ownership_guard.cpp", "return remembersAllRuns(now) && settled;", "return remembersAllRuns(now);", "requests/at-most-once-property"),
    ("runs_after_giving_away", "ownership_guard.cpp", "if (m_ownershipReleased)\n        return refuse", "if (false)\n        return refuse", "requests/at-most-once-property"),
    ("grant_does_not_end", "execution_guard.cpp", "m_idLife / grantLifetimeDivisor", "m_idLife * 100", "requests/at-most-once-property"),
    ("ledger_forgets_running", "request_ledger.cpp", "found->second.state == phase::running) {\n            touch", "false) {\n            touch", "requests/ledger-property"),
    ("ledger_ignores_life", "request_ledger.cpp", "now - m_expiries.front().touched >= m_limits.idLife", "now - m_expiries.front().touched >= m_limits.idLife / 2", "requests/ledger-property"),
    ("retry_unsafe", "retry_policy.cpp", "input.last.ran == verdict::not_run || input.repeatable", "true", "requests/retry-property"),
    ("retry_without_budget", "retry_policy.cpp", "return budget.tryConsume();", "return true;", "requests/retry-property"),
    ("admission_unfair", "admission_queue.cpp", "served < lowestServed", "false", "requests/admission-property"),
    ("less_urgent_starve", "admission_queue.cpp", "if (++starts < lessUrgentNth)", "if (true)", "platform/admission-order"),
    ("turned_away_with_a_free_turn", "admission_wait.cpp", "if (forecast.queue.ahead == 0)", "if (false)", "platform/admission-order"),
    ("late_one_takes_the_slot", "admission_queue.cpp", "    if (m_shedding)\n        shed(now, outcome);\n    startWaiting", "    startWaiting", "requests/admission-property"),
    ("stale_permit_taken", "permit_issuer.cpp", "age > permitLifetime", "false", "requests/permit-property"),
    ("base_not_checked", "revision_chain.cpp", "if (source == document_source::service && !linked)", "if (false)", "config/chain-property"),
    ("revision_may_fall", "revision_chain.cpp", "if (link.revision < revision())", "if (false)", "config/chain-property"),
    ("unconfirmed_taken", "revision_chain.cpp", "if (link.planDigest.empty())", "if (false)", "config/chain-property"),
    ("tampered_taken", "revision_chain.cpp", "if (link.planDigest != planDigest(", "if (false && link.planDigest != planDigest(", "config/chain-property"),
    ("step_without_decision", "map_participant.cpp", "state.stagedMap == 0 || step < state.stagedStep", "true", "groups/switch-property"),
    ("commit_without_all", "map_coordinator.cpp", "if (m_answers.size() < m_ranks)\n        return {};\n    if (m_phase", "if (m_answers.size() + 1 < m_ranks)\n        return {};\n    if (m_phase", "groups/switch-property"),
    ("old_fence_taken", "map_participant.cpp", "if (message.fence < m_fence)", "if (false)", "groups/switch-property"),
    ("other_incarnation_taken", "map_participant.cpp", "message.incarnation != m_incarnation || message", "message", "groups/switch-property"),
    ("late_prepare_taken", "map_participant.cpp", "const bool tooLate = message.step < m_state.step + minStepsAhead;", "const bool tooLate = false;", "groups/switch-property"),
    ("no_second_round", "map_coordinator.cpp", "std::vector<rank_message> {} : enter(coordinator_phase::confirming)", "std::vector<rank_message> {} : resolve()", "groups/switch-property"),
    ("second_map_ahead", "map_participant.cpp", "const bool switchAhead = m_state.committedStep > m_state.step;", "const bool switchAhead = false;", "groups/switch-property"),
    ("answers_of_other_maps", "map_coordinator.cpp", "if (answer.map != m_map)", "if (false)", "groups/switch-property"),
    ("order_not_shown", "map_participant.cpp", "return after.stagedMap == order.map && after.stagedStep == order.step;", "return true;", "groups/switch-property"),
    ("late_orders_staged", "map_participant.cpp", " || message.map <= m_decided", "", "groups/switch-property"),
    ("answers_of_other_phases", "map_coordinator.cpp", "if (answer.kind != expectedAnswer(m_phase))", "if (!expectedAnswer(m_phase))", "groups/switch-property"),
    ("late_abort_drops_later_map", "map_participant.cpp", " || m_state.stagedMap > message.map", "", "groups/switch-property"),
    ("abort_after_commit", "map_coordinator.cpp", "if (anyCommitted())", "if (false)", "groups/switch-property"),
    ("own_rank_armed_early", "map_switch.cpp", "    m_confirmed[m_lastRank] = true;\n    if (allConfirmed())\n        enter(switch_phase::arming_own);", "    if (allConfirmed())\n        enter(switch_phase::arming_own);", "platform/map-switch"),
    ("leader_disarmed_with_others", "rank_change.cpp", "const bool lastFirst = m_armed[m_lastRank] != neverPrepared;", "const bool lastFirst = false;", "platform/map-switch"),
    ("leader_rearmed_with_others", "hold_cleanup.cpp", "    if (orders.size() > 1)\n        std::erase_if(orders", "    if (false)\n        std::erase_if(orders", "platform/map-switch"),
    ("clean_up_without_proof", "hold_cleanup.cpp", "    return anyUnarmed;\n", "    return true;\n", "platform/map-switch"),
    ("silent_rank_skipped_unproven", "hold_cleanup.cpp", "        if (skipIsProved())\n", "        if (true)\n", "platform/map-switch"),
    ("silent_rank_skipped_by_a_reading", "hold_cleanup.cpp", "    if (after->heldStep != markStep())\n        return;\n", "", "platform/map-switch"),
    ("claim_without_an_answer", "hold_cleanup.cpp", "    if (!isDone(reply) || !after)\n        return;\n    if (sent.kind == map_order_kind::hold)", "    if (!after)\n        return;\n    if (sent.kind == map_order_kind::hold)", "platform/map-switch"),
    ("hold_by_a_clean_up_s_reading", "hold_cleanup.cpp", "m_confirmed[rank] = m_found[rank].securedStep == step;", "m_confirmed[rank] = true;", "platform/map-switch"),
    ("hold_by_a_leader_s_reading", "map_switch.cpp", "    if (!isDone(reply) || !after)\n        return;\n    enter(switch_phase::arming);", "    if (!after || after->heldStep != m_step)\n        return;\n    enter(switch_phase::arming);", "platform/map-switch"),
    ("rearmed_before_the_next_step", "hold_cleanup.cpp", "if (first->second > m_newestStep + 1) {", "if (false) {", "platform/map-switch"),
    ("no_connection_taken_for_a_refusal", "hold_cleanup.cpp", "    if (reply == order_reply::conflict) {\n        handleRearmRefused", "    if (reply == order_reply::conflict || reply == order_reply::refused) {\n        handleRearmRefused", "platform/map-switch"),
    ("mark_s_reading_forgotten", "hold_cleanup.cpp", "    if (found.certain)\n        return;\n", "", "platform/map-switch"),
    ("rearmed_by_a_reading", "hold_cleanup.cpp", "    if (!isDone(reply) || !after)\n        return;\n    m_confirmed[rank] = true;\n    endRearming();", "    if (!after)\n        return;\n    m_confirmed[rank] = true;\n    endRearming();", "platform/map-switch"),
    ("holding_rank_by_an_old_reading", "hold_cleanup.cpp", "m_confirmed[rank] = !m_marked || m_skippedRank || after->heldStep == sent.step;", "m_confirmed[rank] = true;", "platform/map-switch"),
    ("holding_rank_taken_as_unarmed", "hold_cleanup.cpp", "        if (holdsStep(rank) && m_armed[rank] == neverPrepared)\n            m_armed[rank] = newest;\n", "", "platform/map-switch"),
    ("claim_taken_for_disarmed", "rank_change.cpp", "    if (!isDone(reply) || !after || sent.placement != m_armed[rank])", "    if (!isDone(reply) || !after)", "platform/map-switch"),
    ("conflict_taken_for_disarmed", "rank_change.cpp", "    if (!isDone(reply) || !after || sent.placement != m_armed[rank])", "    if ((!isDone(reply) && reply != order_reply::conflict) || !after || sent.placement != m_armed[rank])", "platform/map-switch"),
    ("answer_of_an_earlier_fence", "rank_change.cpp", "    if (sent.fence != m_fence)\n        return;\n", "", "platform/map-switch"),
    ("release_by_an_old_reading", "rank_change.cpp", "return isDone(reply) || after->step >= hold.second;", "return isDone(reply) || after->heldStep != hold.second;", "platform/map-switch"),
    ("late_hold_after_its_release", "rank_change.cpp", "    raiseFence();\n    enter(phase);", "    enter(phase);", "platform/map-switch"),
    ("number_given_twice", "change_numbers.cpp", "std::max({ m_lastPlacement + 1, highestKnown", "std::max({ highestKnown", "platform/placement-number"),
    ("fence_of_another_leader", "change_numbers.cpp", "return fenceNumber(m_lastFence, ownRank);", "return fenceNumber(m_lastFence, 0);", "platform/placement-number"),
    ("fence_given_twice", "change_numbers.cpp", "std::max(m_lastFence + 1, wallMs)", "wallMs", "platform/placement-number"),
    ("predecessor_s_fence_ignored", "change_numbers.cpp", "std::max(m_lastFence, fenceSequence(fence))", "m_lastFence", "platform/placement-number"),
    ("marks_left_behind", "hold_cleanup.cpp", "            withdrawMarks(\"a rank could not be claimed\");", "            fail(\"a rank could not be claimed\");", "platform/map-switch"),
    ("refusal_forgotten", "group_directory.cpp", "    if (suspected({ service, {} }, now))\n        return true;\n", "", "platform/group-state"),
    ("patience_counted_anew", "group_wait.cpp", "input.patience - input.waited - margin", "input.patience - margin", "platform/group-state"),
    ("popularity_fades_in_a_cut", "demand_estimate.cpp", "std::min(sinceLast, static_cast<double>(m_settings.maxReportGap.count()))", "sinceLast", "platform/group-state"),
    ("share_of_everything", "admission_share.cpp", "double share = partOf(shared, input) *", "double share = shared *", "platform/admission-share"),
    ("excess_not_drained", "admission_share.cpp", "input.own - newer + freeShare", "input.own + 1.0", "platform/pass-limit"),
    ("starts_beyond_the_target", "start_budget.cpp", "ends + (capacity - input.load) / fillSeconds", "10 * ends", "platform/pass-limit"),
    ("pass_not_measured", "pass_feedback.cpp", "groups.recordTokenFactor(key, *factor, now);", ";", "platform/pass-limit"),
    ("slow_rank_as_token_time", "pass_model.cpp", "|| measured.meanMs > maxPassRatio * whole", "", "platform/pass-limit"),
    ("later_leader_goes_on", "leadership.cpp", "positionOf(m_leader, members) < position", "false", "platform/leadership"),
    ("leads_beside_a_leader", "leadership.cpp", "if (silent < takeoverTimeout(position))", "if (false)", "platform/leadership"),
    ("early_takeover_without_silence", "leadership.cpp", "holds(now) && silent >= holdTimeout()", "holds(now)", "platform/leadership"),
    ("held_past_the_first_event", "group_wait.cpp", "std::max(patienceMargin, input.firstEvent)", "patienceMargin", "platform/return-schedule"),
    ("slot_for_one_that_leaves", "admission_wait.cpp", "std::max(input.firstEvent, input.slowFirstEvent)", "input.firstEvent", "platform/return-schedule"),
    ("return_by_lot", "return_schedule.cpp", "return pauseUntil(chosen, request.draw, now, longest);\n}\n\n//", "return backlogRetryDelay(request.timeLeft, request.draw);\n}\n\n//", "platform/return-schedule"),
    ("moments_of_those_who_wait", "return_schedule.cpp", "const std::int64_t next = firstCellAfterWaiting();", "const std::int64_t next = m_firstCell + 1;", "platform/return-schedule"),
    ("held_beyond_its_time", "group_wait.cpp", "std::min(patienceLeft, servable)", "patienceLeft", "platform/group-state"),
    ("all_read_at_the_start", "store_reading.cpp", "return process.sinceStart >= settings.joinDelay + milliseconds(spread);", "return true;", "platform/peers"),
    ("all_read_when_outdated", "store_reading.cpp", " + stagesBefore(position, settings) * settings.stage", "", "platform/work-at-rest"),
    ("evacuated_zone_used", "backend_directory.cpp", "if (!m_evacuatedZones.contains(known.listed.zone))", "if (true)", "platform/work-at-rest"),
    ("unreadable_hides_configuration", "retained_items.cpp", "m_order.rank(listed) || !m_order.rank(inForce))\n        return false;", "true)\n        return false;", "platform/published-state"),
    ("unreadable_server_is_kept", "retained_items.cpp", "if (!m_order.staysInForceUnlisted(inForce) || m_order.rank(listed)", "if (m_order.rank(listed)", "platform/published-state"),
    ("unreadable_is_kept", "retained_items.cpp", " || !m_order.rank(inForce))\n        return false;", ")\n        return false;", "platform/published-state"),
    ("removal_not_passed_on", "published_state.cpp", "delta.removed.push_back(removed);", "", "platform/published-state"),
    ("neighbour_blamed", "crash_history.cpp", "rankOf(known) > own;", "false;", "platform/crash-history"),
    ("rivals_barred", "crash_history.cpp", " && !hasEqualSuspect(unexplained, request, own)", "", "platform/crash-history"),
    ("served_still_suspect", "crash_evidence.cpp", "    if (anyCleared() && uncleared.crashes < blockingCrashes)\n        return {};\n", "", "platform/crash-history"),
    ("cleared_for_good", "crash_evidence.cpp", "if (anyCleared() && uncleared.crashes < blockingCrashes)", "if (anyCleared())", "platform/crash-history"),
    ("never_barred", "crash_history.cpp", "if (unexplained.size() >= blockingCrashes)\n        return true;", "", "platform/crash-history"),
    ("suspect_sent_at_once", "crash_history.cpp", "input.closesGroup && suspectedFor < suspicionTime", "false", "platform/suspected-request"),
    ("copies_side_by_side", "crash_history.cpp", "attempt != m_isolatedAttempts.end() && now < attempt->second", "false", "platform/suspected-request"),
    ("common_crash_blames", "crash_history.cpp", "clearedAt(crash, *known).value_or(instant::max())", "instant::max()", "platform/suspected-request"),
    ("one_end_acquits", "crash_history.cpp", "if (without.size() <= with)", "if (without.empty())", "platform/suspected-request"),
    ("acquitted_before_the_news", "crash_history.cpp", "return without[with] + gossipTime;", "return without[with];", "platform/suspected-request"),
    ("survived_part_blamed", "crash_table.cpp", "if (m_survivals.excuses(part, { crash.server, crashedAt })) {", "if (false) {", "platform/part-crashes"),
    ("survived_part_recorded_as_new", "crash_table.cpp", "    if (add(known, part, earlier, excused->at))\n        known.evidence.clear({ earlier });\n", "", "platform/part-crashes"),
    ("wide_part_blamed", "crash_history.cpp", "strength, known.partPosition };", "strength, lastPart - known.partPosition };", "platform/part-crashes"),
    ("coincidence_blamed", "crash_history.cpp", "return !clearedAt(known.evidence.uncleared().front(), known);", "return true;", "platform/part-crashes"),
    ("part_refused_for_good", "crash_history.cpp", "known.isPart() ? partBlockEnd(known) : ", "", "platform/part-crashes"),
    ("one_process_tries_for_all", "crash_history.cpp", "share * static_cast<double>(std::numeric_limits<std::uint64_t>::max())", "0", "platform/part-crashes"),
    ("new_process_suspects", "crash_history.cpp", "if (m_table.recordingFor(now) < minRecordingTime)", "if (false)", "platform/part-crashes"),
    ("withdrawn_is_no_witness", "crash_detector.cpp", "    withdrawn.push_back(call);\n", "", "platform/crash-detection"),
    ("withdrawn_for_ever", "crash_detector.cpp", "std::erase_if(entry->second.withdrawn, [sentAt](const lost_call& call) { return call.lostAt <= sentAt; });", "", "platform/crash-detection"),
    ("alive_taken_for_crashed", "crash_detector.cpp", "std::erase_if(entry->second.calls, [then](const lost_call& call) { return call.lostAt <= then; });", "", "platform/crash-detection"),
    ("limit_for_each_vm", "server_limits.cpp", "if (!limitOf(server, now))\n        return true;\n    const auto account", "if (limitOf(server, now))\n        return true;\n    const auto account", "platform/server-limit"),
    ("grants_beyond_the_limit", "limit_arbiter.cpp", "static_cast<int>(entry.tokens.tokens() - reserve)", "query.wanted", "platform/server-limit"),
    ("arbiter_begins_full", "limit_arbiter.cpp", "entry.tokens.take(granted);", "", "platform/server-limit"),
    ("part_of_the_fleet_grants_all", "limit_arbiter.cpp", "minPerSecond) * visibleFraction()", "minPerSecond)", "platform/server-limit"),
    ("huge_limit_grants_nothing", "limit_arbiter.cpp", "std::min(perSecond, maxPerSecond)", "perSecond", "platform/server-limit"),
    ("limit_outlives_the_life", "server_limits.cpp", "m_forgottenAt[server] = now;", "", "platform/server-limit"),
    ("grants_never_void", "server_limits.cpp", "return expiry > now && expiry <= latestExpiry;", "return expiry <= latestExpiry;", "platform/server-limit"),
    ("less_urgent_take_it", "server_limits.cpp", "moreUrgentUnserved(priority, now) ? now + grantLifetime / 2 : instant::max()", "instant::max()", "platform/server-limit"),
    ("backoff_cut_short", "server_backoffs.cpp", "std::max(entry.until, now + std::min(requested, maxBackoff))", "now + std::min(requested, maxBackoff)", "platform/server-backoff"),
    ("all_at_once_after_a_backoff", "server_backoffs.cpp", "entry->second.firstSentAt = now;", "entry->second.firstSentAt.reset();", "platform/server-backoff"),
    ("answer_ends_backoff", "server_backoffs.cpp", " && now >= entry->second.until", "", "platform/server-backoff"),
    ("idle_pause_is_a_pass", "step_rate.cpp", "!progress.steady || progress.active == 0", "!progress.steady", "platform/step-rate"),
    ("hold_is_a_pass", "step_rate.cpp", "!progress.steady || progress.active == 0", "progress.active == 0", "platform/step-rate"),
    ("list_outweighs_leaving", "backend_directory.cpp", " || m_leaving.contains(id)", "", "platform/backend-list"),
    ("engine_limit_for_each_vm", "engine_throttle.cpp", "if (m_tokens.tokens() < 1)", "if (false)", "requests/engine-intake"),
    ("events_end_with_lf_only", "event_stream_parser.cpp", "const auto feed = bytes.substr(0, newline).find('\\r');", "const auto feed = std::string_view::npos;", "platform/event-stream"),
    ("lf_after_cr_ends_a_line", "event_stream_parser.cpp", "m_afterReturn = isReturn && end + 1 == bytes.size();", "m_afterReturn = false;", "platform/event-stream"),
    ("byte_order_mark_is_text", "event_stream_parser.cpp", "if (m_firstLine && line.starts_with(byteOrderMark))", "if (false)", "platform/event-stream"),
    ("repeated_events_are_sent", "event_judge.cpp", "m_last && number <= *m_last)\n        return repeat", "m_last && false)\n        return repeat", "platform/event-stream"),
    ("gaps_are_sent", "event_judge.cpp", "if (resumes && m_usualStep &&", "if (false && m_usualStep &&", "platform/event-stream"),
    ("repeats_without_bound", "event_judge.cpp", "m_repeated > maxRepeatedEvents ||", "false ||", "platform/event-stream"),
    ("foreign_lines_are_sent", "event_judge.cpp", "if (event.hasForeignLine)", "if (false)", "platform/event-stream"),
    ("blocks_without_an_event_are_sent", "event_judge.cpp", "const bool isNothingElse = event.hasUnknownField && !event.hasOther;", "const bool isNothingElse = false;", "platform/event-stream"),
    ("comments_beside_a_new_field_are_refused", "event_judge.cpp", "event.hasUnknownField && !event.hasOther;", "event.hasUnknownField;", "platform/event-stream"),
    ("events_without_ids_are_sent", "event_judge.cpp", "    if (m_contract == event_contract::numbered)\n        return refuse(violation);\n", "", "platform/event-stream"),
    ("a_mark_of_the_end_is_refused", "event_judge.cpp", "    m_held = violation;\n    return { event_action::hold, stream_violation::none };", "    return refuse(violation);", "platform/event-stream"),
    ("an_event_after_the_mark_is_sent", "event_judge.cpp", "        return refuse(m_held);", "        return {};", "platform/event-stream"),
    ("one_id_promises_more", "event_judge.cpp", "constexpr int shownEvents = 8;", "constexpr int shownEvents = 1;", "platform/event-stream"),
    ("ids_may_go_back", "event_judge.cpp", "        if (isRefuted)\n", "        if (false)\n", "platform/event-stream"),
    ("equal_ids_are_refused", "event_judge.cpp", "(number < *previous && m_rising.isShown())", "true", "platform/event-stream"),
    ("far_ids_are_sent", "event_judge.cpp", "    if (!isFar)\n        return {};", "    return {};", "platform/event-stream"),
    ("far_ids_are_not_refuted", "event_judge.cpp", "        if (m_held == stream_violation::far_id)\n            return refuse(stream_violation::far_id);\n", "", "platform/event-stream"),
    ("several_tokens_are_far", "event_judge.cpp", "farSteps * std::max<std::uint64_t>(1, m_largestStep)", "1", "platform/event-stream"),
    ("the_run_s_only_step_is_not_asked", "event_judge.cpp", "if (m_onlyStep > 0 && m_steps >= minOnlySteps)", "if (false)", "platform/event-stream"),
    ("usual_steps_outweigh_shown_ones", "event_judge.cpp", "return std::max(*m_usualStep, m_largestStep);", "return *m_usualStep;", "platform/event-stream"),
    ("typed_events_need_ids", "event_judge.cpp", "    if (event.hasType)\n        return {};\n", "", "platform/event-stream"),
    ("far_ends_teach", "event_filter.cpp", "if (m_steps && !m_endedFar)", "if (m_steps)", "platform/event-stream"),
    ("doubtful_ids_are_gone_on_after", "event_filter.cpp", " && m_judge.lastRoseMost()", " && false", "platform/event-stream"),
    ("unfinished_answers_are_whole", "event_judge.cpp", "    return refuse(stream_violation::unfinished);", "    return verdict;", "platform/event-stream"),
    ("new_fields_are_refused", "event_stream_parser.cpp", "colon != std::string_view::npos && mayBeFieldName(name)", "false", "platform/event-stream"),
    ("any_line_is_a_field", "event_stream_parser.cpp", "colon != std::string_view::npos && mayBeFieldName(name)", "true", "platform/event-stream"),
    ("foreign_line_not_found_for_the_log", "event_filter.cpp", "? bytes : findForeignLine(bytes);", "? bytes : bytes;", "platform/event-stream"),
    ("one_run_makes_a_step_usual", "event_id_steps.cpp", "if (seen.runs >= minRuns)", "if (seen.runs >= 1)", "platform/event-stream"),
    ("the_stream_s_own_steps_are_not_asked", "event_filter.cpp", "input.steps->isKnown() ? input.steps->usual() : input.shown.only();", "input.steps->usual();", "platform/event-stream"),
    ("refuted_runs_teach", "event_filter.cpp", "        m_runSteps.record(*m_previous, *number);", "        m_runSteps.record(*m_previous, *number), learn();", "platform/event-stream"),
    ("any_step_is_usual", "event_id_steps.cpp", "return seen.steps * 10 >= m_seen * usualOfTen ? std::optional(step) : std::nullopt;", "return step;", "platform/event-stream"),
    ("closing_forgotten", "group_directory.cpp", "if (update.phase.closings() > found->second.phase.closings())", "if (!update.phase.open)", "platform/group-state"),
    ("fixed_silence", "peer_table.cpp", "(1 + std::log(std::max(1.0, spread)))", "1.0", "platform/peers"),
]


def caught(folder, rule):
    name, source, old, new, tests = rule
    policy = glob.glob(os.path.join(ROOT, "Source/policy/*/*.cpp"))
    path = next((path for path in policy if os.path.basename(path) == source), None)
    if path is None or not os.path.isdir(os.path.join(ROOT, "Tests", tests)):
        return None
    text = open(path).read()
    if old not in text:
        sys.exit(f"{name}: the text to replace is not in {source}; mend the rule")
    work = os.path.join(folder, name)
    os.makedirs(work)
    mutated = os.path.join(work, "mutated.cpp")
    open(mutated, "w").write(text.replace(old, new, 1))
    sources = [other for other in policy if other != path]
    cases = os.path.join(ROOT, "Tests", tests)
    sources += [os.path.join(cases, f) for f in os.listdir(cases) if f.endswith(".cpp")]
    sources += [mutated, os.path.join(ROOT, "Tests/support/main.cpp"), os.path.join(ROOT, "Tests/support/engine_costs.cpp")]
    program = os.path.join(work, "tests")
    launcher = ["ccache"] if subprocess.run(["sh", "-c", "command -v ccache"], capture_output=True).returncode == 0 else []
    objects = [os.path.join(work, f"{index}.o") for index in range(len(sources))]
    commands = [launcher + ["g++", "-std=c++20", "-O1", "-I" + os.path.join(ROOT, "Source"), "-I" + os.path.join(ROOT, "Tests"), "-I" + cases, "-c", path, "-o", target]
                for path, target in zip(sources, objects)]
    # No more compilers at once than there are processors: they would take the machine's memory.
    with concurrent.futures.ThreadPoolExecutor(os.cpu_count()) as pool:
        if any(pool.map(subprocess.call, commands)):
            sys.exit(f"{name}: does not compile")
    subprocess.run(["g++", *objects, "-o", program, "-lrapidcheck", "-lcrypto", "-lxxhash"], check=True)
    return subprocess.run([program], capture_output=True, env={**os.environ, **RUNS}).returncode != 0


def main():
    wanted = set(sys.argv[1:])
    missed = 0
    with tempfile.TemporaryDirectory() as folder:
        for rule in RULES:
            if wanted and rule[0] not in wanted:
                continue
            seen = caught(folder, rule)
            print(f"{rule[0]}: {'not there' if seen is None else 'caught' if seen else 'NOT CAUGHT'}", flush=True)
            missed += seen is False
    print(f"{missed} rules not caught")
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
