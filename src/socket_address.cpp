#include "socket_address.h"

#include <arpa/inet.h>
#include <charconv>
#include <netinet/in.h>

namespace sp {

/** Part of an address before its port. @param text `ip:port`. @return IP number, with brackets for version 6. */
std::string addressHost(const std::string& text) { return text.substr(0, text.rfind(':')); }

/**
 * Parses an address by number.
 * @param text `ip:port` or `[ip6]:port`.
 * @return Address; its length is 0 if the text is malformed.
 */
SocketAddress parseSocketAddress(const std::string& text)
{
    SocketAddress address;
    const auto colon = text.rfind(':');
    std::uint16_t port = 0;
    if (colon == std::string::npos)
        return address;
    const char* last = text.data() + text.size();
    if (const auto [end, error] = std::from_chars(text.data() + colon + 1, last, port);
        error != std::errc() || end != last)
        return address;
    const std::string host = text.substr(0, colon);
    auto* v4 = reinterpret_cast<sockaddr_in*>(&address.storage);
    auto* v6 = reinterpret_cast<sockaddr_in6*>(&address.storage);
    if (inet_pton(AF_INET, host.c_str(), &v4->sin_addr) == 1) {
        v4->sin_family = AF_INET;
        v4->sin_port = htons(port);
        address.length = sizeof *v4;
    } else if (host.size() > 2 && host.front() == '['
        && inet_pton(AF_INET6, host.substr(1, host.size() - 2).c_str(), &v6->sin6_addr) == 1) {
        v6->sin6_family = AF_INET6;
        v6->sin6_port = htons(port);
        address.length = sizeof *v6;
    }
    return address;
}

} // namespace sp
