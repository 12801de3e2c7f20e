// Implements the lookup of accounts by the digests of their keys.
#include "accounts/account_directory.h"

#include <QCryptographicHash>
#include <algorithm>
#include <cstring>

namespace tamarack {

namespace {

    std::uint64_t prefixOf(const key_digest& digest)
    {
        std::uint64_t out = 0;
        std::memcpy(&out, digest.bytes.data(), sizeof out);
        return out;
    }

}

key_digest digestOfKey(std::string_view key)
{
    const auto hash = QCryptographicHash::hash(
        QByteArrayView(key.data(), static_cast<qsizetype>(key.size())), QCryptographicHash::Sha256);
    key_digest out;
    std::copy(hash.begin(), hash.end(), out.bytes.begin());
    return out;
}

bool isEqual(const key_digest& a, const key_digest& b)
{
    unsigned difference = 0;
    for (std::size_t i = 0; i < a.bytes.size(); ++i)
        difference |= static_cast<unsigned>(a.bytes[i] ^ b.bytes[i]);
    return difference == 0;
}

account_directory::account_directory(std::vector<client_account> accounts)
    : m_accounts(std::move(accounts))
{
    std::size_t keys = 0;
    for (const auto& account : m_accounts)
        keys += account.keys.size();
    m_keys.reserve(keys);
    for (std::uint32_t i = 0; i < m_accounts.size(); ++i) {
        for (const auto& digest : m_accounts[i].keys) {
            auto* entry = findEntry(digest);
            if (!entry) {
                m_keys.emplace(prefixOf(digest), key_entry { digest, i, false });
            } else if (entry->account != i) {
                entry->isAmbiguous = true;
                m_ambiguousAccount = m_accounts[i].name;
            }
        }
    }
}

account_directory::key_entry* account_directory::findEntry(const key_digest& digest)
{
    const auto [first, last] = m_keys.equal_range(prefixOf(digest));
    const auto found = std::find_if(first, last, [&](const auto& item) { return isEqual(item.second.digest, digest); });
    return found == last ? nullptr : &found->second;
}

const client_account* account_directory::findByKey(std::string_view key) const
{
    const auto digest = digestOfKey(key);
    const auto [first, last] = m_keys.equal_range(prefixOf(digest));
    const auto found = std::find_if(first, last, [&](const auto& item) { return isEqual(item.second.digest, digest); });
    if (found == last || found->second.isAmbiguous)
        return nullptr;
    return &m_accounts[found->second.account];
}

}
