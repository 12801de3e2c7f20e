// JSON with comments that still knows on which line each field stood.
#pragma once

#include "settings/setting_error.h"

#include <map>
#include <nlohmann/json.hpp>
#include <string>

namespace tamarack::detail {

using json = nlohmann::json;

/// A parsed text. Errors found while reading fields are collected here, so that all are told at once.
class json_document {
public:
    json_document(const std::string& text, std::string file);

    bool isParsed() const { return m_parsed; }
    const json& root() const { return m_root; }
    void addError(const std::string& field, std::string message);
    const setting_errors& errors() const { return m_errors; }

private:
    int lineOf(const std::string& field) const;
    void indexLines(const std::string& text);

    std::string m_file;
    json m_root;
    std::map<std::string, int> m_lines; // by dotted path
    setting_errors m_errors;
    bool m_parsed = false;
};

std::string joinField(const std::string& parent, const std::string& name);
std::string indexField(const std::string& parent, std::size_t index);

}
