// Defines the error that is reported for one field of a settings file.
#pragma once

#include <string>
#include <vector>

namespace tamarack {

struct setting_error {
    std::string file;
    int line = 0; ///< first line is 1; 0 if the error has no line
    std::string field; ///< dotted path, such as `services[2].targets[0].address`
    std::string message;
};

using setting_errors = std::vector<setting_error>;

/// Formats an error as `file:line: field: message`; a line of 0 and an empty field are omitted.
std::string toString(const setting_error& error);

}
