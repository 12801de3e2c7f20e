// Defines the command table and the helper functions that all commands use.
#include "command_table.h"

#include <array>
#include <fstream>
#include <iostream>
#include <sstream>
#include <vector>

namespace tamarack::ctl {

namespace {

    constexpr std::array<command, 11> table { {
        { "check", "FILE...", "check operators' texts, or with --node-settings nodes' settings", runCheck },
        { "diff", "FILE", "show what a text would change in the configuration in force", runDiff },
        { "publish", "FILE", "publish a text as the next version, unless somebody else did meanwhile", runPublish },
        { "status", "", "show each node: instance, zone, configuration, log, leases, targets, open orders", runStatus },
        { "drain", "", "let the node stop gracefully", runDrain },
        { "release", "DIGEST",
            "end the quarantine of a request, or of a part of prompts, that was held to crash its targets",
            runRelease },
        { "trace", "TRACE-ID FILE...", "print one request's trace as a tree, from span files", runTrace },
        { "explain", "REQUEST-ID FILE...", "print one request's story in order, from the nodes' log files",
            runExplain },
        { "failures", "FILE...", "count why requests failed, the largest cause first, from the nodes' log files",
            runFailures },
        { "late", "FILE...", "count why answers were late, the largest cause first, from the nodes' log files",
            runLate },
        { "end-order", "TARGET ORDER", "declare that an open order's deliverer has ended for good", runEndOrder },
    } };

}

std::span<const command> commands() { return table; }

std::string operand(const arguments& args, std::size_t index)
{
    if (!args.count("operands"))
        return {};
    const auto& all = args["operands"].as<std::vector<std::string>>();
    return index < all.size() ? all[index] : std::string();
}

int reportError(int code, const std::string& message)
{
    std::cerr << "tamarackctl: " << message << "\n";
    return code;
}

bool readFile(const std::string& name, std::string& text)
{
    std::ifstream stream(name);
    if (!stream) {
        reportError(exitUsage, name + " cannot be read");
        return false;
    }
    std::stringstream buffer;
    buffer << stream.rdbuf();
    text = buffer.str();
    return true;
}

}
