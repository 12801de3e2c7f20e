// A caller as the documentation asks callers to be: keeps /v1/entries for its lifetime, resumes cut streams, comes back
// when told, and checks every byte it gets.
#pragma once

#include "base/error_kind.h"
#include "base/random_source.h"
#include "http/event_stream.h"
#include "http/http_client.h"

#include <QObject>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace tamarack::harness {

enum class call_kind : unsigned char { completion, plain, non_idempotent };

struct call_spec {
    call_kind kind = call_kind::completion;
    std::string model; ///< or the service, for the other kinds
    std::string prompt; ///< or the body
    std::string path; ///< of the service, as /reports
    std::string requestClass;
    std::string key; ///< non-idempotent
    int maxTokens = 0;
    double patience = 30; ///< seconds until the caller gives up
    std::string traceparent;
};

enum class call_end : unsigned char {
    whole, ///< the whole answer, every byte as the target made it
    refused, ///< told "not run" until patience ended
    unknown, ///< told that the outcome is unknown
    wrong, ///< an answer that is not the one expected
    lost, ///< no whole answer and no word of why
    count
};

struct call_result {
    call_end end = call_end::lost;
    double firstSeconds = 0;
    double totalSeconds = 0;
    int tries = 0;
    int resumes = 0;
    std::string detail;
};

class test_caller {
public:
    /// `nodes` are addresses that the caller was given at the start, as by its own settings.
    test_caller(std::vector<endpoint> nodes, std::uint64_t seed);
    ~test_caller();

    void send(const call_spec& spec, std::function<void(const call_result&)> done);
    /// Waits for the end.
    call_result call(const call_spec& spec);
    std::size_t pending() const { return m_pending; }

private:
    struct running_call;
    using call_ptr = std::shared_ptr<running_call>;

    void refreshEntries(std::function<void()> then, int triesLeft = 6);
    void attempt(const call_ptr& call);
    void attemptAt(const call_ptr& call, const endpoint& node);
    void learnHome(const call_ptr& call, const endpoint& node);
    http_request requestFor(const running_call& call) const;
    void onEnd(const call_ptr& call);
    void onRefusal(const call_ptr& call);
    void again(const call_ptr& call, duration wait);
    void finish(const call_ptr& call, call_end end, std::string detail);
    endpoint pickNode(const endpoint& avoid);

    http_client m_client;
    QObject m_lifetime;
    random_source m_random;
    std::vector<endpoint> m_seeds;
    std::vector<endpoint> m_entries;
    instant m_entriesUntil;
    std::size_t m_pending = 0;
};

}
