// Defines the settings of one node process: its identity, its ports, and the addresses of the platform services.
#pragma once

#include "base/clock.h"
#include "settings/setting_error.h"

#include <string>
#include <variant>

namespace tamarack {

struct node_settings {
    std::string vm; ///< name of this VM, unique in the deployment
    std::string region;
    std::string availabilityZone;
    std::string address; ///< IP address at which others reach this node
    int callerPort = 0;
    int peerPort = 0; ///< UDP and TCP
    int adminPort = 0;
    std::string logAddress; ///< `ip:port` of the platform's append-only log
    std::string logStream = "tamarack";
    std::string vmListAddress; ///< `ip:port` of the platform's list of VMs
    std::string logLevel = "info";
    std::string spanFile; ///< file that spans are appended to as JSON lines; empty for the log
    duration logPollInterval = std::chrono::milliseconds(250);
    duration vmListPollInterval = std::chrono::seconds(1);
    duration heartbeatInterval = std::chrono::milliseconds(500);
    duration peerTimeout = std::chrono::seconds(3);
    duration targetPollInterval = std::chrono::milliseconds(500);
    duration leaseLength = std::chrono::seconds(6);
    duration entryLifetime = std::chrono::seconds(5); ///< how long callers may cache an answer of /v1/entries
    duration drainTimeout = std::chrono::seconds(60); ///< longest wait for in-flight requests on a planned stop
    duration keyMemory = std::chrono::seconds(600); ///< how long outcomes of non-idempotent requests are kept
    duration snapshotInterval = std::chrono::seconds(60); ///< must be well below the log's retention
    int clientMemoryMegabytes = 128; ///< for requests, from their first byte to their end, and for unsent responses
    int maxRequests = 20'000;
};

/// Parses and validates the settings of a node. On failure, returns all errors, not only the first.
std::variant<node_settings, setting_errors> readNodeSettings(const std::string& text, const std::string& file);

}
