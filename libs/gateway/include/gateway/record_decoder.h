// Interface that decodes the records that operators and targets write into the store.
#pragma once

#include "serving/serving_configuration.h"
#include "serving/target_record.h"

#include <memory>
#include <string>
#include <string_view>
#include <variant>

namespace tamarack {

/// Reason why a record cannot be decoded; names the field.
struct record_fault {
    std::string field;
    std::string message;
};

class record_decoder {
public:
    virtual ~record_decoder() = default;
    /// Whether the key is that of the configuration record.
    virtual bool isConfiguration(std::string_view key) const = 0;
    virtual std::variant<std::shared_ptr<const serving::serving_configuration>, record_fault> decodeConfiguration(
        const std::string& value) const = 0;
    virtual std::variant<serving::target_record, record_fault> decodeTarget(
        std::string_view key, const std::string& value) const = 0;
};

}
