// What is wrong with one field of a settings file.
#pragma once

#include <string>
#include <vector>

namespace tamarack {

struct setting_error {
    std::string file;
    int line = 0; ///< 1 for the first line; 0 when the text has no such line
    std::string field; ///< dotted path, as `services[2].targets[0].address`
    std::string message;
};

using setting_errors = std::vector<setting_error>;

/// `file:line: field: message`.
std::string toString(const setting_error& error);

}
