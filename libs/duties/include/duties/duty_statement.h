// The statements that the holder of the duties writes to the store before it acts on them.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace tamarack {

/// What is reported of one window. Once it is in the store, no other counts are ever reported of this window.
struct usage_statement {
    std::int64_t window = 0;
    std::map<std::string, std::uint64_t> counts; ///< requests by name of the account

    bool operator==(const usage_statement&) const = default;
};

/// How many instances of one kind a service should have in an availability zone.
struct instance_order {
    std::string service;
    std::string availabilityZone;
    bool isSpot = false;
    int desired = 0;
    /// The instances were found there and are neither ordered nor let go. The platform is not called for this entry; it
    /// tells a later holder of the duty how many there were.
    bool isObserved = false;

    bool operator==(const instance_order&) const = default;
};

/// The orders in force, one for each service, availability zone and kind.
struct instance_statement {
    std::vector<instance_order> orders;

    bool operator==(const instance_statement&) const = default;
};

using duty_statement = std::variant<usage_statement, instance_statement>;

/// A statement with the process that wrote it.
struct duty_record {
    std::string holder; ///< VM
    std::int64_t process = 0; ///< distinguishes the processes of a VM
    duty_statement statement;
};

/// Number of usage statements that the store keeps; older ones are replaced.
inline constexpr std::int64_t keptUsageStatements = 16;

/// Key of the statement in the store.
std::string dutyKey(const duty_statement& statement);
/// JSON with a format number. Readers ignore fields that they do not know.
std::string encodeDutyRecord(const duty_record& record);
/// Returns nothing if the text is malformed or of a later format.
std::optional<duty_record> decodeDutyRecord(std::string_view text);

}
