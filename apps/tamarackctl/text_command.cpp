// check, diff and trace: commands over texts and files.
#include "command_table.h"
#include "log_reader.h"
#include "text_diff.h"

#include "observe/span.h"
#include "settings/deployment.h"
#include "settings/node_settings.h"

#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>

namespace tamarack::ctl {

namespace {

    std::size_t printErrors(const setting_errors& errors)
    {
        for (const auto& error : errors)
            std::cerr << toString(error) << "\n";
        return errors.size();
    }

    std::size_t checkFile(const std::string& name, const std::string& text, bool isNode)
    {
        if (isNode) {
            const auto read = readNodeSettings(text, name);
            const auto* errors = std::get_if<setting_errors>(&read);
            return errors ? printErrors(*errors) : 0;
        }
        const auto read = readDeployment(text, name);
        const auto* errors = std::get_if<setting_errors>(&read);
        return errors ? printErrors(*errors) : 0;
    }

}

std::string describeDifference(const std::string& before, const std::string& after)
{
    const auto from = nlohmann::json::parse(before.empty() ? "{}" : before, nullptr, false, true);
    const auto to = nlohmann::json::parse(after, nullptr, false, true);
    if (from.is_discarded() || to.is_discarded())
        return "one of the texts is not JSON\n";
    std::string lines;
    for (const auto& change : nlohmann::json::diff(from, to)) {
        const std::string path = change["path"];
        const auto kind = change["op"].get<std::string>();
        lines += kind + " " + (path.empty() ? "/" : path);
        if (kind != "add" && !path.empty())
            lines += "  was " + from.value(nlohmann::json::json_pointer(path), nlohmann::json()).dump();
        if (change.contains("value"))
            lines += "  now " + change["value"].dump();
        lines += "\n";
    }
    return lines;
}

int runCheck(const arguments& given)
{
    if (operand(given, 0).empty())
        return complain(exitUsage, "check needs a FILE");
    std::size_t errors = 0;
    for (std::size_t i = 0; !operand(given, i).empty(); ++i) {
        std::string text;
        if (!readFile(operand(given, i), text))
            return exitUsage;
        const auto found = checkFile(operand(given, i), text, given.count("node-settings") > 0);
        if (found == 0)
            std::cout << operand(given, i) << ": ok\n";
        errors += found;
    }
    if (errors == 0)
        return exitOk;
    return complain(exitFailed, std::to_string(errors) + " error(s)");
}

int runDiff(const arguments& given)
{
    std::string text;
    if (operand(given, 0).empty() || !given.count("log"))
        return complain(exitUsage, "diff needs a FILE and --log ip:port");
    if (!readFile(operand(given, 0), text))
        return exitUsage;
    log_reader log(given["log"].as<std::string>(), given["stream"].as<std::string>());
    if (!log.readState())
        return complain(exitUnreachable, log.problem() + "; nothing was compared");
    const auto& inForce = log.follower().state().configuration();
    std::cout << "in force: version " << inForce.version << " by " << inForce.author << "\n"
              << describeDifference(inForce.text, text);
    return exitOk;
}

int runTrace(const arguments& given)
{
    const auto traceId = operand(given, 0);
    if (traceId.empty() || operand(given, 1).empty())
        return complain(exitUsage, "trace needs a TRACE-ID and span FILEs");
    std::vector<std::string> lines;
    for (std::size_t i = 1; !operand(given, i).empty(); ++i) {
        std::ifstream stream(operand(given, i));
        for (std::string line; std::getline(stream, line);)
            lines.push_back(line);
    }
    const auto tree = formatTraceTree(lines, traceId);
    if (tree.empty())
        return complain(exitFailed, "no span of trace " + traceId + " is in these files");
    std::cout << "trace " << traceId << "\n" << tree;
    return exitOk;
}

}
