#pragma once

#include <array>
#include <cstdint>
#include <string_view>

namespace Log {

enum class Severity { Information, Warning, Error };

// The number of each event. Numbers are stable: the number of a removed event is never reused.
enum class Event : std::uint16_t {
    DaemonStarted = 100,
    DaemonStopping = 101,
    DaemonStopped = 102,
    SettingsRefused = 103,
    DaemonFailed = 104,
    DrainCut = 105,
    SettingsReloaded = 106,
    TicketApplied = 200,
    TicketAccepted = 201,
    TicketRefused = 202,
    TicketFeedUnreadable = 203,
    TicketRowMalformed = 204,
    SnapshotTaken = 205,
    SnapshotRefused = 206,
    TargetLeaving = 210,
    FeedLost = 220,
    FeedRegained = 221,
    FeedHistoryLost = 222,
    EntryUnreadable = 223,
    ConfigurationApplied = 224,
    ReleaseSeen = 225,
    ReplicaSeen = 226,
    ReplicaGone = 227,
    ReplicaLeaving = 228,
    ReplicaPaused = 229,
    RetryAfterIgnored = 230,
    ReplicaCrashed = 231,
    ReplicaLimited = 232,
    ReplicaLimitEnded = 233,
    RequestLimitIgnored = 234,
    AnswerCut = 300,
    WrongAnswerDropped = 301,
    AnswerResumed = 302,
    RequestSuspected = 303,
    RequestQuarantined = 304,
    RequestEnded = 310,
    AttemptFailed = 311,
    ReplicaAvoided = 312,
    AccountRefused = 313,
    LoadFailed = 400,
    TargetRestarted = 401,
    OrderSent = 402,
    OrderUnanswered = 403,
    AdapterUnavailable = 404,
    OwnershipClaimed = 500,
    OwnershipLost = 501,
    TakeoverWithoutTable = 502,
    HoldGained = 510,
    HoldLost = 511,
    AttemptAbandoned = 600,
    AttemptUnknown = 601,
};

// The severity and printed name of an event. docs/EVENTS.md describes what an operator does about each event.
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
    EventDescription {Event::DrainCut, Severity::Error, "drain-cut"},
    EventDescription {Event::SettingsReloaded, Severity::Information, "settings-reloaded"},
    EventDescription {Event::TicketApplied, Severity::Information, "ticket-applied"},
    EventDescription {Event::TicketAccepted, Severity::Information, "ticket-accepted"},
    EventDescription {Event::TicketRefused, Severity::Warning, "ticket-refused"},
    EventDescription {Event::TicketFeedUnreadable, Severity::Error, "ticket-feed-unreadable"},
    EventDescription {Event::TicketRowMalformed, Severity::Error, "ticket-row-malformed"},
    EventDescription {Event::SnapshotTaken, Severity::Information, "snapshot-taken"},
    EventDescription {Event::SnapshotRefused, Severity::Warning, "snapshot-refused"},
    EventDescription {Event::TargetLeaving, Severity::Information, "target-leaving"},
    EventDescription {Event::FeedLost, Severity::Warning, "feed-lost"},
    EventDescription {Event::FeedRegained, Severity::Information, "feed-regained"},
    EventDescription {Event::FeedHistoryLost, Severity::Warning, "feed-history-lost"},
    EventDescription {Event::EntryUnreadable, Severity::Warning, "entry-unreadable"},
    EventDescription {Event::ConfigurationApplied, Severity::Information, "configuration-applied"},
    EventDescription {Event::ReleaseSeen, Severity::Information, "release-seen"},
    EventDescription {Event::ReplicaSeen, Severity::Information, "replica-seen"},
    EventDescription {Event::ReplicaGone, Severity::Information, "replica-gone"},
    EventDescription {Event::ReplicaLeaving, Severity::Information, "replica-leaving"},
    EventDescription {Event::ReplicaPaused, Severity::Information, "replica-paused"},
    EventDescription {Event::RetryAfterIgnored, Severity::Warning, "retry-after-ignored"},
    EventDescription {Event::ReplicaCrashed, Severity::Warning, "replica-crashed"},
    EventDescription {Event::ReplicaLimited, Severity::Information, "replica-limited"},
    EventDescription {Event::ReplicaLimitEnded, Severity::Information, "replica-limit-ended"},
    EventDescription {Event::RequestLimitIgnored, Severity::Warning, "request-limit-ignored"},
    EventDescription {Event::AnswerCut, Severity::Warning, "answer-cut"},
    EventDescription {Event::WrongAnswerDropped, Severity::Error, "wrong-answer-dropped"},
    EventDescription {Event::AnswerResumed, Severity::Information, "answer-resumed"},
    EventDescription {Event::RequestSuspected, Severity::Warning, "request-suspected"},
    EventDescription {Event::RequestQuarantined, Severity::Error, "request-quarantined"},
    EventDescription {Event::RequestEnded, Severity::Information, "request-ended"},
    EventDescription {Event::AttemptFailed, Severity::Information, "attempt-failed"},
    EventDescription {Event::ReplicaAvoided, Severity::Warning, "replica-avoided"},
    EventDescription {Event::AccountRefused, Severity::Information, "account-refused"},
    EventDescription {Event::LoadFailed, Severity::Warning, "load-failed"},
    EventDescription {Event::TargetRestarted, Severity::Warning, "target-restarted"},
    EventDescription {Event::OrderSent, Severity::Information, "order-sent"},
    EventDescription {Event::OrderUnanswered, Severity::Warning, "order-unanswered"},
    EventDescription {Event::AdapterUnavailable, Severity::Warning, "adapter-unavailable"},
    EventDescription {Event::OwnershipClaimed, Severity::Information, "ownership-claimed"},
    EventDescription {Event::OwnershipLost, Severity::Information, "ownership-lost"},
    EventDescription {Event::TakeoverWithoutTable, Severity::Warning, "takeover-without-table"},
    EventDescription {Event::HoldGained, Severity::Information, "hold-gained"},
    EventDescription {Event::HoldLost, Severity::Information, "hold-lost"},
    EventDescription {Event::AttemptAbandoned, Severity::Information, "attempt-abandoned"},
    EventDescription {Event::AttemptUnknown, Severity::Warning, "attempt-unknown"},
};

}
