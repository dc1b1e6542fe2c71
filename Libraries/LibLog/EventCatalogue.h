#pragma once

#include <array>
#include <cstdint>
#include <string_view>

namespace Log {

enum class Severity { Information, Warning, Error };

// The number of each event. A number is never given a second meaning.
enum class Event : std::uint16_t {
    DaemonStarted = 100,
    DaemonStopping = 101,
    DaemonStopped = 102,
    SettingsRefused = 103,
    DaemonFailed = 104,
    TicketApplied = 200,
    TicketAccepted = 201,
    TicketRefused = 202,
    TicketFeedUnreadable = 203,
    AnswerCut = 300,
    WrongAnswerDropped = 301,
    LoadFailed = 400,
    TargetRestarted = 401,
    OwnershipClaimed = 500,
    OwnershipLost = 501,
    TakeoverWithoutTable = 502,
    AttemptAbandoned = 600,
    AttemptUnknown = 601,
};

// One line of the catalogue. docs/EVENTS.md says what an operator does about each.
struct EventDescription {
    Event event;
    Severity severity;
    std::string_view name;
};

inline constexpr std::array EventCatalogue {
    EventDescription {Event::DaemonStarted, Severity::Information, "daemon-started"},
    EventDescription {Event::DaemonStopping, Severity::Information, "daemon-stopping"},
    EventDescription {Event::DaemonStopped, Severity::Information, "daemon-stopped"},
    EventDescription {Event::SettingsRefused, Severity::Error, "settings-refused"},
    EventDescription {Event::DaemonFailed, Severity::Error, "daemon-failed"},
    EventDescription {Event::TicketApplied, Severity::Information, "ticket-applied"},
    EventDescription {Event::TicketAccepted, Severity::Information, "ticket-accepted"},
    EventDescription {Event::TicketRefused, Severity::Warning, "ticket-refused"},
    EventDescription {Event::TicketFeedUnreadable, Severity::Error, "ticket-feed-unreadable"},
    EventDescription {Event::AnswerCut, Severity::Warning, "answer-cut"},
    EventDescription {Event::WrongAnswerDropped, Severity::Error, "wrong-answer-dropped"},
    EventDescription {Event::LoadFailed, Severity::Warning, "load-failed"},
    EventDescription {Event::TargetRestarted, Severity::Warning, "target-restarted"},
    EventDescription {Event::OwnershipClaimed, Severity::Information, "ownership-claimed"},
    EventDescription {Event::OwnershipLost, Severity::Information, "ownership-lost"},
    EventDescription {Event::TakeoverWithoutTable, Severity::Warning, "takeover-without-table"},
    EventDescription {Event::AttemptAbandoned, Severity::Information, "attempt-abandoned"},
    EventDescription {Event::AttemptUnknown, Severity::Warning, "attempt-unknown"},
};

}
