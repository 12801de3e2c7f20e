// Declares the commands of tamarackctl, the table that lists them and the helper functions they share.
#pragma once

#include <boost/program_options.hpp>
#include <span>
#include <string>

namespace tamarack::ctl {

/// Exit codes of tamarackctl.
enum exit_code {
    exitOk = 0,
    exitFailed = 1, ///< the result is negative: invalid text, a conflicting publication, nothing found
    exitUsage = 2, ///< wrong arguments, or a file cannot be read
    exitUnreachable = 3 ///< the log or a node did not respond
};

using arguments = boost::program_options::variables_map;

/// One entry of the command table.
struct command {
    const char* name;
    const char* operands; ///< as the help prints them
    const char* purpose;
    int (*run)(const arguments&); ///< returns an exit_code
};

std::span<const command> commands();

int runCheck(const arguments&);
int runDiff(const arguments&);
int runPublish(const arguments&);
int runStatus(const arguments&);
int runDrain(const arguments&);
int runRelease(const arguments&);
int runTrace(const arguments&);
int runExplain(const arguments&);
int runFailures(const arguments&);
int runLate(const arguments&);
int runEndOrder(const arguments&);

/// Returns the operand at `index`, counted from 0 after the command's name, or an empty string if there is none.
std::string operand(const arguments& args, std::size_t index);
/// Prints "tamarackctl: message" to standard error and returns `code`.
int reportError(int code, const std::string& message);
/// Reads a whole file into `text`. Returns false, after printing an error, if the file cannot be read.
bool readFile(const std::string& name, std::string& text);

}
