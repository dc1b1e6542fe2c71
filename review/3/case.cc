// The settings files of three busy hosts change, and each gets SIGHUP.
#include "World.hh"

using namespace Review;

namespace {

constexpr auto PlayTime = 88s;
// The three hosts get their signals at the same pace: one each in this time.
constexpr auto HupGap = 1100ms;
constexpr int ClientsPerHost = 12;
constexpr auto RouteTimeout = 600ms;
constexpr auto AnswerSlack = 500ms;

// What the clients of one host have seen.
struct Seen {
    std::atomic<int> answered = 0;
    std::atomic<int> ended = 0; // Ended without an answer before the route's timeout.
    std::atomic<int> unanswered = 0; // No answer half a second after the route's timeout.
};

void sendRequests(const Host &host, Seen &seen, const std::string &client, const std::atomic<bool> &isOver)
{
    for (int number = 0; !isOver;) {
        const auto channel = connectTo(host.callerPort());
        while (channel != nullptr && !isOver) {
            const auto id = client + '-' + std::to_string(++number);
            const auto answer
                = exchange(*channel,
                           "POST /join/1 HTTP/1.1\r\nHost: ficu95.example\r\nX-Attempt-Id: " + id
                               + "\r\nX-Deadline-Ms: 600\r\nContent-Length: 600\r\n\r\n" + std::string(600, 'x'),
                           Clock::now() + RouteTimeout + AnswerSlack);
            if (answer.isComplete) {
                ++seen.answered;
                continue;
            }
            ++(channel->isTimedOut() ? seen.unanswered : seen.ended);
            break;
        }
    }
}

bool isBroken(const std::string &folder, Record &record)
{
    auto &store = keep<Store>();
    store.put("op", "config", firstConfig().dump());
    for (const auto *id : {"i-app1", "i-app2", "i-app3"}) {
        keep<Replica>(store, ReplicaOptions {.id = id, .service = "app", .slots = 64, .work = 1ms});
    }
    std::vector<std::unique_ptr<Host>> hosts;
    std::vector<Seen> seen(3);
    for (int i = 1; i <= 3; ++i) {
        hosts.push_back(std::make_unique<Host>(folder, "front-" + std::to_string(i), "zone-1", store.address()));
        hosts.back()->start();
    }
    for (const auto &host : hosts) {
        if (!host->awaitReady()) {
            throw std::runtime_error("a host isn't ready");
        }
    }
    std::this_thread::sleep_for(1s);
    std::atomic<bool> isOver = false;
    std::vector<std::thread> clients;
    for (std::size_t i = 0; i < hosts.size(); ++i) {
        for (int client = 0; client < ClientsPerHost; ++client) {
            clients.emplace_back([&host = *hosts[i], &hostSeen = seen[i], &isOver,
                                  name = "c-" + std::to_string(i) + '-' + std::to_string(client)] {
                sendRequests(host, hostSeen, name, isOver);
            });
        }
    }
    const auto report = [&](int signals) {
        for (std::size_t i = 0; i < hosts.size(); ++i) {
            record.write(hosts[i]->id() + ": " + std::to_string(signals) + " SIGHUP, answered "
                         + std::to_string(seen[i].answered) + ", ended early " + std::to_string(seen[i].ended)
                         + ", unanswered half a second after the route's timeout " + std::to_string(seen[i].unanswered)
                         + (hosts[i]->hasEnded() ? ", process ended by " + hosts[i]->end() : ""));
        }
    };
    bool isHung = false;
    int signals = 0;
    const auto start = Clock::now();
    while (Clock::now() - start < PlayTime && !isHung) {
        std::this_thread::sleep_for(HupGap);
        if (hasTrouble()) {
            ++signals;
            for (const auto &host : hosts) {
                host->kill(SIGHUP);
            }
        }
        for (std::size_t i = 0; i < hosts.size(); ++i) {
            isHung = isHung || hosts[i]->hasEnded() || seen[i].unanswered >= ClientsPerHost;
        }
        if (signals % 10 == 0) {
            report(signals);
        }
    }
    if (isHung) {
        // A host that only was slow would answer again.
        std::this_thread::sleep_for(2s);
        record.write("a host has stopped answering");
        report(signals);
        std::vector<int> before;
        for (const auto &host : seen) {
            before.push_back(host.answered);
        }
        std::this_thread::sleep_for(5s);
        record.write("five seconds later, without further signals");
        report(signals);
        isHung = false;
        for (std::size_t i = 0; i < hosts.size(); ++i) {
            if (seen[i].answered == before[i]) {
                isHung = true;
                record.write(hosts[i]->id() + " answers nothing any more; its readiness: "
                             + (hosts[i]->isReady() ? "200" : "no answer"));
            }
        }
    }
    isOver = true;
    for (auto &client : clients) {
        client.join();
    }
    return isHung;
}

}

int main(int argc, char **argv)
{
    return argc == 2 ? runCase(argv[1], isBroken) : 2;
}
