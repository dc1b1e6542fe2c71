#pragma once

#include <arpa/inet.h>
#include <cstdint>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace Net {

// The loopback address with the given port.
inline sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    return address;
}

// Returns a connection to the port on loopback, or -1.
inline int connectTo(std::uint16_t port)
{
    const int connection = socket(AF_INET, SOCK_STREAM, 0);
    const auto address = loopback(port);
    if (connect(connection, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        close(connection);
        return -1;
    }
    return connection;
}

}
