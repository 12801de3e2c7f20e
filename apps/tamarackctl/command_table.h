// The commands of tamarackctl, as a table.
#pragma once

#include <boost/program_options.hpp>
#include <span>
#include <string>

namespace tamarack::ctl {

enum exit_code {
    exitOk = 0,
    exitFailed = 1, ///< the command ran and its answer is no: an invalid text, a lost race
    exitUsage = 2,
    exitUnreachable = 3
}; ///< the log or a node did not answer

using arguments = boost::program_options::variables_map;

struct command {
    const char* name;
    const char* operands;
    const char* purpose;
    int (*run)(const arguments&);
};

std::span<const command> commands();

int runCheck(const arguments&);
int runDiff(const arguments&);
int runPublish(const arguments&);
int runStatus(const arguments&);
int runDrain(const arguments&);
int runTrace(const arguments&);
int runExplain(const arguments&);
int runFailures(const arguments&);
int runLate(const arguments&);
int runEndOrder(const arguments&);

/// The operand at `index` after the command's name, or an empty string.
std::string operand(const arguments& given, std::size_t index);
/// Prints "tamarackctl: message" to standard error and returns `code`.
int complain(int code, const std::string& message);
/// False, after a complaint, if the file cannot be read.
bool readFile(const std::string& name, std::string& text);

}
