// explain, failures and late: what the nodes' logs say of requests.
#include "command_table.h"

#include "observe/log_story.h"

#include <iostream>
#include <sstream>
#include <vector>

namespace tamarack::ctl {

namespace {

    bool readLines(const arguments& given, std::size_t firstFile, std::vector<std::string>& lines)
    {
        for (std::size_t i = firstFile; !operand(given, i).empty(); ++i) {
            std::string text;
            if (!readFile(operand(given, i), text))
                return false;
            std::istringstream stream(text);
            for (std::string line; std::getline(stream, line);)
                lines.push_back(std::move(line));
        }
        return true;
    }

}

int runExplain(const arguments& given)
{
    const auto request = operand(given, 0);
    if (request.empty() || operand(given, 1).empty())
        return complain(exitUsage, "explain needs a request's id and the log files of the nodes");
    std::vector<std::string> lines;
    if (!readLines(given, 1, lines))
        return exitUsage;
    const auto story = formatRequestTimeline(lines, request);
    if (story.empty())
        return complain(exitFailed, "no line names request " + request);
    std::cout << story;
    return exitOk;
}

namespace {

    /// Prints a report over the lines of the span given.
    int report(const arguments& given, const char* name,
        std::string (*format)(const std::vector<std::string>& lines, const time_span& span))
    {
        if (operand(given, 0).empty())
            return complain(exitUsage, std::string(name) + " needs the log files of the nodes");
        std::vector<std::string> lines;
        if (!readLines(given, 0, lines))
            return exitUsage;
        time_span span;
        if (given.count("from"))
            span.from = given["from"].as<std::int64_t>();
        if (given.count("to"))
            span.to = given["to"].as<std::int64_t>();
        std::cout << format(lines, span);
        return exitOk;
    }

}

int runFailures(const arguments& given) { return report(given, "failures", formatFailureSummary); }

int runLate(const arguments& given) { return report(given, "late", formatLateSummary); }

}
