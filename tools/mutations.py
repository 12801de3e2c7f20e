#!/usr/bin/env python3
"""Removes one mechanism after another in a scratch copy and shows which proof then fails.

Usage: tools/mutations.py SCRATCH_DIR [NAME...]
Prints a line a mutation: the tests that failed. A mutation that no test notices ends the run with exit code 1.
"""
import os
import shutil
import subprocess
import sys

DECIDE = "libs/decide/src/"
MUTATIONS = [
    # name, file, text, replacement
    ("claim-without-compare-and-set", DECIDE + "agreed_state.cpp",
     "    if (held.last != body.previous)\n        return verdict::stale_previous;\n", ""),
    ("order-without-compare-and-set", DECIDE + "agreed_state.cpp",
     "    if (state.last != body.previous)\n        return verdict::stale_previous;\n", ""),
    ("order-without-term", DECIDE + "agreed_state.cpp",
     "        return verdict::stale_term;\n    target_orders& state",
     "        (void)0;\n    target_orders& state"),
    ("publication-without-base", DECIDE + "agreed_state.cpp",
     "    if (body.baseVersion != current.version)\n        return verdict::stale_base;\n", ""),
    ("decide-on-stale-views", DECIDE + "order_system.cpp",
     "    if (lastRecord != m_orderSeenAt.end() && view->second.askedAt <= lastRecord->second)\n        return;\n", ""),
    ("reissue-closed-unsent", DECIDE + "agreed_state.cpp",
     "    if (body.reason == order_end::never_sent && found->second.isReissue)\n        return verdict::not_entitled;\n", ""),
    ("trust-from-confirmation", DECIDE + "lease_system.cpp",
     "item.trustedUntil = sent->second + m_settings.length;", "item.trustedUntil = now + m_settings.length;"),
    ("not-run-after-maybe-run", DECIDE + "traffic_system.cpp",
     "    if (m_requests.mayHaveRun[row] && answerFor(kind).executed == ran::no)\n", "    if (false)\n"),
    ("retry-non-idempotent", DECIDE + "traffic_system.cpp",
     "        if (!isIdempotent)\n            return refuse(row, error_kind::outcome_unknown, duration::zero(), out);\n        m_requests.stage",
     "        m_requests.stage"),
    ("work-for-leaving-targets", DECIDE + "target_table.cpp",
     "service[row] < 0 || isLeaving[row] ||", "service[row] < 0 ||"),
    ("key-not-sealed", DECIDE + "key_registry.cpp",
     "    m_entries[key] = { key_state::sealed, now, {}, asker };\n", ""),
    ("home-not-aged", DECIDE + "key_registry.cpp",
     "    return age >= m_memory || age < std::chrono::milliseconds(0);\n", "    return age < std::chrono::milliseconds(-1);\n"),
    ("ready-although-cut-off", DECIDE + "readiness.cpp",
     "        return readiness_state::cut_off;\n", "        return readiness_state::ready;\n"),
    ("nested-calls-not-told-apart", DECIDE + "router.cpp",
     "    if (need.shape.depth > 0) {\n", "    if (false) {\n"),
    ("retries-without-budget", DECIDE + "traffic_system.cpp",
     "(countsAgainstBudget && !m_budgets[service.value].spend())", "false"),
    ("gap-guessed-over", DECIDE + "log_follower.cpp",
     "    if (!m_isSearching && m_state.next() < page.first) {\n", "    if (false) {\n"),
]


def run(command, directory):
    return subprocess.run(command, cwd=directory, capture_output=True, text=True, check=False)


def failing_tests(build):
    result = run(["bin/test_decide", "-r", "compact"], build)
    lines = run(["bin/test_decide", "-r", "xml"], build).stdout.splitlines() if result.returncode else []
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
    for name, file, text, replacement in MUTATIONS:
        if wanted and name not in wanted:
            continue
        path = os.path.join(scratch, file)
        original = open(path).read()
        if original.count(text) != 1:
            print(f"{name}: the text to replace is there {original.count(text)} times")
            unnoticed += 1
            continue
        with open(path, "w") as changed:
            changed.write(original.replace(text, replacement))
        built = run(["ninja", "-C", build, "-j", "2", "test_decide"], scratch)
        failed = failing_tests(build) if built.returncode == 0 else []
        print(f"{name}: " + (", ".join(failed) if failed else "NOT NOTICED" if built.returncode == 0 else "does not build"),
              flush=True)
        unnoticed += not failed
        with open(path, "w") as restored:
            restored.write(original)
    return 1 if unnoticed else 0


if __name__ == "__main__":
    sys.exit(main())
