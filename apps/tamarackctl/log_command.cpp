// Implements explain, failures and late, which evaluate the nodes' log files.
#include "command_table.h"

#include "observe/log_story.h"

#include <iostream>
#include <sstream>
#include <vector>

namespace tamarack::ctl {

namespace {

    /// Appends the lines of the files named by the operands from `firstFile` on. Returns false if one cannot be read.
    bool readLines(const arguments& args, std::size_t firstFile, std::vector<std::string>& lines)
    {
        for (std::size_t i = firstFile; !operand(args, i).empty(); ++i) {
            std::string text;
            if (!readFile(operand(args, i), text))
                return false;
            std::istringstream stream(text);
            for (std::string line; std::getline(stream, line);)
                lines.push_back(std::move(line));
        }
        return true;
    }

}

int runExplain(const arguments& args)
{
    const auto request = operand(args, 0);
    if (request.empty() || operand(args, 1).empty())
        return reportError(exitUsage, "explain needs a request's id and the log files of the nodes");
    std::vector<std::string> lines;
    if (!readLines(args, 1, lines))
        return exitUsage;
    const auto story = formatRequestTimeline(lines, request);
    if (story.empty())
        return reportError(exitFailed, "no log line mentions request " + request);
    std::cout << story;
    return exitOk;
}

namespace {

    /// Prints the report of `format` over the lines between --from and --to.
    int report(const arguments& args, const char* name,
        std::string (*format)(const std::vector<std::string>& lines, const time_span& span))
    {
        if (operand(args, 0).empty())
            return reportError(exitUsage, std::string(name) + " needs the log files of the nodes");
        std::vector<std::string> lines;
        if (!readLines(args, 0, lines))
            return exitUsage;
        time_span span;
        if (args.count("from"))
            span.from = args["from"].as<std::int64_t>();
        if (args.count("to"))
            span.to = args["to"].as<std::int64_t>();
        std::cout << format(lines, span);
        return exitOk;
    }

}

int runFailures(const arguments& args) { return report(args, "failures", formatFailureSummary); }

int runLate(const arguments& args) { return report(args, "late", formatLateSummary); }

}
