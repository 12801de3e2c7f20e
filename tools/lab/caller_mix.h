// A seeded mix of calls whose prompt-to-output ratio swings, against a running deployment.
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

struct mix_settings {
    double requestsPerSecond = 12;
    double seconds = 10;
    double swingSeconds = 8; ///< period of the swing between long prompts and long answers
    std::uint64_t seed = 1;
    std::string model;
    std::string service;
    std::string keyedPath; ///< of the service's non-idempotent call
    std::string urgentClass;
};

struct latency_list {
    std::vector<double> values;

    double quantile(double q);
};

struct mix_result {
    std::array<int, static_cast<std::size_t>(harness::call_end::count)> ends {};
    int sent = 0;
    int goodput = 0; ///< whole and within the caller's patience
    int retries = 0;
    int resumes = 0;
    int doubled = 0; ///< keys that ran more than once
    int keyedWhole = 0;
    latency_list urgent; ///< seconds to the whole answer
    latency_list firstEvent; ///< completions: seconds to the first event
    latency_list others;
    std::map<std::string, int> wrongDetails;
};

/// Sends calls until the time is over, then waits for the answers.
class caller_mix {
public:
    caller_mix(harness::deployment_run& run, mix_settings settings);

    void start();
    bool isDone() const;
    /// Counts doubles at the services, and hands over.
    mix_result finish();

private:
    void sendNext();
    harness::call_spec nextCall();
    void note(const harness::call_spec& spec, const harness::call_result& result);

    harness::deployment_run& m_run;
    mix_settings m_settings;
    random_source m_random;
    harness::test_caller m_caller;
    QTimer m_timer;
    instant m_startedAt;
    mix_result m_result;
};

}
