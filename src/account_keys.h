/** @file account_keys.h Finds the client account of a request by the key that it carries. */
#pragma once

#include "cell_type.h"

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace sp {

/** Result of a look-up. All but Found are refused where a key is required. */
enum class KeyVerdict : std::uint8_t {
    Found,
    NoHeader,
    Malformed, ///< The header has another scheme or no usable key.
    UnknownKey,
    HeaderRepeated, ///< The header was sent twice, so that it is not certain which key is meant.
    SharedKey, ///< Two accounts hold the key.
};

const char* keyVerdictText(KeyVerdict verdict);

/** The keys of all accounts of one configuration. */
class AccountKeys {
public:
    struct Match {
        KeyVerdict verdict = KeyVerdict::UnknownKey;
        AccountId account; ///< Set with Found only.
    };

    AccountKeys() = default;
    explicit AccountKeys(const std::vector<ClientAccount>& accounts);
    Match find(const std::optional<std::string>& header, bool repeated) const;
    /** Returns the pairs of accounts that hold the same key. */
    const std::vector<std::pair<AccountId, AccountId>>& sharing() const { return m_sharing; }

private:
    /** Compares whole texts, so that the time does not depend on how many characters of a key are right. */
    struct SameKey {
        bool operator()(const std::string& left, const std::string& right) const;
    };
    struct Holder {
        AccountId account;
        bool shared = false;
    };
    std::unordered_map<std::string, Holder, std::hash<std::string>, SameKey> m_holders;
    std::vector<std::pair<AccountId, AccountId>> m_sharing;
};

} // namespace sp
