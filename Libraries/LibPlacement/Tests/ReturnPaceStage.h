#pragma once

#include <LibPlacement/ReturnPace.h>
#include <algorithm>
#include <functional>
#include <numeric>
#include <optional>
#include <random>
#include <vector>

namespace Tests {

using Pace = Placement::ReturnPace;
using Seconds = std::chrono::duration<double>;

inline constexpr unsigned Slots = 16;
inline constexpr auto Step = std::chrono::milliseconds(5);
inline constexpr Core::TimePoint Start(std::chrono::hours(1));
inline constexpr Core::Duration FirstEvent = std::chrono::milliseconds(100); // Usual time until a response begins.
inline constexpr auto NewsPeriod = std::chrono::milliseconds(100);
inline constexpr double LateFactor = 2.5;

// The hosts that have requests for a replica that returns, and the replica.
struct Scene {
    std::size_t hosts = 60;
    double perSecond = 12; // Requests of all hosts together that this replica would get without a limit.
    Core::Duration length = std::chrono::seconds(1); // Of a response at the usual speed.
    std::optional<Core::Duration> lag
        = std::chrono::milliseconds(200); // Age of what hosts know of each other; empty if they know nothing.
    Pace::Cause cause = Pace::Cause::Started;
    unsigned seed = 1;
    // How many times longer than usual a response takes that is sent at this time.
    std::function<double(Core::Duration elapsed)> slowness = [](auto) {
        return 1.0;
    };
};

struct Request {
    std::size_t host = 0;
    Core::TimePoint sentAt {};
    Core::TimePoint beginsAt {};
    Core::TimePoint endsAt {};
    bool isSeen = false;
};

// Plays a scene in virtual time, without the other replicas that take what this one doesn't get.
class Stage
{
public:
    explicit Stage(Scene scene)
        : m_scene(std::move(scene))
        , m_random(m_scene.seed)
        , m_paces(m_scene.hosts)
        , m_own(m_scene.hosts, 0)
    {
        for (auto &pace : m_paces) {
            pace.begin(m_scene.cause, Slots, m_now);
        }
    }

    void play(Core::Duration duration)
    {
        const double chance = m_scene.perSecond / static_cast<double>(m_scene.hosts) * Seconds(Step).count();
        for (const auto until = m_now + duration; m_now < until; m_now += Step) {
            endResponses();
            m_history.push_back(m_own);
            m_signs.push_back(signs());
            tellLoads();
            for (std::size_t host = 0; host < m_scene.hosts; ++host) {
                if (std::bernoulli_distribution(std::min(chance, 1.0))(m_random)) {
                    offer(host);
                }
            }
        }
    }

    // Every host has one request at this moment.
    void offerAtAll()
    {
        for (std::size_t host = 0; host < m_scene.hosts; ++host) {
            offer(host);
        }
    }

    [[nodiscard]] unsigned active() const
    {
        return std::accumulate(m_own.begin(), m_own.end(), 0U);
    }
    // The most requests in progress after this time.
    [[nodiscard]] unsigned mostActive(Core::Duration after = {}) const
    {
        unsigned most = 0;
        for (auto step = static_cast<std::size_t>(after / Step); step < m_history.size(); ++step) {
            most = std::max(most, std::accumulate(m_history[step].begin(), m_history[step].end(), 0U));
        }
        return most;
    }
    // The mean number of requests in progress between two times.
    [[nodiscard]] double meanActive(Core::Duration from, Core::Duration to) const
    {
        double sum = 0;
        for (auto step = from / Step; step < to / Step; ++step) {
            const auto &own = m_history.at(static_cast<std::size_t>(step));
            sum += std::accumulate(own.begin(), own.end(), 0U);
        }
        return sum / static_cast<double>((to - from) / Step);
    }

private:
    [[nodiscard]] Placement::LimitSharing sharing(std::size_t host) const
    {
        return {.hostCount = m_scene.hosts,
                .phase = (static_cast<double>(host) + 0.5) / static_cast<double>(m_scene.hosts)};
    }

    [[nodiscard]] Placement::ReturnLoad load(std::size_t host) const
    {
        Placement::ReturnLoad load {.slots = Slots, .own = m_own[host], .usualTime = FirstEvent};
        if (m_scene.lag.has_value()) {
            const auto age = static_cast<std::size_t>(*m_scene.lag / Step);
            load.others = 0;
            if (age < m_history.size()) {
                const auto &known = m_history[m_history.size() - 1 - age];
                load.others = std::accumulate(known.begin(), known.end(), 0U) - known[host];
                load.othersSigns = difference(m_signs[m_signs.size() - 1 - age], m_paces[host].signs(m_now));
            }
        }
        return load;
    }

    static Placement::ReturnSigns difference(const Placement::ReturnSigns &all, const Placement::ReturnSigns &own)
    {
        return {.usual = all.usual - std::min(all.usual, own.usual),
                .late = all.late - std::min(all.late, own.late),
                .wanted = all.wanted - std::min(all.wanted, own.wanted)};
    }

    // The sum of the signs over all hosts.
    [[nodiscard]] Placement::ReturnSigns signs() const
    {
        Placement::ReturnSigns sum;
        for (const auto &pace : m_paces) {
            const auto signs = pace.signs(m_now);
            sum.usual += signs.usual;
            sum.late += signs.late;
            sum.wanted += signs.wanted;
        }
        return sum;
    }

    void tellLoads()
    {
        if (m_scene.lag.has_value() && m_history.size() % (NewsPeriod / Step) == 0) {
            for (std::size_t host = 0; host < m_scene.hosts; ++host) {
                m_paces[host].recordLoad(load(host), m_now);
            }
        }
    }

    void offer(std::size_t host)
    {
        auto &pace = m_paces[host];
        pace.recordDemand(m_now);
        if (!pace.hasRoom(load(host), sharing(host), m_now)) {
            return;
        }
        pace.recordSend(m_now);
        ++m_own[host];
        const auto crowding = std::max(1.0, static_cast<double>(active()) / Slots);
        const auto slowness = m_scene.slowness(m_now - Start) * crowding;
        const auto scaled = [slowness](Core::Duration usual) {
            return std::chrono::duration_cast<Core::Duration>(Seconds(usual) * slowness);
        };
        m_requests.push_back({.host = host,
                              .sentAt = m_now,
                              .beginsAt = m_now + scaled(FirstEvent),
                              .endsAt = m_now + scaled(m_scene.length)});
    }

    void endResponses()
    {
        for (auto &request : m_requests) {
            if (!request.isSeen && m_now >= request.beginsAt) {
                request.isSeen = true;
                const bool isLate = Seconds(m_now - request.sentAt) > LateFactor * Seconds(FirstEvent);
                m_paces[request.host].recordResponse(isLate ? Pace::Response::Late : Pace::Response::Usual,
                                                     load(request.host), sharing(request.host), request.sentAt, m_now);
            }
            if (m_now >= request.endsAt) {
                --m_own[request.host];
            }
        }
        std::erase_if(m_requests, [this](const auto &request) {
            return m_now >= request.endsAt;
        });
    }

    Scene m_scene;
    std::mt19937 m_random;
    Core::TimePoint m_now = Start;
    std::vector<Pace> m_paces;
    std::vector<unsigned> m_own; // Requests in progress, by host.
    std::vector<std::vector<unsigned>> m_history; // The same at each step.
    std::vector<Placement::ReturnSigns> m_signs; // The sum over all hosts at each step.
    std::vector<Request> m_requests;
};

}
