// Implements check and diff for configuration texts, and trace for span files.
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

    /// Returns the number of errors.
    std::size_t printErrors(const setting_errors& errors)
    {
        for (const auto& error : errors)
            std::cerr << toString(error) << "\n";
        return errors.size();
    }

    /// Prints the errors of a text and returns their number.
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

int runCheck(const arguments& args)
{
    if (operand(args, 0).empty())
        return reportError(exitUsage, "check needs a FILE");
    std::size_t errors = 0;
    for (std::size_t i = 0; !operand(args, i).empty(); ++i) {
        std::string text;
        if (!readFile(operand(args, i), text))
            return exitUsage;
        const auto found = checkFile(operand(args, i), text, args.count("node-settings") > 0);
        if (found == 0)
            std::cout << operand(args, i) << ": ok\n";
        errors += found;
    }
    if (errors == 0)
        return exitOk;
    return reportError(exitFailed, std::to_string(errors) + " error(s)");
}

int runDiff(const arguments& args)
{
    std::string text;
    if (operand(args, 0).empty() || !args.count("log"))
        return reportError(exitUsage, "diff needs a FILE and --log ip:port");
    if (!readFile(operand(args, 0), text))
        return exitUsage;
    log_reader log(args["log"].as<std::string>(), args["stream"].as<std::string>());
    if (!log.readState())
        return reportError(exitUnreachable, log.failureReason() + "; nothing was compared");
    const auto& inForce = log.follower().state().configuration();
    std::cout << "in force: version " << inForce.version << " by " << inForce.author << "\n"
              << describeDifference(inForce.text, text);
    return exitOk;
}

int runTrace(const arguments& args)
{
    const auto traceId = operand(args, 0);
    if (traceId.empty() || operand(args, 1).empty())
        return reportError(exitUsage, "trace needs a TRACE-ID and span FILEs");
    std::vector<std::string> lines;
    for (std::size_t i = 1; !operand(args, i).empty(); ++i) {
        std::ifstream stream(operand(args, i));
        for (std::string line; std::getline(stream, line);)
            lines.push_back(line);
    }
    const auto tree = formatTraceTree(lines, traceId);
    if (tree.empty())
        return reportError(exitFailed, "no span of trace " + traceId + " is in these files");
    std::cout << "trace " << traceId << "\n" << tree;
    return exitOk;
}

}
