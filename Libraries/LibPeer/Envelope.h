#pragma once

#include <LibCore/Identifier.h>
#include <LibPeer/MessageKind.h>
#include <msgpack.hpp>
#include <sstream>
#include <string>
#include <string_view>

namespace Peer {

// What goes over the wire between two processes: who sends, what kind of message, and its body in msgpack.
struct Envelope {
    std::string key; // The secret that the system's own processes share.
    Core::HostId from;
    std::uint64_t incarnation = 0; // Of the sending process.
    std::uint64_t correlation = 0; // Joins a reply to its call; zero when no reply is wanted.
    std::uint16_t kind = 0;
    std::string body;

    MSGPACK_DEFINE(key, from, incarnation, correlation, kind, body)
};

// Packs a message that has declared its members with MSGPACK_DEFINE.
template<typename Message> [[nodiscard]] std::string pack(const Message &message)
{
    std::ostringstream stream;
    msgpack::pack(stream, message);
    return std::move(stream).str();
}

// Unpacks a message; throws msgpack::unpack_error or msgpack::type_error when the bytes don't hold one.
template<typename Message> [[nodiscard]] Message unpack(std::string_view bytes)
{
    constexpr std::size_t DeepestNesting = 32;
    // No part can have more elements than the whole has bytes; without this a damaged length claims gigabytes.
    const auto most = bytes.size();
    const msgpack::unpack_limit limit(most, most, most, most, most, DeepestNesting);
    return msgpack::unpack(bytes.data(), bytes.size(), nullptr, nullptr, limit).get().as<Message>();
}

}
