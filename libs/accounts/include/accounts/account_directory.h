// Finds the client account that an API key belongs to. Only digests of keys are kept.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace tamarack {

/// SHA-256 of an API key.
struct key_digest {
    std::array<std::uint8_t, 32> bytes {};
};

key_digest digestOfKey(std::string_view key);
/// Compares in a time that does not depend on the contents.
bool isEqual(const key_digest& a, const key_digest& b);

struct client_account {
    std::string name; ///< at most 128 printable ASCII characters without spaces; unique in a directory
    std::optional<int> priority; ///< goes before the priority of the route; 0 is the highest. Empty: the route's
    std::vector<key_digest> keys;
};

/// The accounts of one configuration version. Immutable, so requests can share it between versions.
class account_directory {
public:
    /// If a key belongs to several accounts, it is not valid for any of them.
    explicit account_directory(std::vector<client_account> accounts);

    /// Returns null if no account has this key.
    const client_account* findByKey(std::string_view key) const;
    const std::vector<client_account>& accounts() const { return m_accounts; }
    /// Name of the account with two keys that are equal to those of others, or empty.
    const std::string& ambiguousAccount() const { return m_ambiguousAccount; }

private:
    struct key_entry {
        key_digest digest;
        std::uint32_t account = 0;
        bool isAmbiguous = false;
    };

    key_entry* findEntry(const key_digest& digest);

    std::vector<client_account> m_accounts;
    /// By the first bytes of the digest. They tell nothing of the key, so the time of this lookup may depend on them.
    std::unordered_multimap<std::uint64_t, key_entry> m_keys;
    std::string m_ambiguousAccount;
};

}
