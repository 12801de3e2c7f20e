// Sends a seeded mix of requests, whose ratio of prompt to output tokens varies periodically, to a running deployment.
#pragma once

#include "harness/deployment_run.h"
#include "harness/test_caller.h"

#include <QTimer>
#include <array>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace tamarack::lab {

/// The requests that a caller_mix sends, their rate and the duration.
struct mix_settings {
    double requestsPerSecond = 12;
    double seconds = 10;
    double periodSeconds = 8; ///< period of the alternation between long prompts and long answers
    std::uint64_t seed = 1;
    std::string model;
    std::string service;
    std::string keyedPath; ///< path of the non-idempotent request of the service
    std::string urgentClass;
};

/// Latencies in seconds.
struct latency_list {
    std::vector<double> values;

    /// Sorts the values and returns the quantile `q` (0 to 1), or 0 if there are none.
    double quantile(double q);
};

/// Outcomes and latencies of all requests of a run.
struct mix_result {
    std::array<int, static_cast<std::size_t>(harness::call_end::count)> ends {}; ///< number of requests by outcome
    int sent = 0;
    int goodput = 0; ///< complete answers within the timeout of the caller
    int retries = 0;
    int resumes = 0;
    int duplicatedKeys = 0; ///< idempotency keys that were executed more than once
    int completedKeyed = 0; ///< complete answers to requests with an idempotency key
    latency_list urgent; ///< urgent requests: seconds to the complete answer
    latency_list firstEvent; ///< completions: seconds to the first event
    latency_list others; ///< other requests: seconds to the complete answer
    std::map<std::string, int> failureDetails; ///< number of failed requests by detail
};

/// Sends requests at a fixed rate until the configured time has passed, and collects the answers.
class caller_mix {
public:
    caller_mix(harness::deployment_run& run, mix_settings settings);

    void start();
    /// Whether all requests were sent and answered.
    bool isDone() const;
    /// Asks the service targets for keys that were executed more than once, and returns the results.
    mix_result finish();

private:
    void sendNext();
    harness::call_spec nextCall();
    void recordResult(const harness::call_spec& spec, const harness::call_result& result);

    harness::deployment_run& m_run;
    mix_settings m_settings;
    random_source m_random;
    harness::test_caller m_caller;
    QTimer m_timer;
    instant m_startedAt;
    mix_result m_result;
};

}
