// Entry point of tamarackctl, the operators' command-line program.
#include "command_table.h"

#include <QCoreApplication>
#include <iostream>

namespace {

namespace options = boost::program_options;
namespace ctl = tamarack::ctl;

void printHelp(const options::options_description& visible)
{
    std::cout << "tamarackctl COMMAND [OPERANDS] [OPTIONS]\n\nCommands\n";
    for (const auto& command : ctl::commands())
        std::cout << "  " << command.name << " " << command.operands << "\n      " << command.purpose << "\n";
    std::cout << "\n"
              << visible
              << "\nExit codes: 0 done, 1 the answer is no (invalid text, lost race), 2 usage, 3 no answer.\n";
}

}

int main(int argc, char** argv)
{
    options::options_description visible("Options");
    visible.add_options()("help,h", "print this and exit")("version,v", "print the version and exit")(
        "log", options::value<std::string>(), "address of the platform's log, ip:port")(
        "stream", options::value<std::string>()->default_value("tamarack"), "name of the log's stream")(
        "node", options::value<std::vector<std::string>>(), "admin address of a node, ip:port; may be repeated")(
        "base", options::value<std::uint64_t>(), "publish: the version that the text was made from")(
        "author", options::value<std::string>(), "publish, end-order: who does it; default: the user's name")("from",
        options::value<std::int64_t>(), "failures, late: only log lines from this time on, compared with ts_ms")(
        "to", options::value<std::int64_t>(), "failures, late: only log lines up to this time")(
        "node-settings", "check: the files are nodes' settings")("json", "status: print the nodes' own JSON");
    options::options_description hidden;
    hidden.add_options()("command", options::value<std::string>())(
        "operands", options::value<std::vector<std::string>>());
    options::options_description all;
    all.add(visible).add(hidden);
    options::positional_options_description positional;
    positional.add("command", 1).add("operands", -1);
    options::variables_map args;
    try {
        options::store(options::command_line_parser(argc, argv).options(all).positional(positional).run(), args);
        options::notify(args);
    } catch (const options::error& error) {
        return ctl::reportError(ctl::exitUsage, std::string(error.what()) + "; see --help");
    }
    if (args.count("version")) {
        std::cout << "tamarackctl " << TAMARACK_VERSION << "\n";
        return ctl::exitOk;
    }
    if (args.count("help") || !args.count("command")) {
        printHelp(visible);
        return args.count("help") ? ctl::exitOk : ctl::exitUsage;
    }
    const auto name = args["command"].as<std::string>();
    for (const auto& command : ctl::commands()) {
        if (name != command.name)
            continue;
        QCoreApplication application(argc, argv);
        return command.run(args);
    }
    return ctl::reportError(ctl::exitUsage, "no command is named " + name + "; see --help");
}
