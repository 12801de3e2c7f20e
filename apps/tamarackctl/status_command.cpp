// Implements status, drain and release, which call the admin interface of nodes.
#include "command_table.h"

#include "http/http_client.h"

#include <QEventLoop>
#include <algorithm>
#include <cstdio>
#include <iostream>
#include <nlohmann/json.hpp>
#include <optional>
#include <vector>

namespace tamarack::ctl {

namespace {

    using nlohmann::json;

    /// Sends a request to a node and waits for the response. Returns its JSON object, or nullopt if the node did not
    /// respond with status 200 and a JSON object.
    std::optional<json> callNode(
        http_client& client, const std::string& address, const char* method, const std::string& path)
    {
        http_request request;
        request.method = method;
        request.target = path;
        exchange_options options;
        options.silenceTimeout = std::chrono::seconds(2);
        QEventLoop loop;
        std::optional<json> answer;
        client.fetch(
            parseEndpoint(address), request, options, [&](const http_response* response, const exchange_failure&) {
                if (response && response->status == 200)
                    answer = json::parse(response->body, nullptr, false);
                QMetaObject::invokeMethod(&loop, "quit", Qt::QueuedConnection);
            });
        loop.exec();
        if (answer && !answer->is_object())
            answer.reset();
        return answer;
    }

    void printNode(const json& node)
    {
        std::printf("%-22s %-10s %-12s config %llu (serves %llu)  log %lld%s  held %llu waiting %llu\n",
            node.value("instance", "?").c_str(), node.value("availability_zone", "?").c_str(),
            node.value("state", "?").c_str(), node.value("configuration_version", 0ULL),
            node.value("served_version", 0ULL), node.value("log_reach", 0LL),
            node.value("log_reachable", false) ? "" : " (unreachable)", node["requests"].value("held", 0ULL),
            node["requests"].value("waiting", 0ULL));
        for (const auto& item : node["alarms"])
            std::printf("    alarm %s: %s\n", item.value("alarm", "").c_str(), item.value("detail", "").c_str());
    }

    /// Prints the leases, open orders and targets, which all nodes share, as one node reports them.
    void printSharedState(const json& node)
    {
        for (const auto& lease : node["leases"])
            std::printf("lease %-28s holder %s term %lld\n", lease.value("lease", "").c_str(),
                lease.value("holder", "").empty() ? "nobody" : lease.value("holder", "").c_str(),
                lease.value("term", 0LL));
        for (const auto& order : node["open_orders"])
            std::printf("open order %lld at %s: %s %s, deliverer %s\n", order.value("order", 0LL),
                order.value("target", "").c_str(), order.value("set", "").c_str(), order.value("value", "").c_str(),
                order.value("deliverer", "").c_str());
        for (const auto& target : node["targets"])
            std::printf("target %-16s %-14s %-8s running %5.1f%s%s%s\n", target.value("target", "").c_str(),
                target.value("service", "").c_str(), target.value("role", "").c_str(), target.value("running", 0.0),
                target.value("takes_work", false) ? "" : "  takes no work",
                target.value("leaving", false) ? "  leaving" : "", target.value("changing", false) ? "  changing" : "");
        for (const auto& item : node.value("quarantined", json::array()))
            std::printf("quarantined %s for %.0f s, %llu targets ended under it\n", item.value("digest", "").c_str(),
                item.value("age_seconds", 0.0), item.value("targets", 0ULL));
    }

}

int runStatus(const arguments& args)
{
    if (!args.count("node"))
        return reportError(exitUsage, "status needs --node ip:port, the admin address of any node");
    http_client client;
    auto addresses = args["node"].as<std::vector<std::string>>();
    std::vector<json> nodes;
    bool hasUnreachableNode = false;
    for (std::size_t i = 0; i < addresses.size(); ++i) {
        const auto status = callNode(client, addresses[i], "GET", "/status");
        if (!status) {
            reportError(exitUnreachable, "node " + addresses[i] + " does not answer");
            hasUnreachableNode = true;
            continue;
        }
        for (const auto& peer : status->value("peers", json::array())) {
            const auto admin = peer.value("admin", "");
            if (std::find(addresses.begin(), addresses.end(), admin) == addresses.end())
                addresses.push_back(admin);
        }
        nodes.push_back(*status);
    }
    for (const auto& node : nodes) {
        if (args.count("json"))
            std::cout << node.dump(2) << "\n";
        else
            printNode(node);
    }
    if (!nodes.empty() && !args.count("json"))
        printSharedState(nodes.front());
    return hasUnreachableNode ? exitUnreachable : exitOk;
}

// One node is enough: it tells the others.
int runRelease(const arguments& args)
{
    const auto digest = operand(args, 0);
    if (!args.count("node") || digest.empty())
        return reportError(exitUsage, "release needs DIGEST and --node ip:port, the admin address of any node");
    const auto address = args["node"].as<std::vector<std::string>>().front();
    http_client client;
    if (!callNode(client, address, "POST", "/quarantine/release/" + digest))
        return reportError(exitFailed, "node " + address + " does not answer, or has nothing quarantined as " + digest);
    std::cout << digest << " is released\n";
    return exitOk;
}

int runDrain(const arguments& args)
{
    if (!args.count("node"))
        return reportError(exitUsage, "drain needs --node ip:port, the admin address of the node that shall stop");
    http_client client;
    for (const auto& address : args["node"].as<std::vector<std::string>>()) {
        if (!callNode(client, address, "POST", "/drain"))
            return reportError(exitUnreachable, "node " + address + " does not answer");
        std::cout << "node " << address << " is draining\n";
    }
    return exitOk;
}

}
