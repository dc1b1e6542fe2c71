#pragma once

#include <LibCore/Identifier.h>
#include <LibPlacement/ResponseTimes.h>
#include <map>
#include <string>

namespace Placement {

struct ReplicaSpeedOptions {
    // A replica whose times are within this multiple of the usual ones counts as usual, so that load and noise don't
    // make replicas of one speed differ. Its measured time has its full effect from the second multiple on.
    double usualRange = 1.25;
    double clearRange = 1.5;
    // Samples at the usual time with which an estimate begins: what a few streams show within half a second.
    double usualSamples = 8;
    double usualSamplesOfPlainServices = 2; // A host sees about one response of each replica in a second.
    double minSamples = 2; // A replica with fewer samples doesn't count for the usual time.
    // A median of two replicas doesn't tell which of them is slow.
    std::size_t minReplicas = 3;
    // What the holder says counts half after this time. The holder repeats it every 450 ms at least.
    Core::Duration newsHalfLife = std::chrono::milliseconds(1000);
    // The responses of a route aren't compared if they differ by more than this part of their mean. With stalls of a
    // 2.5th of the speed in 15% of the time, they differ by 0.31.
    double maxVariation = 0.5;
    // A service is uneven if at least this part of its engines is slow. Prompts make single engines of a fleet of one
    // speed look slow for a moment.
    double unevenPart = 0.2;
};

// What the holder of an engine has learned from the reports of all hosts.
struct EngineTimes {
    LearnedTime event; // Microseconds between two events of a stream.
    LearnedTime prefill; // Microseconds to the first event for each thousand prompt tokens, including those ahead.
};

// Tells how fast each replica works compared to the median of the replicas of its service. A replica of which nothing
// is known, or nothing for some time, has the usual speed of its service.
class ReplicaSpeed
{
public:
    explicit ReplicaSpeed(ReplicaSpeedOptions options = {});

    void recordEngineTimes(const std::string &service, const Core::TargetId &replica, const EngineTimes &times,
                           Core::TimePoint now);
    // Records how long this host waited for a response of a plain service. The times of different routes are compared
    // with those of the same route only.
    void recordResponse(const std::string &service, const Core::TargetId &replica, const std::string &route,
                        Core::Duration time, Core::TimePoint now);
    void forget(const Core::TargetId &replica);
    // Computes the usual times of each service. To be called periodically.
    void update(Core::TimePoint now);

    // 1 is usual, and 0.5 is half as fast as usual.
    [[nodiscard]] double speed(const Core::TargetId &replica, Core::TimePoint now) const;
    // The mean response time of a plain service; zero if it isn't known.
    [[nodiscard]] Core::Duration usualResponse(const std::string &service) const;

    // The usual time between two events of a stream at an engine of the service; zero if it isn't known.
    [[nodiscard]] Core::Duration usualEventTime(const std::string &service) const;
    // Whether some engines of the service are clearly slower than the usual one.
    [[nodiscard]] bool isUneven(const std::string &service) const;

    struct Counts {
        std::size_t slow = 0;
        std::size_t fast = 0;
    };
    // Replicas whose speed isn't usual.
    [[nodiscard]] Counts unusualReplicas(Core::TimePoint now) const;

private:
    // The mean response time of one route, or of all of a service.
    struct UsualResponse {
        double milliseconds = 0;
        double deviation = 0; // Mean of the absolute differences.
        unsigned count = 0;

        void record(double sample);
    };
    struct Known {
        std::string service;
        EngineTimes engine;
        Core::TimePoint engineAt {};
        // This host's responses of a plain service, as multiples of the usual time of their routes.
        ResponseTimes responses {ResponseTimesOptions::forRareResponses()};
    };
    enum class Quantity { Event, Prefill, Response };
    // The medians of one service; zero if too few replicas are known.
    struct Usual {
        double event = 0;
        double prefill = 0;
        double response = 0;
        bool isUneven = false;
    };

    // Whether the engines of the service whose event time isn't the usual one are many enough.
    [[nodiscard]] bool hasSlowEngines(const std::string &service, double usualEvent, Core::TimePoint now) const;
    [[nodiscard]] LearnedTime learned(const Known &known, Quantity quantity, Core::TimePoint now) const;
    [[nodiscard]] double median(const std::string &service, Quantity quantity, Core::TimePoint now) const;
    [[nodiscard]] double speedBy(const LearnedTime &learned, double usual, double usualSamples) const;

    ReplicaSpeedOptions m_options;
    std::map<Core::TargetId, Known> m_known;
    std::map<std::string, Usual> m_usual; // By service.
    std::map<std::string, std::map<std::string, UsualResponse>> m_routes; // By service and route.
    std::map<std::string, UsualResponse> m_responses; // By service.
};

}
