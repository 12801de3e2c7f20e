// The command line of tamarack_lab, which runs experiments with real processes on the loopback interface.
#include "commands.h"

#include <QCoreApplication>
#include <array>
#include <csignal>
#include <iostream>

namespace {

namespace options = boost::program_options;
namespace lab = tamarack::lab;

struct experiment {
    const char* name;
    const char* purpose;
    int (*run)(const lab::arguments&);
};

constexpr std::array<experiment, 4> experiments { {
    { "demo", "runs a deployment under a varying request mix and prints the outcomes", lab::runDemo },
    { "overhead", "measures the latency that a node adds and the throughput of one node", lab::runOverhead },
    { "faults", "runs the mix while processes are killed and frozen and the platform fails", lab::runFaults },
    { "scale", "measures control plane cost by node count, configuration propagation and lease takeover",
        lab::runScale },
} };

}

int main(int argc, char** argv)
{
    options::options_description description("tamarack_lab EXPERIMENT [OPTIONS]\n\nOptions");
    description.add_options()("help,h", "print this and exit")("experiment", options::value<std::string>(), "")(
        "deployment", options::value<std::string>()->default_value("vodoslet"), "vodoslet or ahnenhaus")("nodes",
        options::value<int>()->default_value(3),
        "nodes to start")("seconds", options::value<double>()->default_value(10), "duration of the load in seconds")(
        "rate", options::value<double>()->default_value(12), "requests per second")(
        "seed", options::value<std::uint64_t>()->default_value(1), "seed of the mix")("work-dir",
        options::value<std::string>()->default_value("run"), "directory for settings, logs and spans; emptied first");
    options::positional_options_description positional;
    positional.add("experiment", 1);
    options::variables_map given;
    try {
        options::store(
            options::command_line_parser(argc, argv).options(description).positional(positional).run(), given);
    } catch (const options::error& error) {
        std::cerr << "tamarack_lab: " << error.what() << "; see --help\n";
        return 2;
    }
    const auto name = given.count("experiment") ? given["experiment"].as<std::string>() : std::string();
    for (const auto& item : experiments) {
        if (name != item.name)
            continue;
        std::signal(SIGPIPE, SIG_IGN);
        QCoreApplication application(argc, argv);
        return item.run(given);
    }
    std::cout << description << "\nExperiments\n";
    for (const auto& item : experiments)
        std::cout << "  " << item.name << "  " << item.purpose << "\n";
    return given.count("help") ? 0 : 2;
}
