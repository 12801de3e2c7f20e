// A whole deployment as processes on loopback: platform, engines and services as stand-ins, and real nodes.
#pragma once

#include "harness/blocking_http.h"
#include "settings/deployment.h"

#include <QProcess>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace tamarack::harness {

struct run_options {
    std::string textFile; ///< operators' text, relative to the source tree
    std::string workDir; ///< for settings, texts, logs and spans; made anew
    int nodes = 3;
    double changeSeconds = 1;
    std::int64_t retention = 100'000;
    /// Merged into the text before it is published.
    nlohmann::json textPatch = nlohmann::json::object();
    /// Merged into every node's settings.
    nlohmann::json nodePatch = nlohmann::json::object();
    /// Keep only so many targets of each service; 0: all.
    std::size_t targetsPerService = 0;
    bool withSpans = false;
    /// Put a link before each target, whose connections silenceLinks() can silence.
    bool withLinks = false;
};

/// Ends every process that it started, by pid, when it is destroyed.
class deployment_run {
public:
    explicit deployment_run(run_options options);
    ~deployment_run();
    deployment_run(const deployment_run&) = delete;
    deployment_run& operator=(const deployment_run&) = delete;

    /// Starts everything, publishes the text and waits until every node takes work. An empty string, or what failed.
    std::string start();

    // Processes by name: "platform", a target's name, or a node's vm.
    void startNode(const std::string& vm);
    void startTarget(const std::string& name);
    void startPlatform();
    void kill(const std::string& name);
    void freeze(const std::string& name);
    void thaw(const std::string& name);
    /// Every open connection to a target goes silent for good; new ones work.
    void silenceLinks();
    /// SIGTERM: a planned stop of a node.
    void terminate(const std::string& name);
    bool isRunning(const std::string& name) const;
    qint64 pid(const std::string& name) const;

    endpoint callerAddress(const std::string& vm) const;
    endpoint adminAddress(const std::string& vm) const;
    endpoint peerAddress(const std::string& vm) const;
    endpoint targetAddress(const std::string& name) const;
    endpoint platformAddress() const { return m_platform; }
    std::vector<std::string> vms() const;
    std::vector<std::string> targetsOf(const std::string& service) const;
    std::vector<std::string> allTargets() const;
    nlohmann::json status(const std::string& vm) const;
    nlohmann::json targetStatus(const std::string& name) const;
    bool isReady(const std::string& vm) const;
    /// Sets the VM list: all nodes and targets live, but for those named.
    void listVms(const std::vector<std::string>& leaving = {});
    /// Runs tamarackctl to its end; its exit code.
    int ctl(const std::vector<std::string>& arguments, std::string* output = nullptr) const;
    /// Publishes the present text with a change merged in; tamarackctl's exit code.
    int publish(const nlohmann::json& change);
    const nlohmann::json& text() const { return m_text; }
    std::string spanFile(const std::string& name) const;
    std::string logFile(const std::string& name) const;
    std::string workDir() const { return m_options.workDir; }

private:
    void prepareText();
    void launch(const std::string& name, const std::string& program, const std::vector<std::string>& arguments);
    std::string path(const std::string& name) const { return m_options.workDir + "/" + name; }
    void signal(const std::string& name, int number);

    struct node_ports {
        int caller;
        int peer;
        int admin;
    };

    run_options m_options;
    nlohmann::json m_text;
    endpoint m_platform;
    std::map<std::string, node_ports> m_nodes;
    std::map<std::string, endpoint> m_targets;
    std::map<std::string, int> m_links; // port before each target, if withLinks
    std::map<std::string, std::string> m_serviceOf; // by target
    std::map<std::string, std::unique_ptr<QProcess>> m_processes;
};

}
