#include <LibCore/VirtualScheduler.h>
#include <LibOwner/OrderGate.h>
#include <cppunit/extensions/HelperMacros.h>

namespace {

// Ownership of every target, which ends when the lease does.
struct LeasedOwnership final : public Membership::OwnershipView {
    std::optional<Membership::Ownership> ownerOf(const Core::TargetId & /*target*/) const override
    {
        return std::nullopt;
    }
    std::vector<Membership::Ownership> owned() const override
    {
        return {};
    }
    void onGained(std::function<void(const Membership::OwnershipGain &)> /*function*/) override
    {
    }
    void onLost(std::function<void(const Core::TargetId &)> /*function*/) override
    {
    }
    void onEvictionPermissionChanged(std::function<void()> /*function*/) override
    {
    }
    bool isUnloadSafe(const Core::TargetId & /*target*/, const Core::AdapterVersion & /*adapter*/) const override
    {
        return isLeased;
    }
    bool mayLoad(const Core::TargetId & /*target*/) const override
    {
        return isLeased;
    }
    void requestEvictionPermission(const Core::TargetId & /*target*/, const Core::AdapterVersion & /*adapter*/) override
    {
    }
    void beginUnload(const Core::TargetId & /*target*/, const Core::AdapterVersion & /*adapter*/) override
    {
    }
    void endUnload(const Core::TargetId & /*target*/, const Core::AdapterVersion & /*adapter*/) override
    {
    }
    bool hasStopped(const Core::TargetId & /*target*/) const override
    {
        return !isLeased;
    }
    bool mayStillBeEvicted(const Core::TargetId & /*target*/, const Core::AdapterVersion & /*adapter*/) const override
    {
        return false;
    }
    std::vector<Core::HostId> unconfirmedPreviousHolders(const Core::TargetId & /*target*/) const override
    {
        return {};
    }
    void confirmStopped(const Core::TargetId & /*target*/, const Core::HostId & /*previousHolder*/) override
    {
    }
    bool recordOwnership(const Membership::Ownership & /*ownership*/) override
    {
        return true;
    }

    bool isLeased = true;
};

// Keeps orders, as while their connections are being established.
struct ConnectingEngines final : public Engine::EngineLink {
    void load(const Engine::EngineAddress & /*engine*/, const Engine::AdapterOrder &order,
              OrderFunction /*done*/) override
    {
        orders.push_back(order);
    }
    void unload(const Engine::EngineAddress & /*engine*/, const Engine::AdapterOrder &order,
                OrderFunction /*done*/) override
    {
        orders.push_back(order);
    }
    void status(const Engine::EngineAddress & /*engine*/, StatusFunction /*done*/) override
    {
    }
    Engine::StreamId generate(const Engine::EngineAddress & /*engine*/, const Engine::GenerateRequest & /*request*/,
                              StreamFunction /*events*/) override
    {
        return Engine::StreamId::None;
    }
    void cancel(Engine::StreamId /*stream*/) override
    {
    }

    std::vector<Engine::AdapterOrder> orders;
};

}

class OrderGateTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(OrderGateTest);
    CPPUNIT_TEST(orderLosesItsPermissionWithTheLease);
    CPPUNIT_TEST_SUITE_END();

    // A host that is suspended while it connects to an engine may go on when another host owns the target.
    void orderLosesItsPermissionWithTheLease()
    {
        Core::VirtualScheduler scheduler;
        LeasedOwnership ownership;
        ConnectingEngines engines;
        Owner::OrderGate gate(scheduler, engines, ownership);
        const auto ignore = [](Engine::OrderOutcome) {};
        gate.load({.target = {"e1"}, .address = "127.0.0.1:1"}, {.adapter = {"outline", "1"}}, ignore);
        gate.unload({.target = {"e1"}, .address = "127.0.0.1:1"}, {.adapter = {"recap", "1"}}, ignore);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), engines.orders.size());
        for (const auto &order : engines.orders) {
            CPPUNIT_ASSERT(order.isPermitted());
        }
        ownership.isLeased = false;
        for (const auto &order : engines.orders) {
            CPPUNIT_ASSERT(!order.isPermitted());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OrderGateTest);
