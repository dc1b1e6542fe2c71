#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Gateway {

// Splits the body of an event stream into complete events, so that a caller never receives part of an event when the
// stream breaks, and checks that event IDs are consecutive.
class EventSplitter
{
public:
    enum class Sequence {
        Consecutive,
        // An event is missing.
        Gap,
        // An event is longer than events may be.
        TooLong,
    };

    // Longest event. Events of replicas have some hundred bytes.
    static constexpr std::size_t MaxEventBytes = 1U << 20U;

    // Adds bytes of the body and appends the events that they complete to the output. Skips events up to the last ID,
    // which have been forwarded before.
    Sequence split(std::string_view bytes, std::string &output);
    // Discards an incomplete event before the stream is resumed at another replica.
    void dropPartial();
    // Bytes after the last complete event.
    [[nodiscard]] const std::string &partial() const;
    // Whether an event has begun and isn't complete.
    [[nodiscard]] bool isInsideEvent() const;
    // The ID of the last complete event.
    [[nodiscard]] const std::optional<std::uint64_t> &lastId() const;
    void setLastId(std::uint64_t id);

private:
    std::string m_partial;
    std::size_t m_searched = 0; // Bytes of m_partial that contain no end of an event.
    std::optional<std::uint64_t> m_lastId;
};

}
