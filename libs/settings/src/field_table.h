// Reads the fields of a JSON object by a table of member pointers, and reports fields that are missing, of the wrong
// type, out of range or unknown.
#pragma once

#include "base/clock.h"
#include "json_document.h"

#include <algorithm>
#include <limits>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace tamarack::detail {

/// Describes one field: its name, the member it is stored in, whether it is required, and its range. The range applies
/// to numbers, and to durations in seconds.
template <class T> struct field {
    using member = std::variant<int T::*, double T::*, bool T::*, duration T::*, std::string T::*,
        std::vector<std::string> T::*>;

    const char* name;
    member where;
    bool required = false;
    double lowest = 0;
    double highest = std::numeric_limits<double>::max();
};

/// Visitor that checks one JSON value and stores it in the member of a field.
template <class T> struct member_writer {
    json_document& document;
    const field<T>& spec;
    const json& value;
    const std::string& path;
    T& target;

    void operator()(int T::*where) const
    {
        if (!value.is_number_integer())
            return document.addError(path, "must be a whole number");
        if (inRange(value.get<double>()))
            target.*where = value.get<int>();
    }
    void operator()(double T::*where) const
    {
        if (!value.is_number())
            return document.addError(path, "must be a number");
        if (inRange(value.get<double>()))
            target.*where = value.get<double>();
    }
    void operator()(bool T::*where) const
    {
        if (!value.is_boolean())
            return document.addError(path, "must be true or false");
        target.*where = value.get<bool>();
    }
    void operator()(duration T::*where) const
    {
        if (!value.is_number())
            return document.addError(path, "must be a number of seconds");
        if (inRange(value.get<double>()))
            target.*where = fromSeconds(value.get<double>());
    }
    void operator()(std::string T::*where) const
    {
        if (!value.is_string())
            return document.addError(path, "must be a string");
        if (spec.required && value.get<std::string>().empty())
            return document.addError(path, "must not be empty");
        target.*where = value.get<std::string>();
    }
    void operator()(std::vector<std::string> T::*where) const
    {
        const auto isString = [](const json& item) { return item.is_string(); };
        if (!value.is_array() || !std::all_of(value.begin(), value.end(), isString))
            return document.addError(path, "must be a list of strings");
        target.*where = value.get<std::vector<std::string>>();
    }

    bool inRange(double number) const
    {
        if (number >= spec.lowest && number <= spec.highest)
            return true;
        std::string bounds = "must be at least " + json(spec.lowest).dump();
        if (spec.highest < std::numeric_limits<double>::max())
            bounds += " and at most " + json(spec.highest).dump();
        document.addError(path, bounds);
        return false;
    }
};

/// Reads the fields of `object` into `target`. Fields named in `others` are accepted but not read.
template <class T>
void readFields(json_document& document, const json& object, const std::string& parent, T& target,
    std::span<const field<T>> fields, std::initializer_list<std::string_view> others = {})
{
    if (!object.is_object())
        return document.addError(parent, "must be an object");
    for (const auto& spec : fields) {
        const auto path = joinField(parent, spec.name);
        const auto found = object.find(spec.name);
        if (found == object.end()) {
            if (spec.required)
                document.addError(path, "is missing");
            continue;
        }
        std::visit(member_writer<T> { document, spec, *found, path, target }, spec.where);
    }
    for (const auto& [name, value] : object.items()) {
        const auto isField = [&name = name](const field<T>& spec) { return name == spec.name; };
        const bool known = std::any_of(fields.begin(), fields.end(), isField)
            || std::find(others.begin(), others.end(), name) != others.end();
        if (!known)
            document.addError(joinField(parent, name), "is not a known field");
    }
}

}
