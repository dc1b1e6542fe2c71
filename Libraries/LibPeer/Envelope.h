#pragma once

#include <LibCore/Identifier.h>
#include <LibPeer/MessageKind.h>
#include <msgpack.hpp>
#include <sstream>
#include <string>
#include <string_view>

namespace Peer {

// The wire format of every message between two processes: the sender, the kind of message, and its body in msgpack.
struct Envelope {
    std::string key; // Secret shared by the processes of the system; authenticates the sender.
    Core::HostId from;
    std::uint64_t incarnation = 0; // Incarnation of the sending process.
    std::uint64_t correlation = 0; // Matches a reply to its call; zero if no reply is expected.
    std::uint16_t kind = 0;
    std::string body;

    MSGPACK_DEFINE(key, from, incarnation, correlation, kind, body)
};

// Serializes a message whose type declares its members with MSGPACK_DEFINE.
template<typename Message> [[nodiscard]] std::string pack(const Message &message)
{
    std::ostringstream stream;
    msgpack::pack(stream, message);
    return std::move(stream).str();
}

// Parses a message; throws msgpack::unpack_error or msgpack::type_error if the bytes aren't a message of this type.
template<typename Message> [[nodiscard]] Message unpack(std::string_view bytes)
{
    constexpr std::size_t MaxNestingDepth = 32;
    // No array, map or string can have more elements than the message has bytes. Without this limit a corrupt length
    // field makes the parser allocate gigabytes.
    const auto maxElements = bytes.size();
    const msgpack::unpack_limit limit(maxElements, maxElements, maxElements, maxElements, maxElements, MaxNestingDepth);
    return msgpack::unpack(bytes.data(), bytes.size(), nullptr, nullptr, limit).get().as<Message>();
}

}
