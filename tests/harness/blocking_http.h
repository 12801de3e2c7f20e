// HTTP calls that wait for their answer, for tests and tools.
#pragma once

#include "http/http_client.h"

#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace tamarack::harness {

/// Nothing when no answer came. Runs the event loop meanwhile.
std::optional<http_response> call(const endpoint& peer, const std::string& method, const std::string& target,
    const std::string& body = {}, const header_list& headers = {}, duration timeout = std::chrono::seconds(10));
/// The answer's body as JSON; null when there is none.
nlohmann::json callJson(
    const endpoint& peer, const std::string& method, const std::string& target, const nlohmann::json& body = nullptr);
/// Runs the event loop until `condition` holds; false after `timeout`.
bool waitUntil(const std::function<bool()>& condition, duration timeout = std::chrono::seconds(30));

}
