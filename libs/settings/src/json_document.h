// Provides JSON with comments, parsed with the line number of each field.
#pragma once

#include "settings/setting_error.h"

#include <map>
#include <nlohmann/json.hpp>
#include <string>

namespace tamarack::detail {

using json = nlohmann::json;

/// A parsed text. Errors found while reading fields are collected here, so that all of them are reported together.
class json_document {
public:
    json_document(const std::string& text, std::string file);

    bool isParsed() const { return m_parsed; }
    const json& root() const { return m_root; }
    /// Adds an error for a field, given by its dotted path, with the line of the field or of its nearest parent.
    void addError(const std::string& field, std::string message);
    const setting_errors& errors() const { return m_errors; }

private:
    int lineOf(const std::string& field) const;
    void indexLines(const std::string& text);

    std::string m_file;
    json m_root;
    std::map<std::string, int> m_lines; // line by dotted path
    setting_errors m_errors;
    bool m_parsed = false;
};

/// Returns the dotted path of a field of an object.
std::string joinField(const std::string& parent, const std::string& name);
/// Returns the path of an element of a list, such as `targets[0]`.
std::string indexField(const std::string& parent, std::size_t index);

}
