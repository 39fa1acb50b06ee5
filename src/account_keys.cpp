#include "account_keys.h"

#include <algorithm>
#include <cctype>
#include <string_view>

namespace sp {

namespace {

    constexpr std::string_view scheme = "bearer"; ///< The scheme is not case-sensitive (RFC 7235).

    bool isBlank(char character) { return character == ' ' || character == '\t'; }

    /** Returns the key of an `Authorization` value, empty if the value is malformed. */
    std::string_view keyOf(std::string_view value)
    {
        while (!value.empty() && isBlank(value.back()))
            value.remove_suffix(1);
        while (!value.empty() && isBlank(value.front()))
            value.remove_prefix(1);
        const bool named = value.size() > scheme.size() && isBlank(value[scheme.size()])
            && std::equal(scheme.begin(), scheme.end(), value.begin(), [](char expected, char actual) {
                   return expected == std::tolower(static_cast<unsigned char>(actual));
               });
        if (!named)
            return {};
        value.remove_prefix(scheme.size());
        while (isBlank(value.front()))
            value.remove_prefix(1);
        const bool printable = std::all_of(value.begin(), value.end(),
            [](char character) { return std::isgraph(static_cast<unsigned char>(character)); });
        return printable ? value : std::string_view();
    }

} // namespace

/** Returns the text of a verdict for answers and logs. */
const char* keyVerdictText(KeyVerdict verdict)
{
    switch (verdict) {
    case KeyVerdict::Found:
        return "account found";
    case KeyVerdict::NoHeader:
        return "no Authorization header";
    case KeyVerdict::Malformed:
        return "malformed Authorization header, expected: Bearer KEY";
    case KeyVerdict::UnknownKey:
        return "unknown key";
    case KeyVerdict::HeaderRepeated:
        return "Authorization header sent twice";
    case KeyVerdict::SharedKey:
        return "the key is held by two accounts";
    }
    return "unknown key";
}

bool AccountKeys::SameKey::operator()(const std::string& left, const std::string& right) const
{
    if (left.size() != right.size())
        return false;
    unsigned difference = 0;
    for (std::size_t i = 0; i < left.size(); ++i)
        difference |= static_cast<unsigned>(static_cast<unsigned char>(left[i] ^ right[i]));
    return difference == 0;
}

/** Collects the keys of a configuration. Empty keys are passed over, since no request can carry one. */
AccountKeys::AccountKeys(const std::vector<ClientAccount>& accounts)
{
    for (const ClientAccount& account : accounts) {
        for (const std::string& key : account.keys) {
            if (key.empty())
                continue;
            const auto [it, added] = m_holders.try_emplace(key, Holder { account.id, false });
            if (added || it->second.account == account.id)
                continue;
            it->second.shared = true;
            m_sharing.emplace_back(it->second.account, account.id);
        }
    }
}

/**
 * Finds the account of a request.
 * @param header Value of its `Authorization` header, unset if it has none.
 * @param repeated The header was sent more than once.
 */
AccountKeys::Match AccountKeys::find(const std::optional<std::string>& header, bool repeated) const
{
    if (!header)
        return { KeyVerdict::NoHeader, {} };
    if (repeated)
        return { KeyVerdict::HeaderRepeated, {} };
    const std::string_view key = keyOf(*header);
    if (key.empty())
        return { KeyVerdict::Malformed, {} };
    const auto it = m_holders.find(std::string(key));
    if (it == m_holders.end())
        return { KeyVerdict::UnknownKey, {} };
    if (it->second.shared)
        return { KeyVerdict::SharedKey, {} };
    return { KeyVerdict::Found, it->second.account };
}

} // namespace sp
