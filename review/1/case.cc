// A client sends requests whose framing is ambiguous; the text of another request is part of their bodies.
#include "World.hh"

using namespace Review;

namespace {

// How a client says where the body of its request ends.
struct Framing {
    std::string name;
    std::string fields; // LENGTH stands for the number of bytes of the body.
    std::string before; // Bytes of the body before the text of the inner request.
};

std::string innerRequest(const std::string &id)
{
    return "POST /join/hidden HTTP/1.1\r\nHost: ficu95.example\r\nX-Attempt-Id: " + id
        + "\r\nX-Deadline-Ms: 600\r\nContent-Length: 0\r\n\r\n";
}

std::string outerRequest(const std::string &id, const Framing &framing, const std::string &body)
{
    auto fields = framing.fields;
    fields.replace(fields.find("LENGTH"), 6, std::to_string(body.size()));
    return "POST /join/open HTTP/1.1\r\nHost: ficu95.example\r\nX-Attempt-Id: " + id + "\r\nX-Deadline-Ms: 600\r\n"
        + fields + "\r\n" + body;
}

bool isBroken(const std::string &folder, Record &record)
{
    auto &store = keep<Store>();
    store.put("op", "config", firstConfig().dump());
    std::vector<Replica *> replicas;
    for (const auto *id : {"i-app1", "i-app2"}) {
        replicas.push_back(&keep<Replica>(store, ReplicaOptions {.id = id, .service = "app", .slots = 6}));
    }
    const auto runsOf = [&replicas](const std::string &attempt) {
        int runs = 0;
        for (auto *replica : replicas) {
            runs += replica->runs()[attempt];
        }
        return runs;
    };
    Host host(folder, "front-1", "zone-1", store.address());
    host.start();
    if (!host.awaitReady()) {
        throw std::runtime_error("the host isn't ready");
    }
    std::this_thread::sleep_for(1s);

    const std::vector<Framing> sound {{"one Content-Length", "Content-Length: LENGTH\r\n", ""}};
    const std::vector<Framing> ambiguous {
        {"Content-Length and Transfer-Encoding", "Content-Length: LENGTH\r\nTransfer-Encoding: chunked\r\n",
         "0\r\n\r\n"},
        {"space before the colon of Content-Length", "Content-Length : LENGTH\r\n", ""},
        {"two Content-Length", "Content-Length: 0\r\nContent-Length: LENGTH\r\n", ""},
    };
    bool isSmuggled = false;
    int number = 0;
    for (const auto &framing : hasTrouble() ? ambiguous : sound) {
        for (int i = 0; i < 3; ++i) {
            ++number;
            const auto outer = "outer-" + std::to_string(number);
            const auto inner = "inner-" + std::to_string(number);
            const auto bytes = outerRequest(outer, framing, framing.before + innerRequest(inner));
            const auto channel = connectTo(host.callerPort());
            if (channel == nullptr) {
                throw std::runtime_error("no connection to the host");
            }
            record.write("sent (" + framing.name + "): " + Json(bytes).dump());
            channel->send(bytes);
            const auto end = Clock::now() + 700ms;
            while (channel->receive(end)) { }
            record.write("answered: " + Json(channel->buffer).dump());
            record.write(outer + " ran " + std::to_string(runsOf(outer)) + " times, " + inner + " ran "
                         + std::to_string(runsOf(inner)) + " times");
            isSmuggled = isSmuggled || runsOf(inner) > 0;
        }
    }
    return isSmuggled;
}

}

int main(int argc, char **argv)
{
    return argc == 2 ? runCase(argv[1], isBroken) : 2;
}
