// tamarack_standin platform | engine | service: one stand-in process.
#include "settings/deployment.h"
#include "standins/standins.h"

#include <QCoreApplication>
#include <boost/program_options.hpp>
#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>

namespace {

namespace options = boost::program_options;

tamarack::service_entry timingFrom(const std::string& file, const std::string& service)
{
    std::ifstream stream(file);
    std::stringstream text;
    text << stream.rdbuf();
    const auto read = tamarack::readDeployment(text.str(), file);
    const auto* config = std::get_if<tamarack::deployment>(&read);
    const int index = config ? config->serviceIndex(service) : -1;
    if (index < 0) {
        std::cerr << "tamarack_standin: " << file << " has no valid service " << service << "\n";
        std::exit(2);
    }
    return config->services[static_cast<std::size_t>(index)];
}

}

int main(int argc, char** argv)
{
    tamarack::standins::standin_options given;
    std::string kind;
    std::string text;
    options::options_description description("tamarack_standin");
    description.add_options()("kind", options::value(&kind)->required(), "platform, engine, service or link")("name",
        options::value(&given.name),
        "")("address", options::value(&given.address), "")("port", options::value(&given.port)->required(), "")(
        "text", options::value(&text), "operators' text, for timings")("service", options::value(&given.service), "")(
        "span-file", options::value(&given.spanFile), "")("weight-store", options::value(&given.weightStore), "")(
        "entry", options::value(&given.entry), "")("change-seconds", options::value(&given.changeSeconds), "")(
        "lag", options::value(&given.loadLagSeconds), "")("checks-fencing", options::value(&given.checksFencing), "")(
        "retention", options::value(&given.retention), "")("vm-list-lag", options::value(&given.vmListLagSeconds), "");
    options::positional_options_description positional;
    positional.add("kind", 1);
    options::variables_map values;
    try {
        options::store(
            options::command_line_parser(argc, argv).options(description).positional(positional).run(), values);
        options::notify(values);
    } catch (const options::error& error) {
        std::cerr << "tamarack_standin: " << error.what() << "\n" << description;
        return 2;
    }
    std::signal(SIGPIPE, SIG_IGN);
    QCoreApplication application(argc, argv);
    tamarack::service_entry timing;
    if (!text.empty())
        timing = timingFrom(text, given.service);
    std::unique_ptr<tamarack::standins::standin> running;
    if (kind == "platform")
        running = tamarack::standins::makePlatform(given);
    else if (kind == "engine")
        running = tamarack::standins::makeEngine(given, timing);
    else if (kind == "link")
        running = tamarack::standins::makeLink(given);
    else if (kind == "service")
        running = tamarack::standins::makeService(given, timing);
    if (!running || running->port() == 0) {
        std::cerr << "tamarack_standin: cannot start " << kind << " on port " << given.port << "\n";
        return 2;
    }
    return QCoreApplication::exec();
}
