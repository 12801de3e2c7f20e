// Decides whether a request may use a route, by the API key that its caller sent.
#pragma once

#include "accounts/account_directory.h"

#include <string>
#include <string_view>

namespace tamarack {

enum class credential_state : unsigned char {
    missing,
    key, ///< one well-formed key
    doubled, ///< several credentials in one request
    other_scheme, ///< a credential of a scheme that is not supported
    malformed ///< the key is empty, too long, or has characters that no key has
};

/// The credential of a request, decoded once on arrival.
struct credential {
    credential_state state = credential_state::missing;
    std::string key; ///< set only for credential_state::key
};

struct access_decision {
    bool isAllowed = false;
    const client_account* account = nullptr; ///< owned by the directory; null on a public route without a valid key
    std::string_view reason; ///< why access is denied, for the caller and the log; never contains the key
};

/// A public route needs no key. If the caller sends a valid one nevertheless, the request belongs to its account.
access_decision decideAccess(const account_directory& accounts, const credential& sent, bool isPublicRoute);

}
