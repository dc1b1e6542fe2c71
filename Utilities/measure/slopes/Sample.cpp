#include <measure/slopes/Sample.h>

#include <LibOwner/SlotTable.h>
#include <Tests/Scenario/World.h>
#include <ctime>
#include <filesystem>
#include <malloc.h>
#include <unistd.h>

namespace Measure {

namespace {

constexpr auto WarmUp = std::chrono::seconds(20);
constexpr auto IdleTime = std::chrono::seconds(60);
constexpr std::size_t SlotsOfTarget = 4;
constexpr std::size_t GrantsOfSlot = 2;
constexpr int TimedRepeats = 200;

double processorMicroseconds()
{
    timespec time {};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) * 1e6 + static_cast<double>(time.tv_nsec) / 1e3;
}

std::size_t heapBytes()
{
    const auto information = mallinfo2();
    return information.uordblks + information.hblkhd;
}

std::string hostName(std::size_t number)
{
    return "host-" + std::to_string(number);
}

Ticket::FeedEntry adapterEntry(std::uint64_t sequence, std::size_t number)
{
    const Ticket::AdapterState adapter {.name = "outline-circle-" + std::to_string(number),
                                        .baseModel = "base",
                                        .versions = {"2026-01", "2026-02"},
                                        .currentVersion = "2026-02"};
    return {.sequence = sequence, .ticket = {.number = sequence, .submittedBy = "operator", .objects = {adapter}}};
}

void fill(Ticket::TicketState &state, std::size_t adapters)
{
    for (std::size_t i = 0; i < adapters; ++i) {
        (void)state.apply(adapterEntry(i + 1, i));
    }
}

void submitTicket(Scenario::World &world)
{
    const Ticket::AdapterState adapter {
        .name = "outline", .baseModel = "base", .versions = {"1"}, .currentVersion = "1"};
    const Ticket::RuleState rule {.name = "all", .customers = {"*"}, .adapters = {"*"}};
    world.submitTicket(hostName(0), {.number = 1, .submittedBy = "operator", .objects = {adapter, rule}},
                       [](const auto &) {});
}

struct Totals {
    Scenario::PlatformTraffic table;
    std::uint64_t peerMessages = 0;
    std::uint64_t peerBytes = 0;
    double processor = 0;
};

Totals totalsOf(Scenario::World &world, std::size_t hosts)
{
    Totals totals {.processor = processorMicroseconds()};
    for (std::size_t i = 0; i < hosts; ++i) {
        const auto &traffic = world.platform().trafficOf(hostName(i));
        totals.table.reads += traffic.reads;
        totals.table.writes += traffic.writes;
        totals.table.bytes += traffic.bytes;
        auto &router = world.host(hostName(i)).host->router();
        totals.peerMessages += router.sentMessages();
        totals.peerBytes += router.sentBytes();
    }
    return totals;
}

}

IdleSample sampleIdle(std::size_t hosts, std::size_t engines, std::size_t otherZoneHosts)
{
    Scenario::World world(1);
    for (std::size_t i = 0; i < hosts + otherZoneHosts; ++i) {
        world.addHost(hostName(i), i < hosts ? "a" : "b");
    }
    for (std::size_t i = 0; i < engines; ++i) {
        world.addEngine({.name = "engine-" + std::to_string(i), .zone = "a", .slots = SlotsOfTarget});
    }
    world.clock().advance(WarmUp);
    const auto before = totalsOf(world, hosts);
    world.clock().advance(IdleTime);
    const auto after = totalsOf(world, hosts);
    const auto perHostSecond = [&](auto value) {
        return static_cast<double>(value) / static_cast<double>(hosts)
            / std::chrono::duration<double>(IdleTime).count();
    };
    const auto all = static_cast<double>(hosts) / static_cast<double>(hosts + otherZoneHosts);
    return {.tableReads = perHostSecond(after.table.reads - before.table.reads),
            .tableWrites = perHostSecond(after.table.writes - before.table.writes),
            .tableBytes = perHostSecond(after.table.bytes - before.table.bytes),
            .peerMessages = perHostSecond(after.peerMessages - before.peerMessages),
            .peerBytes = perHostSecond(after.peerBytes - before.peerBytes),
            .processorMicroseconds = perHostSecond((after.processor - before.processor) * all)};
}

RequestSample sampleRequests(std::size_t count, std::uint32_t tokens)
{
    constexpr std::size_t Hosts = 2;
    Scenario::World world(1);
    world.addHost(hostName(0), "a");
    world.addHost(hostName(1), "a");
    world.addEngine({.name = "engine-0", .zone = "a", .slots = SlotsOfTarget});
    world.clock().advance(WarmUp);
    submitTicket(world);
    world.clock().advance(WarmUp);
    const auto send = [&](std::size_t number) {
        world.request("r" + std::to_string(number), hostName(number % Hosts), "noor", "outline", tokens,
                      std::chrono::seconds(60));
        world.clock().advance(std::chrono::milliseconds(20));
    };
    send(0);
    world.clock().advance(WarmUp);
    const auto before = totalsOf(world, Hosts);
    for (std::size_t i = 1; i <= count; ++i) {
        send(i);
    }
    const auto after = totalsOf(world, Hosts);
    const auto perRequest = [&](auto value) {
        return static_cast<double>(value) / static_cast<double>(count);
    };
    return {.peerMessages = perRequest(after.peerMessages - before.peerMessages),
            .peerBytes = perRequest(after.peerBytes - before.peerBytes),
            .processorMicroseconds = perRequest(after.processor - before.processor)};
}

std::size_t sampleTicketStateBytes(std::size_t adapters)
{
    const auto before = heapBytes();
    Ticket::TicketState state;
    fill(state, adapters);
    return heapBytes() - before;
}

double sampleTicketApply(std::size_t adapters)
{
    auto state = std::make_shared<Ticket::TicketState>();
    fill(*state, adapters);
    const auto begin = processorMicroseconds();
    for (int i = 0; i < TimedRepeats; ++i) {
        // The feed applies to a copy, so that running requests keep the state they began with.
        auto next = std::make_shared<Ticket::TicketState>(*state);
        (void)next->apply(adapterEntry(state->sequence() + 1, 0));
        state = std::move(next);
    }
    return (processorMicroseconds() - begin) / TimedRepeats;
}

std::size_t sampleSlotBytes(std::size_t targets)
{
    const auto before = heapBytes();
    std::vector<Owner::SlotTable> tables(targets);
    for (std::size_t target = 0; target < targets; ++target) {
        tables[target].reset("engine-" + std::to_string(target) + "-incarnation", SlotsOfTarget);
        for (std::size_t slot = 0; slot < SlotsOfTarget; ++slot) {
            const Core::AdapterVersion adapter {"outline-circle-" + std::to_string(slot), "2026-02"};
            tables[target].beginLoad(adapter, {});
            tables[target].finishLoad(adapter);
            for (std::size_t grant = 0; grant < GrantsOfSlot; ++grant) {
                tables[target].grant(adapter, {"grant-0123456789abcdef-" + std::to_string(grant)}, {});
            }
        }
    }
    return heapBytes() - before;
}

namespace {

std::string spanFile()
{
    return (std::filesystem::temp_directory_path() / ("currantbay-span-" + std::to_string(getpid()))).string();
}

Trace::Span makeSpan(Trace::Tracer &tracer)
{
    auto span = tracer.begin("front.completion", std::nullopt);
    span.set("currantbay.model", "outline-circle-1234");
    span.set("currantbay.outcome", "completed");
    return span;
}

}

std::size_t sampleSpanBytes()
{
    const auto path = spanFile();
    Core::IdSource ids(1);
    Trace::Tracer tracer(ids, {.file = path, .host = "host-1"});
    tracer.end(makeSpan(tracer));
    const auto size = std::filesystem::file_size(path);
    std::filesystem::remove(path);
    return size;
}

double sampleSpanTime()
{
    const auto path = spanFile();
    Core::IdSource ids(1);
    Trace::Tracer tracer(ids, {.file = path, .host = "host-1"});
    const auto begin = processorMicroseconds();
    for (int i = 0; i < TimedRepeats; ++i) {
        tracer.end(makeSpan(tracer));
    }
    const auto time = (processorMicroseconds() - begin) / TimedRepeats;
    std::filesystem::remove(path);
    return time;
}

}
