/** @file socket_address.h Socket addresses from texts of the settings. */
#pragma once

#include <string>
#include <sys/socket.h>

namespace sp {

/** A socket address of either family. */
struct SocketAddress {
    sockaddr_storage storage {};
    socklen_t length = 0; ///< 0 if the text was malformed.

    const sockaddr* get() const { return reinterpret_cast<const sockaddr*>(&storage); }
};

SocketAddress parseSocketAddress(const std::string& text);
std::string addressHost(const std::string& text);

} // namespace sp
