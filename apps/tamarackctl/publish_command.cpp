// Implements publish and end-order, which append records to the log.
#include "command_table.h"
#include "log_reader.h"
#include "text_diff.h"

#include "settings/deployment.h"

#include <chrono>
#include <iostream>
#include <thread>

namespace tamarack::ctl {

namespace {

    constexpr int maxReadBackAttempts = 20;
    constexpr auto readBackDelay = std::chrono::milliseconds(200);

    std::string authorFrom(const arguments& args)
    {
        if (args.count("author"))
            return args["author"].as<std::string>();
        const char* user = std::getenv("USER");
        return user ? user : "unknown";
    }

    /// Appends a record and reads the log until the record has been accepted or rejected. An append whose response was
    /// lost may still have taken effect, so only the record read back from the log counts. A second copy of the same
    /// record is rejected by its compare-and-set. Returns nullopt if the record was not read back in time.
    std::optional<verdict> appendAndAwaitVerdict(log_reader& log, const record_body& body)
    {
        log.append(body);
        const auto sequence = log.lastSequence();
        for (int i = 0; i < maxReadBackAttempts; ++i) {
            if (log.readToEnd()) {
                if (const auto found = log.verdictOn(sequence))
                    return found;
            }
            std::this_thread::sleep_for(readBackDelay);
        }
        return std::nullopt;
    }

    int reportConflict(const log_reader& log, std::uint64_t base, const std::string& text)
    {
        const auto& currentConfiguration = log.follower().state().configuration();
        std::cerr << "tamarackctl: not published: the text is based on version " << base << ", but version "
                  << currentConfiguration.version << " by " << currentConfiguration.author
                  << " is in force. From that to your text:\n"
                  << describeDifference(currentConfiguration.text, text)
                  << "Merge it into your text and publish again with --base " << currentConfiguration.version << ".\n";
        return exitFailed;
    }

}

int runPublish(const arguments& args)
{
    const auto file = operand(args, 0);
    std::string text;
    if (file.empty() || !args.count("log"))
        return reportError(exitUsage, "publish needs a FILE and --log ip:port");
    if (!readFile(file, text))
        return exitUsage;
    const auto read = readDeployment(text, file);
    if (const auto* errors = std::get_if<setting_errors>(&read)) {
        for (const auto& error : *errors)
            std::cerr << toString(error) << "\n";
        return reportError(exitFailed, "not published: " + std::to_string(errors->size()) + " error(s)");
    }
    log_reader log(args["log"].as<std::string>(), args["stream"].as<std::string>());
    if (!log.readState())
        return reportError(exitUnreachable, log.failureReason() + "; nothing was published");
    const auto currentVersion = log.follower().state().configuration().version;
    const auto base = args.count("base") ? args["base"].as<std::uint64_t>() : currentVersion;
    if (base != currentVersion)
        return reportConflict(log, base, text);
    const auto outcome = appendAndAwaitVerdict(log, publication_record { base, text, authorFrom(args) });
    if (!outcome)
        return reportError(exitUnreachable,
            "it is not known whether the text was published; see tamarackctl diff before trying again");
    if (*outcome != verdict::valid)
        return reportConflict(log, base, text);
    std::cout << "published version " << base + 1 << "\n";
    return exitOk;
}

int runEndOrder(const arguments& args)
{
    const auto target = operand(args, 0);
    const auto order = operand(args, 1);
    if (target.empty() || order.empty() || !args.count("log"))
        return reportError(exitUsage, "end-order needs TARGET, ORDER and --log ip:port");
    const auto number = parseNumber(order);
    if (!number)
        return reportError(exitUsage, "ORDER must be the order's number, as status shows it");
    log_reader log(args["log"].as<std::string>(), args["stream"].as<std::string>());
    if (!log.readState())
        return reportError(exitUnreachable, log.failureReason() + "; nothing was done");
    const auto& open = log.follower().state().orders(target);
    if (!open.isOpen || open.last.value != static_cast<std::int64_t>(*number))
        return reportError(exitFailed, target + " has no open order " + order);
    const auto outcome = appendAndAwaitVerdict(
        log, order_end_record { open.lease, open.term, target, open.last, order_end::operator_said });
    if (!outcome)
        return reportError(exitUnreachable, "it is not known whether this was recorded; try again");
    if (*outcome != verdict::valid)
        return reportError(exitFailed, "the order was closed meanwhile");
    std::cout << "order " << order << " of " << target << " is closed\n";
    return exitOk;
}

}
