// The settings of one node process: who it is, where it listens, and where the platform is.
#pragma once

#include "base/clock.h"
#include "settings/setting_error.h"

#include <string>
#include <variant>

namespace tamarack {

struct node_settings {
    std::string vm; ///< this VM's name; unique in the deployment
    std::string region;
    std::string availabilityZone;
    std::string address; ///< IP number others reach this node at
    int callerPort = 0;
    int peerPort = 0; ///< UDP and TCP
    int adminPort = 0;
    std::string logAddress; ///< `ip:port` of the platform's append-only log
    std::string logStream = "tamarack";
    std::string vmListAddress; ///< `ip:port` of the platform's list of VMs
    std::string logLevel = "info";
    std::string spanFile; ///< spans are written there as JSON lines; empty for the log
    duration logPollInterval = std::chrono::milliseconds(250);
    duration vmListPollInterval = std::chrono::seconds(1);
    duration heartbeatInterval = std::chrono::milliseconds(500);
    duration peerTimeout = std::chrono::seconds(3);
    duration targetPollInterval = std::chrono::milliseconds(500);
    duration leaseLength = std::chrono::seconds(6);
    duration entryLifetime = std::chrono::seconds(5); ///< how long callers may keep an answer of /v1/entries
    duration drainTimeout = std::chrono::seconds(60); ///< longest wait for held requests on a planned stop
    duration keyMemory = std::chrono::seconds(600); ///< how long outcomes of non-idempotent requests are kept
    duration snapshotInterval = std::chrono::seconds(60); ///< well below the log's retention
    int maxRequests = 20'000;
};

/// Reads and checks a node's settings; every error is listed, not only the first.
std::variant<node_settings, setting_errors> readNodeSettings(const std::string& text, const std::string& file);

}
