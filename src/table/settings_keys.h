/** @file settings_keys.h Keys of the settings files of the daemons. docs/configuration.md is checked against them. */
#pragma once

#include "ini_type.h"

#include <array>

namespace sp {

inline constexpr std::array schedulerKeys {
    KeyInfo { "process", "host", KeyType::Name, "", "!", 0, 0, "", "Id of the entry host." },
    KeyInfo { "process", "data_centre", KeyType::Name, "", "!", 0, 0, "", "Data centre of the host." },
    KeyInfo { "process", "link", KeyType::Address, "", "!", 0, 0, "", "Address for links from own processes." },
    KeyInfo { "process", "admin", KeyType::Address, "", "!", 0, 0, "", "Address of the admin interface." },
    KeyInfo { "process", "drain_timeout", KeyType::Span, "ms", "30s", 0, 3600000, "",
        "Longest wait for calls in flight at shutdown." },
    KeyInfo { "store", "address", KeyType::Address, "", "!", 0, 0, "", "Address of the platform's store." },
    KeyInfo { "store", "timeout", KeyType::Span, "ms", "2s", 50, 60000, "",
        "A call to the store without an answer for this time is lost." },
    KeyInfo { "targets", "check_terms", KeyType::Flag, "", "true", 0, 0, "",
        "Whether targets refuse a term lower than the highest they have seen." },
    KeyInfo { "peer", "link", KeyType::Address, "", "!", 0, 0, "", "Link address of another scheduler of the cell." },
    KeyInfo { "peer", "data_centre", KeyType::Name, "", "!", 0, 0, "", "Data centre of the other scheduler." },
    KeyInfo { "peer", "rtt_ms", KeyType::Real, "ms", "1", 0, 10000, "", "Round trip time to the other scheduler." },
};

inline constexpr std::array gatewayKeys {
    KeyInfo { "process", "host", KeyType::Name, "", "!", 0, 0, "", "Id of the entry host." },
    KeyInfo { "process", "data_centre", KeyType::Name, "", "!", 0, 0, "", "Data centre of the host." },
    KeyInfo { "process", "listen", KeyType::Address, "", "!", 0, 0, "", "Address for callers." },
    KeyInfo { "process", "drain_timeout", KeyType::Span, "ms", "30s", 0, 3600000, "",
        "Longest wait for requests in flight at shutdown." },
    KeyInfo { "scheduler", "link", KeyType::Address, "", "!", 0, 0, "",
        "Link address of a scheduler of the data centre; the one named like the host is preferred." },
};

} // namespace sp
