#pragma once

#include <LibCore/Time.h>
#include <deque>

namespace Placement {

struct ResponseTimesOptions {
    Core::Duration lastingHalfLife = std::chrono::seconds(4); // Of the weight of samples in the lasting mean.
    // The weight of a sample above the lasting mean, compared to one below. A replica that processes prompts half of
    // the time then has nearly the same mean as an idle one, so that load isn't taken for slowness.
    double weightAbove = 0.1;
    // A sample counts in the lasting mean as at most so much above or below it.
    double maxLastingStep = 1.5;
    // Nothing is said of a replica that has been observed for less than this. A new one is sent many prompts at first,
    // and may process prompts all that time.
    Core::Duration minObserved = std::chrono::seconds(2);
    // The shortest of the samples within this time, and of so many at least, shows whether there is a stall.
    Core::Duration recentWindow = std::chrono::milliseconds(150);
    double minRecentSamples = 3;
    // The shortest recent sample has no effect up to this multiple of the lasting mean, and its full effect from the
    // second one on. While an engine processes prompts, its events can take twice as long.
    double minStall = 2.2;
    double clearStall = 2.4;
    // A clear stall counts as this multiple of the lasting mean, whatever its extent, because part of it is over when
    // the hosts hear of it.
    double stallTime = 1.6;

    // The options for a service of which a host sees a response of each replica once a second.
    [[nodiscard]] static ResponseTimesOptions forRareResponses();
};

// What is known of the time that a replica takes, in any unit, with the number of samples behind it.
struct LearnedTime {
    double time = 0;
    double samples = 0; // Decays exponentially.
};

// Estimates the present time of one kind of work at one replica from samples. A lasting mean, to which the shorter
// samples contribute most, shows the usual speed of the replica, and the recent samples show a stall.
class ResponseTimes
{
public:
    explicit ResponseTimes(ResponseTimesOptions options = {});

    // Records the time that a number of samples have shown.
    void record(double time, double samples, Core::TimePoint now);
    // Has no samples if none were recorded within a minute.
    [[nodiscard]] LearnedTime learned(Core::TimePoint now) const;

private:
    struct Lasting {
        double sum = 0;
        double weight = 0;
        double samples = 0;
        Core::TimePoint since {}; // When the first sample was recorded.
        Core::TimePoint at {};
    };
    struct Recent {
        double time = 0;
        double samples = 0;
        Core::TimePoint at {};
    };

    [[nodiscard]] Lasting lasting(Core::TimePoint now) const;
    // The shortest recent time as a multiple of this mean; 1 without enough samples.
    [[nodiscard]] double recentRatio(double mean, Core::TimePoint now) const;

    ResponseTimesOptions m_options;
    Lasting m_lasting;
    std::deque<Recent> m_recent;
};

// The exponent with which a ratio takes effect: 0 up to the first limit, 1 from the second one on, and in between in
// proportion to the logarithm. Ratios below 1 are compared with the inverse limits.
[[nodiscard]] double effectOfRatio(double ratio, double noEffect, double fullEffect);

}
