// publish and end-order: commands that append to the log.
#include "command_table.h"
#include "log_reader.h"
#include "text_diff.h"

#include "settings/deployment.h"

#include <chrono>
#include <iostream>
#include <thread>

namespace tamarack::ctl {

namespace {

    constexpr int readBackTries = 20;
    constexpr auto readBackPause = std::chrono::milliseconds(200);

    std::string authorFrom(const arguments& given)
    {
        if (given.count("author"))
            return given["author"].as<std::string>();
        const char* user = std::getenv("USER");
        return user ? user : "unknown";
    }

    /// Appends and reads back until the fold has judged the record. An append whose answer was lost may still have
    /// taken effect, so only what is read back counts; the same record sent again is void by its compare-and-set.
    std::optional<verdict> settle(log_reader& log, const record_body& body)
    {
        log.append(body);
        const auto sequence = log.lastSequence();
        for (int i = 0; i < readBackTries; ++i) {
            if (log.readToEnd()) {
                if (const auto found = log.verdictOn(sequence))
                    return found;
            }
            std::this_thread::sleep_for(readBackPause);
        }
        return std::nullopt;
    }

    int reportLostRace(const log_reader& log, std::uint64_t base, const std::string& text)
    {
        const auto& winner = log.follower().state().configuration();
        std::cerr << "tamarackctl: not published: the text is based on version " << base << ", but version "
                  << winner.version << " by " << winner.author << " is in force. From that to your text:\n"
                  << describeDifference(winner.text, text) << "Merge it into your text and publish again with --base "
                  << winner.version << ".\n";
        return exitFailed;
    }

}

int runPublish(const arguments& given)
{
    const auto file = operand(given, 0);
    std::string text;
    if (file.empty() || !given.count("log"))
        return complain(exitUsage, "publish needs a FILE and --log ip:port");
    if (!readFile(file, text))
        return exitUsage;
    const auto read = readDeployment(text, file);
    if (const auto* errors = std::get_if<setting_errors>(&read)) {
        for (const auto& error : *errors)
            std::cerr << toString(error) << "\n";
        return complain(exitFailed, "not published: " + std::to_string(errors->size()) + " error(s)");
    }
    log_reader log(given["log"].as<std::string>(), given["stream"].as<std::string>());
    if (!log.readState())
        return complain(exitUnreachable, log.problem() + "; nothing was published");
    const auto present = log.follower().state().configuration().version;
    const auto base = given.count("base") ? given["base"].as<std::uint64_t>() : present;
    if (base != present)
        return reportLostRace(log, base, text);
    const auto outcome = settle(log, publication_record { base, text, authorFrom(given) });
    if (!outcome)
        return complain(exitUnreachable,
            "it is not known whether the text was published; see tamarackctl diff before trying again");
    if (*outcome != verdict::valid)
        return reportLostRace(log, base, text);
    std::cout << "published version " << base + 1 << "\n";
    return exitOk;
}

int runEndOrder(const arguments& given)
{
    const auto target = operand(given, 0);
    const auto order = operand(given, 1);
    if (target.empty() || order.empty() || !given.count("log"))
        return complain(exitUsage, "end-order needs TARGET, ORDER and --log ip:port");
    const auto number = parseNumber(order);
    if (!number)
        return complain(exitUsage, "ORDER must be the order's number, as status shows it");
    log_reader log(given["log"].as<std::string>(), given["stream"].as<std::string>());
    if (!log.readState())
        return complain(exitUnreachable, log.problem() + "; nothing was done");
    const auto& open = log.follower().state().orders(target);
    if (!open.isOpen || open.last.value != static_cast<std::int64_t>(*number))
        return complain(exitFailed, target + " has no open order " + order);
    const auto outcome
        = settle(log, order_end_record { open.lease, open.term, target, open.last, order_end::operator_said });
    if (!outcome)
        return complain(exitUnreachable, "it is not known whether this was recorded; try again");
    if (*outcome != verdict::valid)
        return complain(exitFailed, "the order was closed meanwhile");
    std::cout << "order " << order << " of " << target << " is closed\n";
    return exitOk;
}

}
