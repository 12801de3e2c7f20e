// Implements the decision on access.
#include "accounts/caller_access.h"

namespace tamarack {

namespace {

    std::string_view denialReason(credential_state state)
    {
        switch (state) {
        case credential_state::missing:
            return "the request has no API key";
        case credential_state::doubled:
            return "the request has several credentials; send one";
        case credential_state::other_scheme:
            return "the scheme of the credential is not supported";
        case credential_state::malformed:
            return "the API key is malformed";
        case credential_state::key:
            break;
        }
        return "the API key is not known";
    }

}

access_decision decideAccess(const account_directory& accounts, const credential& sent, bool isPublicRoute)
{
    const auto* account = sent.state == credential_state::key ? accounts.findByKey(sent.key) : nullptr;
    if (account || isPublicRoute)
        return { true, account, {} };
    return { false, nullptr, denialReason(sent.state) };
}

}
