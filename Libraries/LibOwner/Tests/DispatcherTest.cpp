#include <LibOwner/Dispatcher.h>
#include <cppunit/extensions/HelperMacros.h>
#include <cstdlib>
#include <rapidcheck.h>
#include <set>

namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t Slots = 2;
constexpr std::uint32_t Batch = 3;
constexpr double LoadsPerSecond = 2;
constexpr std::size_t MaxInFlight = 2;

// Drives a dispatcher and checks each of its actions against a reference model: plain sets of what every target holds,
// loads and runs.
class DispatcherModel
{
public:
    explicit DispatcherModel(const Policy::PolicyVersion &policy)
        : m_dispatcher({.policy = &policy,
                        .budget = {.loadsPerSecond = LoadsPerSecond, .maxInFlight = MaxInFlight},
                        .maxWaiting = 20},
                       m_now)
    {
        for (const auto *name : {"a", "b"}) {
            m_dispatcher.resetTarget({name}, "1", Slots, {}, m_now);
            m_dispatcher.setServing({name}, "base", true);
            m_dispatcher.report({name}, Batch, 0);
        }
    }

    void request(int adapter, int customer)
    {
        const auto grant = std::to_string(++m_lastGrant);
        m_open.insert(grant);
        m_dispatcher.request({.grant = {grant},
                              .adapter = {std::to_string(adapter), "1"},
                              .baseModel = "base",
                              .customer = {std::to_string(customer)},
                              .arrivedAt = m_now,
                              .deadline = m_now + 60s},
                             m_now);
        step();
    }

    void endRequest(std::size_t which)
    {
        if (m_running.empty()) {
            return;
        }
        const auto ended = std::next(m_running.begin(), static_cast<std::ptrdiff_t>(which % m_running.size()));
        m_dispatcher.release({ended->first}, m_now);
        m_running.erase(ended);
        step();
    }

    void endLoad(bool isLoaded)
    {
        if (m_loading.empty()) {
            return;
        }
        const auto [target, adapter] = m_loading.front();
        m_loading.erase(m_loading.begin());
        if (!isLoaded) {
            m_resident[target].erase(adapter);
        }
        m_dispatcher.finishLoad({target}, "1", {adapter, "1"}, isLoaded);
        step();
    }

    void advance(int milliseconds)
    {
        m_now += std::chrono::milliseconds(milliseconds);
        step();
    }

    // Ends all loads and requests; every request must have been granted or refused.
    void drain()
    {
        for (int i = 0; i < 400 && !m_open.empty(); ++i) {
            endLoad(true);
            advance(250);
            endRequest(0);
        }
        RC_ASSERT(m_open.empty());
    }

private:
    void step()
    {
        for (const auto &action : m_dispatcher.step(m_now)) {
            std::visit(
                [this](const auto &chosen) {
                    check(chosen);
                },
                action);
        }
        const auto elapsed = std::chrono::duration<double>(m_now.time_since_epoch()).count();
        RC_ASSERT(m_loads <= elapsed * LoadsPerSecond + 1e-6);
        RC_ASSERT(m_loading.size() <= MaxInFlight);
    }

    void check(const Owner::GrantAction &action)
    {
        const auto &adapter = action.request.adapter.adapter;
        RC_ASSERT(m_resident[action.target.value].contains(adapter));
        RC_ASSERT(std::find(m_loading.begin(), m_loading.end(), std::pair(action.target.value, adapter))
                  == m_loading.end());
        RC_ASSERT(m_open.erase(action.request.grant.value) == 1);
        m_running[action.request.grant.value] = {action.target.value, adapter};
        const auto onTarget = std::count_if(m_running.begin(), m_running.end(), [&](const auto &entry) {
            return entry.second.first == action.target.value;
        });
        RC_ASSERT(onTarget <= Batch);
    }

    void check(const Owner::RefuseAction &action)
    {
        RC_ASSERT(m_open.erase(action.request.grant.value) == 1);
        RC_ASSERT(action.retryAfter > 0s);
    }

    void check(const Owner::LoadAction &action)
    {
        ++m_loads;
        m_loading.emplace_back(action.target.value, action.adapter.adapter);
        RC_ASSERT(m_resident[action.target.value].insert(action.adapter.adapter).second);
        RC_ASSERT(m_resident[action.target.value].size() <= Slots);
    }

    void check(const Owner::UnloadAction &action)
    {
        for (const auto &[grant, location] : m_running) {
            RC_ASSERT(location != std::pair(action.target.value, action.adapter.adapter));
        }
        RC_ASSERT(m_resident[action.target.value].erase(action.adapter.adapter) == 1);
        m_dispatcher.finishUnload(action.target, "1", action.adapter, true, m_now);
    }

    Core::TimePoint m_now {};
    Owner::Dispatcher m_dispatcher;
    int m_lastGrant = 0;
    double m_loads = 0;
    std::set<std::string> m_open; // Requests neither granted nor refused yet.
    std::map<std::string, std::pair<std::string, std::string>> m_running; // Target and adapter of each running grant.
    std::map<std::string, std::set<std::string>> m_resident; // Adapters by target, including those being loaded.
    std::vector<std::pair<std::string, std::string>> m_loading;
};

}

class DispatcherTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DispatcherTest);
    CPPUNIT_TEST(everyPolicyVersionRespectsLimits);
    CPPUNIT_TEST(rareAdapterIsServedWithinAgeThreshold);
    CPPUNIT_TEST(requestPastDeadlineIsRefused);
    CPPUNIT_TEST(resultFromEarlierOwnershipIsIgnored);
    CPPUNIT_TEST_SUITE_END();

    void everyPolicyVersionRespectsLimits()
    {
        for (const auto &policy : Policy::policyVersions()) {
            const bool hasPassed = rc::check(std::string(policy.name), [&policy] {
                DispatcherModel model(policy);
                const auto events = *rc::gen::container<std::vector<std::pair<int, int>>>(
                    rc::gen::pair(rc::gen::inRange(0, 9), rc::gen::inRange(0, 1000)));
                for (const auto &[kind, value] : events) {
                    if (kind < 4) {
                        model.request(value % 7, value % 3);
                    } else if (kind < 6) {
                        model.endRequest(static_cast<std::size_t>(value));
                    } else if (kind < 8) {
                        model.endLoad(value % 5 != 0);
                    } else {
                        model.advance(value);
                    }
                }
                model.drain();
            });
            CPPUNIT_ASSERT_MESSAGE(std::string(policy.name), hasPassed);
        }
    }

    // With a single slot whose adapter is never idle, the rare adapter is loaded once it has waited for the age
    // threshold and the requests running at that time have ended.
    void rareAdapterIsServedWithinAgeThreshold()
    {
        for (const auto *name : {"load-stalls", "batch-efficiency"}) {
            const auto *policy = Policy::findPolicyVersion(name);
            Core::TimePoint now {};
            Owner::Dispatcher dispatcher({.policy = policy, .maxWaiting = 1000}, now);
            dispatcher.resetTarget({"a"}, "1", 1, {{"hot", "1"}}, now);
            dispatcher.setServing({"a"}, "base", true);
            std::vector<std::pair<Core::TimePoint, Core::GrantId>> ends;
            std::optional<Core::TimePoint> servedAt;
            for (int second = 0; second < 60; ++second, now += 1s) {
                for (auto it = ends.begin(); it != ends.end();) {
                    if (it->first <= now) {
                        dispatcher.release(it->second, now);
                        it = ends.erase(it);
                    } else {
                        ++it;
                    }
                }
                const bool isForRareAdapter = second == 2;
                dispatcher.request({.grant = {std::to_string(second)},
                                    .adapter = {isForRareAdapter ? "rare" : "hot", "1"},
                                    .baseModel = "base",
                                    .arrivedAt = now,
                                    .deadline = now + 100s},
                                   now);
                auto actions = dispatcher.step(now);
                for (std::size_t i = 0; i < actions.size(); ++i) {
                    if (const auto *unload = std::get_if<Owner::UnloadAction>(&actions[i])) {
                        dispatcher.finishUnload(unload->target, "1", unload->adapter, true, now);
                    } else if (const auto *load = std::get_if<Owner::LoadAction>(&actions[i])) {
                        dispatcher.finishLoad(load->target, "1", load->adapter, true);
                    } else if (const auto *grant = std::get_if<Owner::GrantAction>(&actions[i])) {
                        ends.emplace_back(now + 3s, grant->request.grant);
                        servedAt = grant->request.adapter.adapter == "rare" ? now : servedAt;
                        continue;
                    }
                    for (auto &followUp : dispatcher.step(now)) {
                        actions.push_back(std::move(followUp));
                    }
                }
            }
            CPPUNIT_ASSERT_MESSAGE(name, servedAt.has_value());
            CPPUNIT_ASSERT(*servedAt <= Core::TimePoint {} + 2s + policy->ageThreshold + 4s);
        }
    }

    void requestPastDeadlineIsRefused()
    {
        Core::TimePoint now {};
        Owner::Dispatcher dispatcher({.budget = {.loadsPerSecond = 0.001}}, now);
        dispatcher.resetTarget({"a"}, "1", 1, {}, now);
        dispatcher.setServing({"a"}, "base", true);
        dispatcher.request({.grant = {"g"}, .adapter = {"x", "1"}, .baseModel = "base", .deadline = now + 5s}, now);
        CPPUNIT_ASSERT(dispatcher.step(now).empty());
        const auto actions = dispatcher.step(now + 6s);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), actions.size());
        CPPUNIT_ASSERT(std::get<Owner::RefuseAction>(actions.front()).outcome == Owner::GrantOutcome::Overloaded);
        CPPUNIT_ASSERT(dispatcher.waiting().size() == 0);
    }

    // The host loses the target and gains it again in the same incarnation while a load order is in flight.
    void resultFromEarlierOwnershipIsIgnored()
    {
        const Core::AdapterVersion adapter {"outline", "1"};
        Owner::Dispatcher dispatcher({}, {});
        const auto gain = [&] {
            dispatcher.resetTarget({"a"}, "1", Slots, {}, {});
            dispatcher.setServing({"a"}, "base", true);
            dispatcher.report({"a"}, Batch, 0);
        };
        gain();
        dispatcher.request({.grant = {"g"}, .adapter = adapter, .baseModel = "base", .deadline = Core::TimePoint(60s)},
                           {});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), dispatcher.step({}).size());
        dispatcher.removeTarget({"a"});
        gain();
        dispatcher.finishLoad({"a"}, "1", adapter, true);
        dispatcher.finishUnload({"a"}, "1", adapter, true, {});
        CPPUNIT_ASSERT(dispatcher.tables().at({"a"}).find(adapter) == nullptr);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DispatcherTest);
