#!/usr/bin/env python3
"""Runs mutation tests: applies one mutation at a time to a scratch copy of the sources and reports the tests that fail.

Usage: tools/mutations.py SCRATCH_DIR [NAME | test_decide | test_process | test_serving | test_http | test_gateway]...
Prints one line per mutation with the failed tests. The exit code is 1 if a mutation makes no test fail.
"""
import os
import shutil
import subprocess
import sys

DECIDE = "libs/decide/src/"
MUTATIONS = [
    ("outcomes-of-keys-without-a-bound", DECIDE + "key_registry.cpp",
     "    while (m_bytes > m_maxBytes && !m_byAge.empty()) {\n", "    while (false) {\n"),
    ("forgotten-keys-taken-for-new", DECIDE + "key_registry.cpp",
     " || home.issuedAt <= m_forgottenUntil;", ";"),
    # Each entry: name, file, text to replace, replacement.
    ("claim-without-compare-and-set", DECIDE + "replicated_state.cpp",
     "    if (held.last != body.previous)\n        return verdict::stale_previous;\n", ""),
    ("order-without-compare-and-set", DECIDE + "replicated_state.cpp",
     "    if (state.last != body.previous)\n        return verdict::stale_previous;\n", ""),
    ("order-without-term", DECIDE + "replicated_state.cpp",
     "        return verdict::stale_term;\n    target_orders& state",
     "        (void)0;\n    target_orders& state"),
    ("publication-without-base", DECIDE + "replicated_state.cpp",
     "    if (body.baseVersion != current.version)\n        return verdict::stale_base;\n", ""),
    ("decide-on-stale-views", DECIDE + "order_system.cpp",
     "    if (lastRecord != m_orderSeenAt.end() && view->second.requestedAt <= lastRecord->second)\n        return;\n", ""),
    ("reissue-closed-unsent", DECIDE + "replicated_state.cpp",
     "    if (body.reason == order_end::never_sent && found->second.isReissue)\n        return verdict::not_entitled;\n", ""),
    ("trust-from-confirmation", DECIDE + "lease_system.cpp",
     "item.validUntil = sent->second + m_settings.length;", "item.validUntil = now + m_settings.length;"),
    ("not-run-after-maybe-run", DECIDE + "traffic_system.cpp",
     "    if (m_requests.mayHaveRun[row] && answerFor(kind).executed == ran::no)\n", "    if (false)\n"),
    ("retry-non-idempotent", DECIDE + "traffic_system.cpp",
     "        if (!isIdempotent)\n            return refuse(row, error_kind::outcome_unknown, duration::zero(), out);\n        m_requests.stage",
     "        m_requests.stage"),
    ("work-for-leaving-targets", DECIDE + "target_table.cpp",
     "service[row] < 0 || isLeaving[row] ||", "service[row] < 0 ||"),
    ("work-in-a-rest", DECIDE + "target_table.cpp",
     " && now >= restUntil[row]", ""),
    ("key-not-sealed", DECIDE + "key_registry.cpp",
     "    m_entries[key] = { key_state::delegated, now, {}, asker };\n", ""),
    ("home-not-aged", DECIDE + "key_registry.cpp",
     "    return age >= m_retention || age < std::chrono::milliseconds(0);\n", "    return age < std::chrono::milliseconds(-1);\n"),
    ("ready-although-cut-off", DECIDE + "readiness.cpp",
     "        return readiness_state::cut_off;\n", "        return readiness_state::ready;\n"),
    ("nested-calls-not-told-apart", DECIDE + "router.cpp",
     "    if (request.shape.depth > 0) {\n", "    if (false) {\n"),
    ("retries-without-budget", DECIDE + "traffic_system.cpp",
     "(countsAgainstBudget && !m_budgets[service.value].spend())", "false"),
    ("gap-guessed-over", DECIDE + "log_follower.cpp",
     "    if (!m_isAwaitingSnapshot && m_state.next() < page.first) {\n", "    if (false) {\n"),
]

# Mutations that only tests with real processes detect, each with the test case to run.
PROCESS_MUTATIONS = [
    ("order-without-drain", DECIDE + "order_system.cpp",
     "    if (isUnsent && !isDrained(target, now))\n        return;\n", "",
     "test_process_version_change_cuts_nothing"),
    ("stop-at-once", "libs/node/src/node.cpp",
     "    if (!isDraining || isStopped || mayAccept(now))\n        return;\n"
     "    const bool isOverdue = now >= drainingSince + settings.drainTimeout;\n",
     "    if (!isDraining || isStopped)\n        return;\n    const bool isOverdue = true;\n",
     "test_process_rolling_replacement_of_all_nodes_cuts_nothing"),
    ("end-of-connection-for-end-of-answer", "libs/node/src/relay.cpp",
     "    if (!attempt->sawEnd)\n        return conclude(attempt, attempt_result::cut);\n", "",
     "test_process_answers_are_whole_although_targets_fail"),
    ("repeat-events-after-resume", "libs/node/src/relay.cpp",
     "        if (*event.id < m_nextEvent)\n            return;", "        if (false)\n            return;",
     "test_process_resumed_answer_that_begins_anew_is_not_repeated"),
    ("home-not-asked", "libs/node/src/idempotency_handler.cpp",
     "    askHome(key, *home, std::move(caller), std::move(run));\n", "    run();\n",
     "test_process_non_idempotent_calls_run_at_most_once"),
    ("own-word-of-leaving-ignored", "libs/node/src/control_plane.cpp",
     "status.isLeaving || m_listedLeaving[name]", "m_listedLeaving[name]",
     "test_process_leaving_target_gets_no_new_work"),
    ("no-state-from-peers", "libs/node/src/control_plane.cpp",
     "    if (isAhead && (lacksLog || lacksVersion))\n", "    if (isAhead && lacksLog && lacksVersion && false)\n",
     "test_process_node_started_during_an_outage_serves_the_configuration_in_force"),
    ("ready-although-cut-off", DECIDE + "readiness.cpp",
     "        return readiness_state::cut_off;\n", "        return readiness_state::ready;\n",
     "test_process_node_cut_off_from_log_and_peers_refuses"),
    ("no-snapshots", DECIDE + "control_system.cpp",
     "    out.appends.push_back(snapshot_record { replicated().data() });\n", "",
     "test_process_outage_longer_than_the_logs_retention"),
    ("silence-is-no-failure", "libs/node/src/node.cpp",
     "    constexpr duration targetSilence = 5s;\n", "    constexpr duration targetSilence = 3600s;\n",
     "test_process_connections_that_go_silent_are_left"),
    ("late-holder-trusts-itself", DECIDE + "lease_system.cpp",
     "    return state.lease(lease).holder == m_self && now < found->second.validUntil;\n",
     "    return state.lease(lease).holder == m_self;\n",
     "test_process_frozen_lease_holder_gives_no_late_order"),
]

SERVING = "libs/serving/"
HOSTILE = "test_*client*,test_body_that_trickles*,test_server*,test_connection*,test_request*,test_shared_body*,test_small_requests*,test_charge*,test_each_unfinished*,test_total_size*"
PARTS = "test_harmful_part*,test_harmless_parts*,test_part_*,test_trial_of*,test_request_with_a_quarantined*"
BUILDS = "test_nodes_that_have*,*build*,*stream*,*origin*,*notes*,*node_that*,*peers_know*"
STOPS = "test_stopping*,test_request_that_waits_at*,test_decode_that*,test_what_a_node*,test_callers_of_a_stopping*,test_node_with_a_long*"
ADMISSION = "test_admission*"
ENTRIES = "*entr*,test_large_nodes*,test_callers_*,test_busy_zone*,test_wrong_report*"
LIMITS = "*limit*,*permit*,test_old_answer*,test_rate_grows*"
# Mutations of the decisions for the users' platform, each with the test cases to run.
SERVING_MUTATIONS = [
    ("last-target-blocked-by-closes", SERVING + "src/target_health.cpp",
     "    if (!isLastOfService(id, now))\n        blockIfFailedInARow(id, now);", "    blockIfFailedInARow(id, now);", "test_closed_connections*"),
    ("pending-parts-without-a-bound", SERVING + "src/prompt_cache_map.cpp",
     "    if (byAge.size() <= maxPendingParts)\n        return;\n", "    if (!byAge.empty())\n        return;\n", "test_pending_parts*"),
    ("declared-leaving-ignored", SERVING + "include/serving/fleet_table.h",
     "isDraining[id.value] || saidLeaving[id.value]", "isDraining[id.value]", "*leav*"),
    ("declaration-forgotten-with-the-row", SERVING + "src/fleet_table.cpp",
     "    saidLeaving[row] |= m_leaving.contains(key);\n", "", "*leav*"),
    ("unsent-attempt-not-taken-back", SERVING + "src/dispatcher.cpp",
     "    if (current.id != attempt || !m_fleet.isLeaving(current.target))\n", "    if (current.id.isValid())\n", "*leav*"),
    ("lost-path-without-detour", SERVING + "src/target_paths.cpp",
     "    if (!isLost(id))\n        return nullptr;\n", "    return nullptr;\n", "*path*,*peer*"),
    ("detour-by-a-peer-that-lost-the-target", SERVING + "src/target_paths.cpp",
     "    return isComplete && !report->lost.contains(m_fleet.instanceHash[id.value]);", "    return isComplete;", "*path*,*peer*"),
    ("incomplete-report-trusted", SERVING + "src/target_paths.cpp",
     "    return isComplete && !report", "    return !report", "*path*,*peer*"),
    ("dead-peer-asked-again", SERVING + "src/target_paths.cpp",
     "        found->second.failedUntil = now + pause;", "        (void)pause, (void)now;", "*path*,*peer*"),
    ("lost-path-reported-as-failing-target", SERVING + "src/dispatch_outcomes.cpp",
     "        if (attempt.hasLostPath)\n            m_health.recordUnreached", "        if (attempt.hasLostPath)\n            m_health.recordFailure", "*path*,*peer*"),
    ("lost-path-blocks-its-target", SERVING + "src/dispatch_outcomes.cpp",
     "        if (attempt.hasLostPath)\n            m_health", "            m_health", "*path*,*peer*"),
    ("lost-path-never-checked", SERVING + "src/target_paths.cpp",
     "    path.checkAt = now + fromSeconds(seconds(path.checkPause)", "    path.checkAt = now + 1000 * fromSeconds(seconds(path.checkPause)", "*path*,*peer*"),
    ("silent-target-not-checked", SERVING + "src/dispatcher.cpp",
     "    if (current.detour.empty())\n        m_paths.suspect(current.target, now);\n", "", "*path*,*silent*"),
    ("late-failure-loses-a-path", SERVING + "src/target_paths.cpp",
     "    if (startedAt < path.reachedAt)\n        return false;\n", "", "*path*,test_call_that*"),
    ("held-although-nobody-reaches-the-service", SERVING + "src/dispatch_admission.cpp",
     "    if (m_book.progress[row].hasStarted || !m_paths", "    if (now >= instant() || !m_paths", "*path*,*nobody*"),
    ("cut-stream-goes-on-at-any-build", SERVING + "src/placement.cpp",
     "(!query.build.isValid() || fleet.buildId[row] == query.build)", "true", BUILDS),
    ("first-attempt-binds-the-build", SERVING + "src/dispatcher.cpp",
     "    current.stage = choice.stage;\n", "    current.stage = choice.stage;\n    progress.build = current.build;\n", BUILDS),
    ("held-although-the-build-is-gone", SERVING + "src/dispatch_admission.cpp",
     "    if (!build.isValid() || m_fleet", "    if (row + 1 > 0 || m_fleet", BUILDS),
    ("taken-up-like-a-new-request", SERVING + "src/dispatcher.cpp",
     "    if (m_book.request[row].takesUpStream) {\n", "    if (false) {\n", BUILDS),
    ("origin-not-told", SERVING + "src/stream_origins.cpp",
     "    if (mustTell)\n", "    if (false)\n", BUILDS),
    ("running-streams-not-told", SERVING + "src/stream_origins.cpp",
     "        tell(m_notes.takeUntold(now));\n", "        (void)now;\n", BUILDS),
    ("old-list-trusted", SERVING + "src/stream_origins.cpp",
     "    return isListCurrent(now) && m_builds", "    return m_builds", BUILDS),
    ("builds-before-the-start-ignored", SERVING + "src/stream_origins.cpp",
     "    return isListCurrent(now) && m_builds.historyLength(now) >= scope.lifetime;",
     "    return isListCurrent(now) && !scope.services.empty();", BUILDS),
    ("builds-that-peers-know-ignored", SERVING + "src/stream_origins.cpp",
     "    merge(builds, asked.builds);\n", "", BUILDS),
    ("unknown-origin-guessed", SERVING + "src/stream_origins.cpp",
     "    return builds.size() == 1 && isCertain ? builds.front() : build_id();",
     "    return builds.empty() ? build_id() : builds.front();", BUILDS),
    ("only-build-by-an-old-list", SERVING + "src/stream_origins.cpp",
     "    return asked.isConfirmed || m_listConfirmedAt >= asked.askedAt;", "    return asked.askedAt != instant();", BUILDS),
    ("history-of-a-node-out-of-touch", SERVING + "src/stream_origins.cpp",
     "        m_builds.historyBroken(at);\n", "        (void)at;\n", BUILDS),
    ("history-shared-out-of-touch", SERVING + "src/stream_origins.cpp",
     "    return isListCurrent(now) ? m_builds.historyLength(now) : duration::zero();",
     "    return m_builds.historyLength(now);", BUILDS),
    ("restart-taken-for-first-start", SERVING + "src/node_directory.cpp",
     "number > 0 && number <= registrations;", "number <= registrations + 9;", BUILDS),
    ("stop-unknown-to-admission", SERVING + "src/dispatch_stop.cpp",
     "    if (!m_stop || now + needed <= m_stop->lastAnswerAt)\n",
     "    if (!m_stop || now <= m_stop->lastAnswerAt || needed == duration::zero())\n", STOPS),
    ("unknown-length-taken-at-a-stop", SERVING + "src/dispatch_stop.cpp",
     "    if (!allowed)\n        return left;\n", "    if (!allowed)\n        return duration::zero();\n", STOPS),
    ("longer-answers-not-told-apart", SERVING + "src/dispatch_stop.cpp",
     "    if (request.text && allowed->outputTokens > 0)\n", "    if (request.text && allowed->outputTokens < 0)\n", STOPS),
    ("silent-target-left-for-a-late-one", SERVING + "src/dispatch_silence.cpp",
     "    if (m_stop && now + timeToAnswer(row, choice, now) > m_stop->lastAnswerAt)\n        return {};\n", "", STOPS),
    ("silent-target-left-before-another-accepts", SERVING + "src/dispatch_silence.cpp",
     "    m_book.current[row] = std::exchange(silent, {});\n", "    silent = {};\n    return false;\n", "*answers_of_targets*"),
    ("stream-begun-though-the-exit-may-cut-it", SERVING + "src/dispatch_stop.cpp",
     "    return m_book.progress[row].hasStarted || now + needed <= m_stop->lastAnswerAt;\n", "    return true;\n", "*exit_cuts*"),
    ("rejection-after-a-silence-counts-as-run", SERVING + "src/dispatch_silence.cpp",
     "    m_book.progress[row].mayHaveRun |= !hasNotRun;\n", "    m_book.progress[row].mayHaveRun = true;\n", "*silence_of_all*"),
    ("silent-attempt-beside-an-accepted-one", SERVING + "src/dispatch_silence.cpp",
     "    abandonAttempt(row, silent, now);\n    releaseAttempt(silent);\n", "", "*silent*"),
    ("peers-ignored-at-a-stop", SERVING + "src/dispatch_stop.cpp", "    if (m_othersTakeCalls)\n", "    if (false)\n", STOPS),
    ("notes-that-disagree-trusted", SERVING + "src/origin_table.cpp",
     "            known.build = {};\n", "            known.build = note.build;\n", BUILDS),
    ("builds-that-have-left-forgotten", SERVING + "src/service_builds.cpp",
     "item.isListed || item.lastListedAt + span >= now", "item.isListed", BUILDS),
    ("holders-in-one-zone", SERVING + "src/origin_holders.cpp",
     "inZone[peer->availabilityZone]++", "inZone[{}]++", BUILDS),
    ("parts-not-suspected", SERVING + "src/dispatch_outcomes.cpp",
     "        function(promptPartTrait(part.id), attempt_evidence { request.digest.account, false });\n",
     "        (void)part;\n", PARTS),
    ("begun-answers-suspected", SERVING + "src/dispatch_outcomes.cpp",
     "    if (!request.text || attempt.isProven)\n", "    if (!request.text)\n", PARTS),
    ("parts-never-proven", SERVING + "src/dispatch_outcomes.cpp",
     "        m_quarantine.answered(promptPartTrait(part.id), begunAt, now);\n", "        (void)part, (void)now;\n", PARTS),
    ("old-answers-clear-parts", "libs/quarantine/src/request_quarantine.cpp",
     " && begunAt >= found->second.changedAt)", ")", PARTS),
    ("trials-without-claims", SERVING + "src/dispatcher.cpp",
     "            [this](const auto& trait) { return m_quarantine.ownsTrial(trait); });",
     "            [](const auto&) { return true; });", PARTS),
    ("trials-not-counted", SERVING + "src/dispatch_outcomes.cpp",
     "        m_quarantine.trialSent(trait);\n", "        (void)trait;\n", PARTS),
    ("targets-that-end-together-count", "libs/quarantine/src/request_quarantine.cpp",
     "    return known.changedAt - known.firstEndAt >= m_limits.minSpreadOnceBegun\n        &&", "    return", PARTS),
    ("nobody-speaks-for-a-part", "libs/quarantine/src/request_quarantine.cpp",
     "    speakFor(found, now);\n", "", PARTS),
    ("ends-not-explained", "libs/quarantine/src/request_quarantine.cpp",
     "        && countUnexplained(known) >=", "        && known.targets.size() >=", PARTS),
    ("limits-ignored", SERVING + "src/fleet_table.cpp", " && hasPermit(id, now)", "", LIMITS),
    ("permits-used-twice", SERVING + "src/permit_holder.cpp", "    lapseAt.erase(valid);\n", "", LIMITS),
    ("permits-that-never-lapse", SERVING + "src/permit_holder.cpp",
     "    std::erase_if(lapseAt, [now](instant end) { return now >= end; });\n", "    (void)now;\n", LIMITS),
    ("every-node-issues", SERVING + "src/permit_issuer.cpp",
     "    item.isOwn = best && best->seed == m_self.seed;\n",
     "    item.isOwn = best;\n    item.issuer = m_self.endpoint;\n", LIMITS),
    ("taken-over-at-once", SERVING + "src/permit_issuer.cpp",
     "isNewLimit && !wasSuspended ? now : now + m_takeoverTime", "isNewLimit ? now : now", LIMITS),
    ("minority-issues-all", SERVING + "src/permit_issuer.cpp",
     "m_share = 2 * seen > known ? 1 : seen / known", "m_share = 1", LIMITS),
    ("issues-without-knowing-the-nodes", SERVING + "src/permit_issuer.cpp",
     "        m_share = 0; // any number of other nodes may issue as well\n", "        m_share = 1;\n", LIMITS),
    ("bucket-without-a-bound", SERVING + "src/permit_issuer.cpp",
     "        item.tokens = std::min(item.tokens, 1 + perSecond * seconds(issueInterval));\n", "", LIMITS),
    ("permits-for-those-that-give-up", SERVING + "src/permit_holder.cpp",
     "        { 100ms, 150ms, 50ms },\n", "        { 100ms, 150ms, 0ms },\n", LIMITS),
    ("old-answer-ends-a-limit", SERVING + "src/target_limits.cpp",
     " || !seen.isNewerThan(row.named))\n        return;\n    if (seen.askedAt > row", ")\n        return;\n    if (seen.askedAt > row", LIMITS),
    ("old-answer-brings-a-limit-back", SERVING + "src/target_limits.cpp",
     "    if (hasEnded && row.silent && !seen.isNewerThan(*row.silent))\n        return;\n", "", LIMITS),
    ("reports-that-never-age", SERVING + "src/target_limits.cpp",
     "{ now - report.askedAge - messageTime, now - report.answeredAge - messageTime }",
     "{ now - report.askedAge + 0 * messageTime, now - report.answeredAge }", LIMITS),
    ("limit-ends-at-once", SERVING + "src/target_limits.cpp",
     "now >= row.silent->answeredAt + confirmationTime)", "now >= row.silent->answeredAt)", LIMITS),
    ("callers-by-count-of-nodes", SERVING + "src/entry_choice.cpp",
     "    return node.requestsPerSecond * free;", "    return node.requestsPerSecond > 0 ? 100 * free : 0;", ENTRIES),
    ("busy-nodes-keep-their-weight", SERVING + "src/entry_choice.cpp",
     "std::clamp((1 - busy) / (1 - busyThreshold), minWeightShare, 1.0)", "busy < 0 ? 0.0 : 1.0", ENTRIES),
    ("callers-know-only-their-zone", SERVING + "src/entry_choice.cpp",
     "std::max(byZone.size(), static_cast<std::size_t>(wanted))", "static_cast<std::size_t>(wanted)", ENTRIES),
    ("held-beyond-the-rate-of-all", SERVING + "src/dispatch_admission.cpp",
     "    if (delay == duration::zero())\n", "    if (delay >= duration::zero())\n", LIMITS + ",test_request_beyond*"),
    ("prefilled-without-a-permit-to-answer", SERVING + "src/placement.cpp",
     " || (isAnyLimited && !isAnyOpen))", ")", LIMITS),
    ("suspension-counts-as-waiting", SERVING + "src/admission.cpp",
     "std::clamp<duration>(now - m_lastAt, duration::zero(), maxStep)", "(now - m_lastAt)", ADMISSION),
    ("returns-not-expected", SERVING + "src/admission.cpp",
     "const auto expected = item.returns.size();", "const std::size_t expected = 0;", ADMISSION),
    ("urgent-requests-give-up-before-rare-starts", SERVING + "src/dispatch_admission.cpp",
     "    return std::max(end, m_book.times[row].aimAt - minUsefulTime);", "    return end;", ADMISSION),
    ("newcomer-refused-from-a-full-queue", SERVING + "src/dispatch_admission.cpp",
     "        last = other;\n", "", ADMISSION),
    ("short-aims-first-for-ever", SERVING + "src/dispatch_admission.cpp",
     "out.timeLeft = holdEnd(row) - now;", "out.timeLeft = m_book.times[row].aimAt - now;", ADMISSION),
    ("never-refused-on-arrival", SERVING + "src/dispatch_admission.cpp",
     " || refuseOnArrival(row, now, out)\n", "\n", ADMISSION),
]

SLOW = "test_slow_callers*,test_memory_for*,test_complete_responses*,test_requests_of_a_caller_that*,test_queue_limit*,test_held_bytes*,test_callers_that*,test_nothing_is_held*"
ENDLESS = "test_endless*,test_announced*,test_stream_event_that*"
# Mutations of what connections hold, each with the test cases to run.
HTTP_MUTATIONS = [
    ("lines-without-a-bound", "libs/http/src/request_reader.cpp",
     "    else if (input.size() > m_headerBytes)\n", "    else if (false)\n", HOSTILE),
    ("request-heads-without-a-bound", "libs/http/src/request_reader.cpp",
     "    if (std::max(end, end == 0 ? input.size() : 0) > m_headerBytes) {\n", "    if (false) {\n", HOSTILE),
    ("fields-parsed-as-they-come", "libs/http/src/request_reader.cpp",
     "    if (end == 0)\n        return false;\n    const auto used = parse(input, end);",
     "    if (end == 0)\n        end = input.size();\n    const auto used = parse(input, end);", HOSTILE),
    ("body-time-begins-anew", "libs/http/src/server_connection.cpp",
     "    if (before != reader_state::body)\n        m_bodySince = now;", "    m_bodySince = now;", HOSTILE),
    ("read-ahead-without-a-bound", "libs/http/src/server_connection.cpp",
     "    if (!m_isLingering && isBetweenRequests && m_input.size() >= maxPipelinedBytes)\n", "    if (false)\n", HOSTILE),
    ("count-ends-at-the-dispatch", "libs/http/src/server_connection.cpp",
     "    m_writer->m_charge = budget_charge(m_shared->budget, request.bytesHeld());\n", "", HOSTILE),
    ("body-not-counted-for-its-holders", "libs/http/src/http_server.cpp",
     "    out->charge = m_charge.split(out->bytes.size());\n", "    m_charge.split(out->bytes.size());\n", HOSTILE),
    ("last-comer-goes", "libs/http/src/client_budget.cpp",
     "        if (largest == &connection)\n", "        if (largest)\n", HOSTILE),
    ("no-memory-kept-for-small-requests", "libs/http/src/client_budget.cpp",
     "received <= m_limits.smallBytes ? m_limits.reservedBytes : 0;", "received <= m_limits.smallBytes ? 0 : 0;", HOSTILE),
    ("places-are-kept", "libs/http/src/http_server.cpp",
     "hasPlace() || (shared->budget->freePlace(among) && hasPlace());", "hasPlace() || !shared;", HOSTILE),
    ("places-of-all-servers-not-counted", "libs/http/include/http/client_budget.h",
     "return m_connections < m_limits.connections;", "return m_connections < 1000 * m_limits.connections;", HOSTILE),
    ("no-pause-without-descriptors", "libs/http/src/listening_socket.cpp",
     "            m_notifier->setEnabled(false);\n            m_pause", "            m_pause", HOSTILE),
    ("body-copied-by-each-attempt", "libs/http/src/http_client.cpp",
     "            if (!hasUnsentBody())\n                m_options.body = nullptr;\n", "", HOSTILE),
    ("slow-callers-without-a-total", "libs/http/include/http/unsent_bytes.h",
     "return m_total > 0 && held() > m_total;", "return m_total > 0 && held() > 100 * m_total;", SLOW),
    ("queues-that-never-shrink", "libs/http/src/unsent_bytes.cpp",
     "    const std::uint64_t spare = half > held() ? half - held() : 0;", "    const std::uint64_t spare = half;", SLOW),
    ("memory-of-sent-bytes-kept", "libs/http/src/stream_socket.cpp",
     "    std::string().swap(m_outgoing); // an", "    m_outgoing = std::string(); // an", SLOW),
    ("answered-into-a-growing-queue", "libs/http/src/server_connection.cpp",
     "    if (m_socket.bytesQueued() > m_shared->unsent.queueLimit()) {\n", "    if (false) {\n", SLOW),
    ("read-bytes-still-counted", "libs/http/src/server_connection.cpp",
     "    updateUnsent();\n    updateWaiting();\n    const auto writer", "    updateWaiting();\n    const auto writer", SLOW),
    ("announced-lengths-refused", "libs/http/src/http_client.cpp",
     "m_parser->body_limit(std::numeric_limits<std::uint64_t>::max());", "m_parser->body_limit(boost::none);", "test_body_that_arrives*"),
    ("heads-without-a-bound", "libs/http/src/answer_meter.cpp",
     "    if (unparsed > m_limits.headBytes)", "    if (unparsed > 10'000 * m_limits.headBytes)", ENDLESS),
    ("informational-responses-without-a-bound", "libs/http/src/answer_meter.cpp",
     "    if (m_skipped > m_limits.skippedBytes)", "    if (m_skipped > 1'000 * m_limits.skippedBytes)", ENDLESS),
    ("collected-bodies-without-a-bound", "libs/http/src/answer_meter.cpp",
     "    if (m_body > m_limits.collectedBytes)", "    if (m_body > 100 * m_limits.collectedBytes)", ENDLESS),
]

# Mutations of what a node holds of responses, each with the test cases to run.
GATEWAY_MUTATIONS = [
    ("prefill-answers-without-a-bound", "libs/gateway/src/caller_flow.cpp",
     "    onTooLarge(attempt, \"response that is not passed on\", maxBufferedBytes);", "", ENDLESS),
    ("events-without-a-bound", "libs/http/include/http/event_stream.h",
     "maxEventBytes = 256 * 1024;", "maxEventBytes = 256 * 1024 * 1024;", ENDLESS),
    ("answers-without-a-caller-without-a-bound", "libs/gateway/src/caller_flow.cpp",
     "        if (attempt->unreadBytes > maxUnreadBytes)", "        if (attempt->unreadBytes > 1000 * maxUnreadBytes)", ENDLESS),
]


def run(command, directory):
    return subprocess.run(command, cwd=directory, capture_output=True, text=True, check=False)


def failing_tests(build, program, cases):
    result = run(["bin/" + program, "-r", "xml"] + cases, build)
    lines = result.stdout.splitlines()
    failed, name = [], ""
    for line in lines:
        if "<TestCase name=" in line:
            name = line.split('name="')[1].split('"')[0]
        if '<OverallResult success="false"' in line:
            failed.append(name)
    return failed or (["(ended by a signal)"] if result.returncode < 0 else [])


def main():
    scratch, wanted = os.path.abspath(sys.argv[1]), sys.argv[2:]
    source = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
    shutil.rmtree(scratch, ignore_errors=True)
    shutil.copytree(source, scratch, ignore=shutil.ignore_patterns("build*", "run", ".git"))
    build = os.path.join(scratch, "build")
    run(["cmake", "-S", scratch, "-B", build, "-G", "Ninja"], scratch)
    unnoticed = 0
    jobs = [(*item, "test_decide", []) for item in MUTATIONS]
    jobs += [(*item[:4], "test_process", [item[4]]) for item in PROCESS_MUTATIONS]
    jobs += [(*item[:4], "test_serving", [item[4]]) for item in SERVING_MUTATIONS]
    jobs += [(*item[:4], "test_http", [item[4]]) for item in HTTP_MUTATIONS]
    jobs += [(*item[:4], "test_gateway", [item[4]]) for item in GATEWAY_MUTATIONS]
    for name, file, text, replacement, program, cases in jobs:
        if wanted and name not in wanted and program not in wanted:
            continue
        path = os.path.join(scratch, file)
        original = open(path).read()
        if original.count(text) != 1:
            print(f"{name}: the text to replace is there {original.count(text)} times")
            unnoticed += 1
            continue
        with open(path, "w") as changed:
            changed.write(original.replace(text, replacement))
        targets = [program] if program in ("test_decide", "test_serving", "test_http", "test_gateway") else [program, "tamarackrelay", "tamarackctl", "tamarack_standin"]
        built = run(["ninja", "-C", build, "-j", "3"] + targets, scratch)
        failed = failing_tests(build, program, cases) if built.returncode == 0 else []
        print(f"{name}: " + (", ".join(failed) if failed else "NOT NOTICED" if built.returncode == 0 else "does not build"),
              flush=True)
        unnoticed += not failed
        with open(path, "w") as restored:
            restored.write(original)
    return 1 if unnoticed else 0


if __name__ == "__main__":
    sys.exit(main())
