#pragma once

#include <LibCore/Scheduler.h>
#include <LibFleet/DeploymentSource.h>
#include <LibFleet/PlatformOutage.h>
#include <LibLog/Log.h>
#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <utility>

namespace Fleet {

struct FeedOptions {
    std::string name; // Written to the log.
    // How long the platform holds a call open until there is a change. An idle connection is detected after at most
    // this time plus the client's timeout.
    Core::Duration longPollTimeout = std::chrono::milliseconds(700);
    // The pause between two calls, which lets one call return several changes.
    Core::Duration pollInterval = std::chrono::milliseconds(500);
    // The minimum pause after the first successful call. Hosts that start together use it to agree on the one that
    // reads for the others.
    Core::Duration initialPollInterval = std::chrono::milliseconds(0);
    // Whether another host makes the calls and relays the changes. A pause would then save no calls to the platform.
    std::function<bool()> isRelayed = [] {
        return false;
    };
    // Runs when a call fails after others have succeeded.
    std::function<void()> onLost = [] {};
    Core::Duration relayedPollInterval = std::chrono::milliseconds(30);
    // The retry delay doubles with each failed call.
    Core::Duration initialRetryDelay = std::chrono::milliseconds(250);
    // Long enough to limit calls during an outage, since failed calls are charged like successful ones.
    Core::Duration maxRetryDelay = std::chrono::milliseconds(1200);
    // Shared by the feeds of this host; null if the feed tries on whatever the others find.
    PlatformOutage *outage = nullptr;
    // After this time in an outage the feed tries for itself, in case the platform fails for some calls only.
    Core::Duration maxOutageWait = std::chrono::milliseconds(5000);
};

// The longest pause between retries with which a change is applied within the given time after the platform recovers,
// even if a call was just sent that will time out.
[[nodiscard]] Core::Duration retryDelayFor(Core::Duration applyTime);

// Follows one kind of changes: reads the full state once, then the changes since the last version, and the full state
// again if the platform no longer has the changes since that version.
template<typename Changes> class Feed
{
public:
    using Done = std::function<void(Changes)>;
    using ReadFunction = std::function<void(Done)>;
    using FollowFunction = std::function<void(std::uint64_t after, Core::Duration wait, Done)>;
    // Whether a result holds the full state or only what changed.
    enum class Extent { Full, Changed };
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

    // True once the full state has been read for the first time.
    [[nodiscard]] bool isFilled() const
    {
        return m_isFilled;
    }
    // When calls started to succeed after the last failure; empty while they fail and before the first success.
    [[nodiscard]] std::optional<Core::TimePoint> healthySince() const
    {
        return m_healthySince;
    }

private:
    void readAll()
    {
        m_read([this](Changes changes) {
            handleChanges(std::move(changes), Extent::Full);
        });
    }

    void followChanges()
    {
        // While calls fail, a call that waits for changes would only be noticed later as unanswered.
        const auto wait = m_healthySince.has_value() ? m_options.longPollTimeout : Core::Duration {};
        m_follow(m_version, wait, [this](Changes changes) {
            handleChanges(std::move(changes), Extent::Changed);
        });
    }

    void handleChanges(Changes changes, Extent extent)
    {
        const bool isStale = extent == Extent::Full && changes.version < m_version;
        if (changes.outcome == Platform::FeedOutcome::Read && !isStale) {
            recordSuccess();
            m_version = changes.version;
            const bool isFirst = !std::exchange(m_isFilled, true);
            m_isHistoryLost = false;
            m_nextRetryDelay = m_options.initialRetryDelay;
            m_apply(std::move(changes), extent);
            const auto interval = m_options.isRelayed() ? m_options.relayedPollInterval : m_options.pollInterval;
            m_scheduler.runAfter(isFirst ? std::max(interval, m_options.initialPollInterval) : interval, [this] {
                followChanges();
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
            recordFailure(changes.error);
        }
        m_scheduler.runAfter(m_nextRetryDelay, [this] {
            if (m_options.outage == nullptr || m_options.outage->mayTry(this)) {
                retry();
            } else {
                awaitOutageEnd();
            }
        });
    }

    void retry()
    {
        if (m_isFilled && !m_isHistoryLost) {
            followChanges();
        } else {
            readAll();
        }
    }

    void awaitOutageEnd()
    {
        // Whichever comes first retries.
        const auto isRetried = std::make_shared<bool>(false);
        const auto retryOnce = [this, isRetried] {
            if (!std::exchange(*isRetried, true)) {
                retry();
            }
        };
        m_options.outage->awaitEnd(retryOnce);
        m_scheduler.runAfter(m_options.maxOutageWait, retryOnce);
    }

    void recordSuccess()
    {
        if (!m_healthySince.has_value()) {
            m_healthySince = m_scheduler.now();
            Log::write(Log::Event::FeedRegained, {{"feed", m_options.name}});
        }
        if (m_options.outage != nullptr) {
            m_options.outage->recordSuccess();
        }
    }

    void recordFailure(const std::string &error)
    {
        m_nextRetryDelay = std::min(m_nextRetryDelay * 2, m_options.maxRetryDelay);
        if (m_healthySince.has_value() || !m_hasFailed) {
            Log::write(Log::Event::FeedLost, {{"feed", m_options.name}, {"reason", error}});
        }
        m_hasFailed = true;
        if (m_options.outage != nullptr) {
            m_options.outage->recordFailure(this);
        }
        if (std::exchange(m_healthySince, std::nullopt).has_value()) {
            m_options.onLost();
        }
    }

    Core::Scheduler &m_scheduler;
    FeedOptions m_options;
    ReadFunction m_read;
    FollowFunction m_follow;
    ApplyFunction m_apply;
    Core::Duration m_nextRetryDelay = m_options.initialRetryDelay;
    std::uint64_t m_version = 0;
    bool m_isFilled = false;
    bool m_isHistoryLost = false;
    bool m_hasFailed = false;
    std::optional<Core::TimePoint> m_healthySince;
};

}
