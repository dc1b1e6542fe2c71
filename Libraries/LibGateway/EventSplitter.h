#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Gateway {

// Cuts the body of an event stream into whole events, so that a caller never gets a part of one that broke off, and
// checks that the events' ids rise by one.
class EventSplitter
{
public:
    enum class Order {
        Kept,
        // An event is missing.
        Broken,
    };

    // Takes bytes of the body and appends the whole events in them to the output. Events up to the last id are left
    // out; they have been passed on before.
    Order take(std::string_view bytes, std::string &output);
    // Forgets a part of an event, before the stream goes on from another replica.
    void dropPartial();
    // Bytes after the last whole event.
    [[nodiscard]] const std::string &partial() const;
    // The id of the last whole event.
    [[nodiscard]] const std::optional<std::uint64_t> &lastId() const;
    void setLastId(std::uint64_t id);

private:
    std::string m_partial;
    std::optional<std::uint64_t> m_lastId;
};

}
