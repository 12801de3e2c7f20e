// Entry point of the node program, which runs identically on every entry VM.
#include "exit_code.h"
#include "platform_program.h"
#include "signal_watch.h"

#include "base/clock.h"
#include "node/node.h"

#include <QCoreApplication>
#include <boost/program_options.hpp>
#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>

namespace {

namespace options = boost::program_options;

using namespace tamarack;

int printErrors(const tamarack::setting_errors& errors)
{
    for (const auto& error : errors)
        std::cerr << tamarack::toString(error) << "\n";
    std::cerr << "tamarackrelay: " << errors.size() << " error(s) in the settings; correct them and start again\n";
    return exitSettingsError;
}

int run(int argc, char** argv, tamarack::node_settings settings)
{
    std::signal(SIGPIPE, SIG_IGN);
    tamarack::node* running = nullptr;
    tamarack::signal_watch signals({ [&] { running->drain(); }, nullptr });
    QCoreApplication application(argc, argv);
    const auto incarnation = static_cast<std::uint64_t>(tamarack::wallMilliseconds());
    tamarack::node node(std::move(settings), incarnation, [] { QCoreApplication::quit(); });
    running = &node;
    const auto failure = node.start();
    if (!failure.empty()) {
        std::cerr << "tamarackrelay: " << failure << "; is another process using it?\n";
        return exitStartFailed;
    }
    signals.begin();
    return QCoreApplication::exec();
}

}

int main(int argc, char** argv)
{
    options::options_description description("tamarackrelay: one node of the serving system\n\nOptions");
    description.add_options()("help,h", "print this and exit")("version,v", "print the version and exit")(
        "settings,s", options::value<std::string>(), "the node's settings, JSON with comments")(
        "platform", "take the settings from the users' platform")("check", "check the settings and exit");
    options::variables_map args;
    try {
        options::store(options::parse_command_line(argc, argv, description), args);
    } catch (const options::error& error) {
        std::cerr << "tamarackrelay: " << error.what() << "; see --help\n";
        return exitUsage;
    }
    if (args.count("help")) {
        std::cout << description
                  << "\nSIGTERM and SIGINT begin a graceful stop.\n"
                     "Exit codes: 0 stopped as planned, 2 usage, 3 settings, 4 cannot start.\n";
        return exitOk;
    }
    if (args.count("version")) {
        std::cout << "tamarackrelay " << TAMARACK_VERSION << "\n";
        return exitOk;
    }
    if (args.count("platform"))
        return runOnPlatform(argc, argv, args.count("check") > 0);
    if (!args.count("settings")) {
        std::cerr << "tamarackrelay: --settings FILE is missing; see --help\n";
        return exitUsage;
    }
    const auto file = args["settings"].as<std::string>();
    std::ifstream stream(file);
    if (!stream) {
        std::cerr << "tamarackrelay: " << file << " cannot be read\n";
        return exitSettingsError;
    }
    std::stringstream text;
    text << stream.rdbuf();
    auto read = tamarack::readNodeSettings(text.str(), file);
    if (const auto* errors = std::get_if<tamarack::setting_errors>(&read))
        return printErrors(*errors);
    if (args.count("check")) {
        std::cout << file << ": ok\n";
        return exitOk;
    }
    return run(argc, argv, std::move(std::get<tamarack::node_settings>(read)));
}
