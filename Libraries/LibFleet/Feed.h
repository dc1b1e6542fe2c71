#pragma once

#include <LibCore/Scheduler.h>
#include <LibFleet/DeploymentSource.h>
#include <LibLog/Log.h>
#include <algorithm>
#include <functional>
#include <string>
#include <utility>

namespace Fleet {

struct FeedOptions {
    std::string name; // For the log.
    // How long the platform holds a call until there is a change. With the client's time limit it bounds how long a
    // connection that fell silent goes unnoticed.
    Core::Duration wait = std::chrono::milliseconds(700);
    Core::Duration pace = std::chrono::milliseconds(500); // Between two calls, so that many changes come together.
    // After the first of all calls. Hosts that start together find out in this time which of them reads for the others.
    Core::Duration firstPace = std::chrono::milliseconds(0);
    // Whether another host makes the calls and passes the changes on; then there is nothing to save by waiting.
    std::function<bool()> isRelayed = [] {
        return false;
    };
    Core::Duration relayedPace = std::chrono::milliseconds(30);
    Core::Duration retryDelay = std::chrono::milliseconds(250); // After a failed call; doubles.
    // What changed must be in force two seconds after the store is back; refused calls are charged like others.
    Core::Duration longestRetryDelay = std::chrono::milliseconds(1200);
};

// Follows one kind of changes without end: reads everything once, then what changed since, and everything again when
// the platform has forgotten the changes in between.
template<typename Changes> class Feed
{
public:
    using Done = std::function<void(Changes)>;
    using ReadFunction = std::function<void(Done)>;
    using FollowFunction = std::function<void(std::uint64_t after, Core::Duration wait, Done)>;
    // Takes changes; the second argument tells whether they are everything there is.
    enum class Extent { Whole, Changed };
    using ApplyFunction = std::function<void(Changes &&, Extent)>;

    Feed(Core::Scheduler &scheduler, FeedOptions options, ReadFunction read, FollowFunction follow, ApplyFunction apply)
        : m_scheduler(scheduler)
        , m_options(std::move(options))
        , m_read(std::move(read))
        , m_follow(std::move(follow))
        , m_apply(std::move(apply))
    {
    }

    void start()
    {
        readAll();
    }

    // True once everything has been read.
    [[nodiscard]] bool isFilled() const
    {
        return m_isFilled;
    }
    // When calls began to succeed again after the last failure; without a value while they fail.
    [[nodiscard]] std::optional<Core::TimePoint> healthySince() const
    {
        return m_healthySince;
    }

private:
    void readAll()
    {
        m_read([this](Changes changes) {
            take(std::move(changes), Extent::Whole);
        });
    }

    void followOn()
    {
        m_follow(m_version, m_options.wait, [this](Changes changes) {
            take(std::move(changes), Extent::Changed);
        });
    }

    void take(Changes changes, Extent extent)
    {
        const bool isStale = extent == Extent::Whole && changes.version < m_version;
        if (changes.outcome == Platform::FeedOutcome::Read && !isStale) {
            succeed();
            m_version = changes.version;
            const bool isFirst = !std::exchange(m_isFilled, true);
            m_isHistoryLost = false;
            m_nextRetryDelay = m_options.retryDelay;
            m_apply(std::move(changes), extent);
            const auto pace = m_options.isRelayed() ? m_options.relayedPace : m_options.pace;
            m_scheduler.runAfter(isFirst ? std::max(pace, m_options.firstPace) : pace, [this] {
                followOn();
            });
            return;
        }
        if (changes.outcome == Platform::FeedOutcome::HistoryLost) {
            Log::write(Log::Event::FeedHistoryLost, {{"feed", m_options.name}, {"after", std::to_string(m_version)}});
            m_isHistoryLost = true;
            readAll();
            return;
        }
        if (!isStale) {
            fail(changes.error);
        }
        m_scheduler.runAfter(m_nextRetryDelay, [this] {
            if (m_isFilled && !m_isHistoryLost) {
                followOn();
            } else {
                readAll();
            }
        });
    }

    void succeed()
    {
        if (!m_healthySince.has_value()) {
            m_healthySince = m_scheduler.now();
            Log::write(Log::Event::FeedRegained, {{"feed", m_options.name}});
        }
    }

    void fail(const std::string &error)
    {
        m_nextRetryDelay = std::min(m_nextRetryDelay * 2, m_options.longestRetryDelay);
        if (m_healthySince.has_value() || !m_hasFailed) {
            Log::write(Log::Event::FeedLost, {{"feed", m_options.name}, {"reason", error}});
        }
        m_hasFailed = true;
        m_healthySince.reset();
    }

    Core::Scheduler &m_scheduler;
    FeedOptions m_options;
    ReadFunction m_read;
    FollowFunction m_follow;
    ApplyFunction m_apply;
    Core::Duration m_nextRetryDelay = m_options.retryDelay;
    std::uint64_t m_version = 0;
    bool m_isFilled = false;
    bool m_isHistoryLost = false;
    bool m_hasFailed = false;
    std::optional<Core::TimePoint> m_healthySince;
};

}
