// Starts, signals and ends the processes of a deployment.
#include "harness/deployment_run.h"

#include <QDir>
#include <QTcpServer>
#include <QUdpSocket>
#include <csignal>
#include <fstream>
#include <unistd.h>

namespace tamarack::harness {

namespace {

    using nlohmann::json;

    constexpr int killWaitMilliseconds = 5000;

    /// A port that was free a moment ago, for TCP and UDP, and that this process has not given out yet. Below the range
    /// from which the kernel takes ports for outgoing connections: one of those could hold a port while its process is
    /// being restarted.
    int freePort()
    {
        constexpr int first = 20'000;
        constexpr int count = 12'000;
        static int next = static_cast<int>(getpid() * 97LL % count);
        for (;;) {
            const int port = first + next++ % count;
            QTcpServer tcp;
            QUdpSocket udp;
            const auto number = static_cast<quint16>(port);
            if (tcp.listen(QHostAddress::LocalHost, number) && udp.bind(QHostAddress::LocalHost, number))
                return port;
        }
    }

    json readJson(const std::string& file)
    {
        std::ifstream stream(file);
        return json::parse(stream, nullptr, true, true);
    }

    void writeText(const std::string& file, const std::string& text) { std::ofstream(file) << text; }

}

deployment_run::deployment_run(run_options options)
    : m_options(std::move(options))
{
    QDir(QString::fromStdString(m_options.workDir)).removeRecursively();
    QDir().mkpath(QString::fromStdString(m_options.workDir));
    m_platform = { "127.0.0.1", static_cast<std::uint16_t>(freePort()) };
    prepareText();
    const auto& zones = m_text["availability_zones"];
    for (int i = 0; i < m_options.nodes; ++i) {
        const std::string zone = zones[static_cast<std::size_t>(i) % zones.size()];
        const auto vm = "entry-" + zone + "-" + std::to_string(static_cast<std::size_t>(i) / zones.size() + 1);
        m_nodes[vm] = { freePort(), freePort(), freePort() };
    }
}

deployment_run::~deployment_run()
{
    for (auto& [name, process] : m_processes) {
        if (process->state() != QProcess::NotRunning)
            ::kill(static_cast<pid_t>(process->processId()), SIGKILL);
    }
    for (auto& [name, process] : m_processes)
        process->waitForFinished(killWaitMilliseconds);
}

void deployment_run::prepareText()
{
    m_text = readJson(std::string(TAMARACK_SOURCE_DIR) + "/" + m_options.textFile);
    for (auto& service : m_text["services"]) {
        auto& targets = service["targets"];
        if (m_options.targetsPerService > 0) {
            while (targets.size() > m_options.targetsPerService)
                targets.erase(targets.size() - 1);
        }
        for (auto& target : targets) {
            const endpoint address { "127.0.0.1", static_cast<std::uint16_t>(freePort()) };
            target["address"] = toString(address);
            m_targets[target["name"]] = address;
            if (m_options.withLinks) {
                const int port = freePort();
                m_links[target["name"]] = port;
                target["address"] = "127.0.0.1:" + std::to_string(port);
            }
            m_serviceOf[target["name"]] = service["name"];
        }
        const auto name = service["name"].get<std::string>();
        if (m_options.textPatch.contains("services") && m_options.textPatch["services"].contains(name))
            service.merge_patch(m_options.textPatch["services"][name]);
    }
    if (m_options.textPatch.contains("policy"))
        m_text["policy"].merge_patch(m_options.textPatch["policy"]);
    writeText(path("text.json"), m_text.dump(2));
}

void deployment_run::launch(
    const std::string& name, const std::string& program, const std::vector<std::string>& arguments)
{
    auto process = std::make_unique<QProcess>();
    QStringList list;
    for (const auto& argument : arguments)
        list << QString::fromStdString(argument);
    process->setProcessChannelMode(QProcess::MergedChannels);
    process->setStandardOutputFile(QString::fromStdString(logFile(name)), QIODevice::Append);
    process->start(QString::fromStdString(std::string(TAMARACK_BIN_DIR) + "/" + program), list);
    process->waitForStarted();
    m_processes[name] = std::move(process);
}

void deployment_run::startPlatform()
{
    launch("platform", "tamarack_standin",
        { "platform", "--port", std::to_string(m_platform.port), "--retention", std::to_string(m_options.retention) });
}

void deployment_run::startTarget(const std::string& name)
{
    const auto& service = m_serviceOf.at(name);
    std::string kind = "service";
    std::string checks = "true";
    for (const auto& entry : m_text["services"]) {
        if (entry["name"] != service)
            continue;
        kind = entry["kind"] == "engine" ? "engine" : "service";
        checks = entry.value("checks_fencing", true) ? "true" : "false";
    }
    std::vector<std::string> arguments { kind, "--name", name, "--port", std::to_string(m_targets.at(name).port),
        "--text", path("text.json"), "--service", service, "--checks-fencing", checks, "--weight-store",
        toString(m_platform), "--change-seconds", std::to_string(m_options.changeSeconds), "--entry",
        toString(callerAddress(vms().front())) };
    if (m_options.withSpans) {
        arguments.push_back("--span-file");
        arguments.push_back(spanFile(name));
    }
    launch(name, "tamarack_standin", arguments);
}

void deployment_run::startNode(const std::string& vm)
{
    const auto& ports = m_nodes.at(vm);
    json settings { { "vm", vm }, { "region", m_text["region"] },
        { "availability_zone", vm.substr(6, vm.rfind('-') - 6) }, { "address", "127.0.0.1" },
        { "caller_port", ports.caller }, { "peer_port", ports.peer }, { "admin_port", ports.admin },
        { "log_address", toString(m_platform) }, { "vm_list_address", toString(m_platform) },
        { "log_poll_interval", 0.1 }, { "heartbeat_interval", 0.2 }, { "peer_timeout", 2 },
        { "target_poll_interval", 0.2 }, { "vm_list_poll_interval", 0.3 }, { "lease_length", 2 },
        { "entry_lifetime", 1 }, { "snapshot_interval", 1 } };
    if (m_options.withSpans)
        settings["span_file"] = spanFile(vm);
    settings.merge_patch(m_options.nodePatch);
    const auto file = path(vm + ".json");
    writeText(file, settings.dump(2));
    launch(vm, "tamarackrelay", { "--settings", file });
}

std::string deployment_run::start()
{
    startPlatform();
    if (!waitUntil([&] { return !callJson(m_platform, "GET", "/vms").is_null(); }))
        return "the platform stand-in does not answer";
    for (const auto& [name, address] : m_targets)
        startTarget(name);
    for (const auto& [name, port] : m_links)
        launch("link-" + name, "tamarack_standin",
            { "link", "--port", std::to_string(port), "--entry", toString(m_targets.at(name)) });
    listVms();
    std::string output;
    if (ctl({ "publish", path("text.json"), "--log", toString(m_platform), "--author", "harness" }, &output) != 0)
        return "the text was not published: " + output;
    for (const auto& vm : vms())
        startNode(vm);
    for (const auto& vm : vms()) {
        if (!waitUntil([&] { return isReady(vm); }))
            return vm + " does not become ready";
    }
    for (const auto& [name, address] : m_targets) {
        if (!waitUntil([&, &name = name] { return !targetStatus(name).is_null(); }))
            return name + " does not answer";
    }
    return {};
}

void deployment_run::listVms(const std::vector<std::string>& leaving)
{
    json list = json::array();
    const auto stateOf = [&](const std::string& name) {
        return std::find(leaving.begin(), leaving.end(), name) == leaving.end() ? "live" : "leaving";
    };
    for (const auto& [vm, ports] : m_nodes) {
        list.push_back({ { "name", vm }, { "address", "127.0.0.1" },
            { "availability_zone", vm.substr(6, vm.rfind('-') - 6) }, { "kind", "entry" },
            { "caller_port", ports.caller }, { "peer_port", ports.peer }, { "state", stateOf(vm) } });
    }
    for (const auto& [name, address] : m_targets) {
        list.push_back({ { "name", name }, { "address", address.address }, { "availability_zone", "" },
            { "kind", "target" }, { "state", stateOf(name) } });
    }
    callJson(m_platform, "POST", "/vms", { { "vms", list } });
}

void deployment_run::signal(const std::string& name, int number)
{
    const auto found = m_processes.find(name);
    if (found != m_processes.end() && found->second->state() != QProcess::NotRunning)
        ::kill(static_cast<pid_t>(found->second->processId()), number);
}

void deployment_run::kill(const std::string& name)
{
    signal(name, SIGKILL);
    m_processes.at(name)->waitForFinished(killWaitMilliseconds);
}

void deployment_run::freeze(const std::string& name) { signal(name, SIGSTOP); }

void deployment_run::thaw(const std::string& name) { signal(name, SIGCONT); }

void deployment_run::silenceLinks()
{
    for (const auto& [name, port] : m_links)
        signal("link-" + name, SIGUSR1);
}

void deployment_run::terminate(const std::string& name) { signal(name, SIGTERM); }

bool deployment_run::isRunning(const std::string& name) const
{
    const auto found = m_processes.find(name);
    if (found == m_processes.end())
        return false;
    // QProcess learns of an end from the event loop; ask it to look now.
    found->second->waitForFinished(0);
    return found->second->state() != QProcess::NotRunning;
}

qint64 deployment_run::pid(const std::string& name) const { return m_processes.at(name)->processId(); }

endpoint deployment_run::callerAddress(const std::string& vm) const
{
    return { "127.0.0.1", static_cast<std::uint16_t>(m_nodes.at(vm).caller) };
}

endpoint deployment_run::adminAddress(const std::string& vm) const
{
    return { "127.0.0.1", static_cast<std::uint16_t>(m_nodes.at(vm).admin) };
}

endpoint deployment_run::peerAddress(const std::string& vm) const
{
    return { "127.0.0.1", static_cast<std::uint16_t>(m_nodes.at(vm).peer) };
}

endpoint deployment_run::targetAddress(const std::string& name) const { return m_targets.at(name); }

std::vector<std::string> deployment_run::vms() const
{
    std::vector<std::string> names;
    for (const auto& [vm, ports] : m_nodes)
        names.push_back(vm);
    return names;
}

std::vector<std::string> deployment_run::targetsOf(const std::string& service) const
{
    std::vector<std::string> names;
    for (const auto& [target, its] : m_serviceOf) {
        if (its == service)
            names.push_back(target);
    }
    return names;
}

std::vector<std::string> deployment_run::allTargets() const
{
    std::vector<std::string> names;
    for (const auto& [target, address] : m_targets)
        names.push_back(target);
    return names;
}

json deployment_run::status(const std::string& vm) const { return callJson(adminAddress(vm), "GET", "/status"); }

json deployment_run::targetStatus(const std::string& name) const
{
    return callJson(targetAddress(name), "GET", "/control/status");
}

bool deployment_run::isReady(const std::string& vm) const
{
    const auto now = status(vm);
    return now.is_object() && now.value("state", "") == "ready";
}

int deployment_run::ctl(const std::vector<std::string>& arguments, std::string* output) const
{
    QProcess process;
    QStringList list;
    for (const auto& argument : arguments)
        list << QString::fromStdString(argument);
    process.setProcessChannelMode(QProcess::MergedChannels);
    process.start(QString::fromStdString(std::string(TAMARACK_BIN_DIR) + "/tamarackctl"), list);
    process.waitForFinished(60'000);
    if (output)
        *output = process.readAll().toStdString();
    return process.exitCode();
}

int deployment_run::publish(const json& change)
{
    json next = m_text;
    if (change.contains("policy"))
        next["policy"].merge_patch(change["policy"]);
    for (auto& service : next["services"]) {
        const auto name = service["name"].get<std::string>();
        if (change.contains("services") && change["services"].contains(name))
            service.merge_patch(change["services"][name]);
    }
    const auto file = path("next.json");
    writeText(file, next.dump(2));
    const int code = ctl({ "publish", file, "--log", toString(m_platform), "--author", "harness" });
    if (code == 0)
        m_text = next;
    return code;
}

std::string deployment_run::spanFile(const std::string& name) const { return path(name + ".spans"); }

std::string deployment_run::logFile(const std::string& name) const { return path(name + ".log"); }

}
