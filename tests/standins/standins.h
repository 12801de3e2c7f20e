// The stand-ins that tamarack_standin can be.
#pragma once

#include "http/http_client.h"
#include "settings/deployment.h"

#include <cstdint>
#include <memory>
#include <string>

namespace tamarack::standins {

struct standin_options {
    std::string name;
    std::string address = "127.0.0.1";
    int port = 0;
    std::string service; // of the text: the service whose timing this engine or service has
    std::string spanFile;
    std::string weightStore; // `ip:port`
    std::string entry; // `ip:port` of a node, for nested calls of plain services
    double changeSeconds = 2;
    double loadLagSeconds = 0.3;
    bool checksFencing = true;
    std::int64_t retention = 100'000; // records that the log keeps
    double vmListLagSeconds = 0.5;
};

/// An engine that begins to run this prompt ends.
inline constexpr const char* harmfulPrompt = "harmful";

/// A stand-in process; listens from construction on, until it is destroyed.
class standin {
public:
    virtual ~standin() = default;
    virtual int port() const = 0;
};

/// The log, the VM list and the weight store. Faults: POST /fault with {"log": "up" | "down" | "slow" | "lose_answers"
/// | "late"}, {"vm_list": "up" | "down"}, {"retention": N}, {"append": RECORD},
/// {"expire": true} (all records).
std::unique_ptr<standin> makePlatform(const standin_options& options);
/// A model engine. Faults: POST /fault with {"next": "cut" | "silent" | "crossed" | "lose_answer" | "truncate"},
/// {"leaving": true}, {"crash": true}, {"ignore_offset": true}.
std::unique_ptr<standin> makeEngine(const standin_options& options, const service_entry& timing);
/// A plain service; counts runs by key, told by GET /runs. Faults: POST /fault with {"next": "refuse" | "silent" |
/// "lose_answer"}, {"leaving": true}, {"rest": SECONDS} (from its next call on it turns work away for that long).
std::unique_ptr<standin> makeService(const standin_options& options, const service_entry& timing);
/// A link to `options.entry`; SIGUSR1 silences its open connections.
std::unique_ptr<standin> makeLink(const standin_options& options);

}
