#include <LibPlacement/ReplicaSpeed.h>

#include <algorithm>
#include <cmath>
#include <set>
#include <vector>

namespace Placement {

namespace {

// Responses after which the usual time of a route is known well enough to compare others with it.
constexpr unsigned MinResponses = 10;
// The usual time of a route follows the last responses with this weight of each, about those of half a minute.
constexpr double ResponseWeight = 0.02;

}

ReplicaSpeed::ReplicaSpeed(ReplicaSpeedOptions options)
    : m_options(options)
{
}

void ReplicaSpeed::UsualResponse::record(double sample)
{
    ++count;
    const auto weight = std::max(ResponseWeight, 1.0 / count);
    deviation += (std::abs(sample - milliseconds) - deviation) * (count == 1 ? 0 : weight);
    milliseconds += (sample - milliseconds) * weight;
}

void ReplicaSpeed::recordEngineTimes(const std::string &service, const Core::TargetId &replica,
                                     const EngineTimes &times, Core::TimePoint now)
{
    auto &known = m_known[replica];
    known.service = service;
    known.engine = times;
    known.engineAt = now;
}

void ReplicaSpeed::recordResponse(const std::string &service, const Core::TargetId &replica, const std::string &route,
                                  Core::Duration time, Core::TimePoint now)
{
    const auto milliseconds = std::chrono::duration<double, std::milli>(time).count();
    auto &usual = m_routes[service][route];
    if (usual.count >= MinResponses && usual.deviation <= usual.milliseconds * m_options.maxVariation) {
        auto &known = m_known[replica];
        known.service = service;
        known.responses.record(milliseconds / usual.milliseconds, 1, now);
    }
    usual.record(milliseconds);
    m_responses[service].record(milliseconds);
}

void ReplicaSpeed::forget(const Core::TargetId &replica)
{
    m_known.erase(replica);
}

LearnedTime ReplicaSpeed::learned(const Known &known, Quantity quantity, Core::TimePoint now) const
{
    if (quantity == Quantity::Response) {
        return known.responses.learned(now);
    }
    auto learned = quantity == Quantity::Event ? known.engine.event : known.engine.prefill;
    const auto halves
        = std::chrono::duration<double>(now - known.engineAt) / std::chrono::duration<double>(m_options.newsHalfLife);
    learned.samples *= std::exp2(-std::max(0.0, halves));
    return learned;
}

double ReplicaSpeed::median(const std::string &service, Quantity quantity, Core::TimePoint now) const
{
    std::vector<double> times;
    for (const auto &[replica, known] : m_known) {
        if (known.service != service) {
            continue;
        }
        if (const auto time = learned(known, quantity, now); time.time > 0 && time.samples >= m_options.minSamples) {
            times.push_back(time.time);
        }
    }
    if (times.size() < m_options.minReplicas) {
        return 0;
    }
    const auto middle = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
    std::nth_element(times.begin(), middle, times.end());
    return *middle;
}

void ReplicaSpeed::update(Core::TimePoint now)
{
    std::set<std::string> services;
    for (const auto &[replica, known] : m_known) {
        services.insert(known.service);
    }
    m_usual.clear();
    for (const auto &service : services) {
        const auto event = median(service, Quantity::Event, now);
        m_usual[service] = {.event = event,
                            .prefill = median(service, Quantity::Prefill, now),
                            .response = median(service, Quantity::Response, now),
                            .isUneven = event > 0 && hasSlowEngines(service, event, now)};
    }
}

bool ReplicaSpeed::hasSlowEngines(const std::string &service, double usualEvent, Core::TimePoint now) const
{
    std::size_t measured = 0;
    std::size_t slow = 0;
    for (const auto &[replica, known] : m_known) {
        const auto event = learned(known, Quantity::Event, now);
        if (known.service == service && event.time > 0 && event.samples >= m_options.minSamples) {
            ++measured;
            slow += event.time >= usualEvent * m_options.clearRange ? 1 : 0;
        }
    }
    return static_cast<double>(slow) >= m_options.unevenPart * static_cast<double>(measured);
}

Core::Duration ReplicaSpeed::usualEventTime(const std::string &service) const
{
    const auto found = m_usual.find(service);
    const auto microseconds = found == m_usual.end() ? 0 : found->second.event;
    return std::chrono::duration_cast<Core::Duration>(std::chrono::duration<double, std::micro>(microseconds));
}

bool ReplicaSpeed::isUneven(const std::string &service) const
{
    const auto found = m_usual.find(service);
    return found != m_usual.end() && found->second.isUneven;
}

double ReplicaSpeed::speedBy(const LearnedTime &learned, double usual, double usualSamples) const
{
    if (learned.time <= 0) {
        return 1;
    }
    const auto time = (learned.time * learned.samples + usual * usualSamples) / (learned.samples + usualSamples);
    const auto ratio = time / usual;
    return std::pow(ratio, -effectOfRatio(ratio, m_options.usualRange, m_options.clearRange));
}

double ReplicaSpeed::speed(const Core::TargetId &replica, Core::TimePoint now) const
{
    const auto found = m_known.find(replica);
    const auto usual = found == m_known.end() ? m_usual.end() : m_usual.find(found->second.service);
    if (usual == m_usual.end()) {
        return 1;
    }
    const auto &known = found->second;
    // The time to the first event is less certain, as it depends on what other hosts have sent shortly before.
    const auto event = learned(known, Quantity::Event, now);
    if (usual->second.event > 0 && event.samples >= m_options.minSamples) {
        return speedBy(event, usual->second.event, m_options.usualSamples);
    }
    const auto prefill = learned(known, Quantity::Prefill, now);
    if (usual->second.prefill > 0 && prefill.samples >= m_options.minSamples) {
        return speedBy(prefill, usual->second.prefill, m_options.usualSamples);
    }
    const auto response = learned(known, Quantity::Response, now);
    return usual->second.response > 0 ? speedBy(response, usual->second.response, m_options.usualSamplesOfPlainServices)
                                      : 1;
}

Core::Duration ReplicaSpeed::usualResponse(const std::string &service) const
{
    const auto found = m_responses.find(service);
    const auto milliseconds = found == m_responses.end() ? 0 : found->second.milliseconds;
    return std::chrono::duration_cast<Core::Duration>(std::chrono::duration<double, std::milli>(milliseconds));
}

ReplicaSpeed::Counts ReplicaSpeed::unusualReplicas(Core::TimePoint now) const
{
    Counts counts;
    for (const auto &[replica, known] : m_known) {
        const auto present = speed(replica, now);
        counts.slow += present < 1 ? 1 : 0;
        counts.fast += present > 1 ? 1 : 0;
    }
    return counts;
}

}
