// The platform around the entry hosts of a case: the store, replicas, and the hosts as separate processes.
#pragma once

#include "Net.hh"

#include <algorithm>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <sys/prctl.h>
#include <sys/wait.h>

namespace Review {

using Json = nlohmann::json;

// Writes record.txt: what was sent, answered and run, with milliseconds since the start.
class Record
{
public:
    explicit Record(const std::string &file)
        : m_file(file)
    {
    }
    void write(const std::string &line)
    {
        const std::lock_guard lock(m_mutex);
        m_file << millisecondsSince(m_start) << " ms  " << line << '\n' << std::flush;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    Clock::time_point m_start = Clock::now();
};

inline std::string toBase64(const std::string &bytes)
{
    static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    std::size_t i = 0;
    for (; i < bytes.size(); i += 3) {
        const auto at = [&](std::size_t index) {
            return index < bytes.size() ? static_cast<unsigned char>(bytes[index]) : 0U;
        };
        const unsigned group = (at(i) << 16U) | (at(i + 1) << 8U) | at(i + 2);
        text += digits[(group >> 18U) & 63U];
        text += digits[(group >> 12U) & 63U];
        text += i + 1 < bytes.size() ? digits[(group >> 6U) & 63U] : '=';
        text += i + 2 < bytes.size() ? digits[group & 63U] : '=';
    }
    return text;
}

inline std::string fromBase64(const std::string &text)
{
    static const std::string digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string bytes;
    unsigned group = 0;
    int bits = 0;
    for (const char c : text) {
        const auto digit = digits.find(c);
        if (digit == std::string::npos) {
            break;
        }
        group = (group << 6U) | static_cast<unsigned>(digit);
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            bytes += static_cast<char>((group >> static_cast<unsigned>(bits)) & 255U);
        }
    }
    return bytes;
}

// The platform's store: /rows-tx, /rows-get and /rows-feed, for rows with an empty part.
class Store
{
public:
    // What becomes of a transaction.
    struct Fate {
        bool isAnswered = true;
        std::chrono::milliseconds late {}; // Done so much later, if its condition still holds.
    };
    // Decides the fate of a transaction of an entry host.
    std::function<Fate(const Json &transaction)> fate;
    // Runs after a transaction of an entry host has been applied.
    std::function<void(const Json &transaction, std::uint64_t version)> applied;

    Store()
        : m_server([this](Connection &connection, const Request &request) {
            return handle(connection, request);
        })
    {
    }
    [[nodiscard]] std::string address() const
    {
        return m_server.address();
    }
    [[nodiscard]] std::uint16_t port() const
    {
        return m_server.port();
    }
    // Writes a row as the operator or a replica does.
    std::uint64_t put(const std::string &table, const std::string &key, const std::string &value)
    {
        const std::lock_guard lock(m_mutex);
        change(table, key, value, ++m_version);
        m_changed.notify_all();
        return m_version;
    }
    void remove(const std::string &table, const std::string &key)
    {
        const std::lock_guard lock(m_mutex);
        change(table, key, std::nullopt, ++m_version);
        m_changed.notify_all();
    }
    // The value of a row, if it exists.
    std::optional<std::string> value(const std::string &table, const std::string &key)
    {
        const std::lock_guard lock(m_mutex);
        const auto &row = m_tables[table][key];
        return row.value;
    }

private:
    struct Row {
        std::optional<std::string> value; // Empty if it was removed.
        std::uint64_t version = 0;
    };

    void change(const std::string &table, const std::string &key, std::optional<std::string> value,
                std::uint64_t version)
    {
        m_tables[table][key] = {.value = std::move(value), .version = version};
    }

    bool handle(Connection &connection, const Request &request)
    {
        if (request.path() == "/rows-tx") {
            return transact(connection, request);
        }
        std::this_thread::sleep_for(4ms);
        std::unique_lock lock(m_mutex);
        const auto table = request.query("table");
        std::uint64_t after = 0;
        const auto from = request.query("from");
        const bool isFeed = request.path() == "/rows-feed";
        if (isFeed) {
            after = std::stoull(request.query("after"));
            m_changed.wait_for(lock, std::chrono::milliseconds(std::stol(request.query("wait_ms"))), [&] {
                return std::ranges::any_of(m_tables[table], [after](const auto &row) {
                    return row.second.version > after;
                });
            });
        }
        std::vector<std::pair<std::uint64_t, Json>> rows;
        for (const auto &[key, row] : m_tables[table]) {
            if (isFeed ? row.version <= after : (!row.value.has_value() || key < from)) {
                continue;
            }
            Json json {{"table", table}, {"part", ""}, {"key", key}, {"ver", row.version}};
            if (row.value.has_value()) {
                json["value"] = toBase64(*row.value);
            } else {
                json["removed"] = true;
            }
            rows.emplace_back(row.version, std::move(json));
        }
        if (isFeed) {
            std::ranges::sort(rows, {}, [](const auto &row) {
                return row.first;
            });
        }
        auto list = Json::array();
        for (auto &row : rows) {
            list.push_back(std::move(row.second));
        }
        const Json answer {{"rows", list}, {"truncated", false}, {"ver", m_version}, {"now_ms", now()}};
        lock.unlock();
        return connection.send(response(200, "Content-Type: application/json\r\n", answer.dump()));
    }

    bool transact(Connection &connection, const Request &request)
    {
        std::this_thread::sleep_for(4ms);
        const auto json = Json::parse(request.body);
        const auto decided = fate ? fate(json) : Fate {};
        if (decided.late > 0ms) {
            std::thread([this, json, late = decided.late] {
                std::this_thread::sleep_for(late);
                apply(json);
            }).detach();
        }
        if (!decided.isAnswered) {
            if (decided.late == 0ms) {
                apply(json);
            }
            // A channel on which an answer is lost delivers nothing further.
            while (!connection.isPeerGone()) {
                std::this_thread::sleep_for(20ms);
            }
            return false;
        }
        const auto version = apply(json);
        return version.has_value()
            ? connection.send(
                response(200, "Content-Type: application/json\r\n", Json {{"ver", *version}, {"now_ms", now()}}.dump()))
            : connection.send(response(412, "Content-Type: application/json\r\n", R"({"rows":[]})"));
    }

    std::optional<std::uint64_t> apply(const Json &json)
    {
        std::uint64_t version = 0;
        {
            const std::lock_guard lock(m_mutex);
            for (const auto &row : json.value("expected_rev", Json::array())) {
                const auto &known = m_tables[row.at("table")][row.at("key")];
                const auto current = known.value.has_value() ? known.version : 0;
                if (row.at("ver").get<std::uint64_t>() != current) {
                    return std::nullopt;
                }
            }
            version = ++m_version;
            for (const auto &row : json.value("puts", Json::array())) {
                change(row.at("table"), row.at("key"), fromBase64(row.at("value").get<std::string>()), version);
            }
            for (const auto &row : json.value("remove", Json::array())) {
                change(row.at("table"), row.at("key"), std::nullopt, version);
            }
            m_changed.notify_all();
        }
        if (applied) {
            applied(json, version);
        }
        return version;
    }

    [[nodiscard]] std::int64_t now() const
    {
        return millisecondsSince(m_start);
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::uint64_t m_version = 100;
    std::map<std::string, std::map<std::string, Row>> m_tables;
    Clock::time_point m_start = Clock::now();
    Server m_server;
};

inline std::int64_t unixMilliseconds()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

struct ReplicaOptions {
    std::string id;
    std::string service;
    std::string zone = "zone-1";
    unsigned slots = 64;
    std::string model; // Empty for a service without models.
    std::size_t adapterSlots = 17;
    std::chrono::milliseconds loadTime = 250ms;
    std::chrono::milliseconds work = 15ms; // Of a request of a service without models.
    unsigned events = 57;
    std::chrono::milliseconds eventGap = 20ms;
};

// An order that a replica has received.
struct SeenOrder {
    std::int64_t at = 0; // Milliseconds since the start of the replica.
    std::string holder;
    std::uint64_t fence = 0;
    std::string text;
    int status = 0;
};

// A sound replica, as PROTOCOL.md describes it. A case may take over requests with `trouble`.
class Replica
{
public:
    // Handles a request instead of the replica. Returns no value to leave it to the replica, else whether the channel
    // stays open.
    std::function<std::optional<bool>(Connection &, const Request &)> trouble;
    std::function<void(const SeenOrder &)> onOrder;

    Replica(Store &store, ReplicaOptions options)
        : m_store(store)
        , m_options(std::move(options))
        , m_server([this](Connection &connection, const Request &request) {
            return handle(connection, request);
        })
    {
        writeEntry();
    }
    [[nodiscard]] const ReplicaOptions &options() const
    {
        return m_options;
    }
    void writeEntry()
    {
        Json entry;
        {
            const std::lock_guard lock(m_mutex);
            entry = {{"service", m_options.service},
                     {"address", m_server.address()},
                     {"zone", m_options.zone},
                     {"version", "v1"},
                     {"slots", m_options.slots},
                     {"state", "ready"},
                     {"cold_left_ms", 0},
                     {"phase", "colocated"},
                     {"seq", m_seq},
                     {"born", m_born}};
            if (!m_options.model.empty()) {
                entry["models"] = models();
            }
        }
        m_store.put("servers", m_options.id, entry.dump());
    }
    // How often each attempt has run here.
    std::map<std::string, int> runs()
    {
        const std::lock_guard lock(m_mutex);
        return m_runs;
    }
    std::vector<SeenOrder> orders()
    {
        const std::lock_guard lock(m_mutex);
        return m_orders;
    }
    [[nodiscard]] std::string stampOf(const Request &request) const
    {
        return "X-Attempt-Id: " + request.head.field("X-Attempt-Id") + "\r\nX-Server-Stamp: stamp." + m_options.id
            + "\r\n";
    }

private:
    struct Copy {
        std::uint64_t version = 1;
        Clock::time_point readyAt;
    };

    [[nodiscard]] Json models() const
    {
        auto adapters = Json::array();
        for (const auto &[name, copy] : m_adapters) {
            if (copy.readyAt <= Clock::now()) {
                adapters.push_back(name + '@' + std::to_string(copy.version));
            }
        }
        return Json::array({{{"name", m_options.model}, {"version", 1}, {"adapters", adapters}}});
    }

    bool handle(Connection &connection, const Request &request)
    {
        const auto expected = request.head.field("X-Expect-Instance");
        if (!expected.empty() && expected != m_options.id) {
            return connection.send(response(421, "X-Instance-Id: " + m_options.id + "\r\n", ""));
        }
        if (request.path() == "/report") {
            return connection.send(response(200, "Content-Type: application/json\r\n", report().dump()));
        }
        if (request.path() == "/order") {
            const int status = order(request);
            return connection.send(response(status, "", ""));
        }
        if (trouble) {
            if (const auto isOpen = trouble(connection, request); isOpen.has_value()) {
                return *isOpen;
            }
        }
        return run(connection, request);
    }

    Json report()
    {
        const std::lock_guard lock(m_mutex);
        auto coming = Json::array();
        for (const auto &[name, copy] : m_adapters) {
            if (copy.readyAt > Clock::now()) {
                coming.push_back(m_options.model + '/' + name + '@' + std::to_string(copy.version));
            }
        }
        return {{"phase", "colocated"}, {"models", models()}, {"busy", false}, {"seq", m_seq},
                {"queued", 0},          {"active", 0},        {"kv_used", 0},  {"kv_total", 120000},
                {"handles", 0},         {"coming", coming},   {"born", m_born}};
    }

    int order(const Request &request)
    {
        const auto json = Json::parse(request.body, nullptr, false);
        SeenOrder seen {.at = millisecondsSince(m_start), .text = request.body};
        if (!json.is_object() || !json.contains("holder") || !json.contains("fence_token")) {
            return 400;
        }
        seen.holder = json["holder"];
        seen.fence = json["fence_token"];
        {
            const std::lock_guard lock(m_mutex);
            seen.status = decide(json);
            m_orders.push_back(seen);
        }
        if (onOrder) {
            onOrder(seen);
        }
        return seen.status;
    }

    int decide(const Json &json)
    {
        const auto name = json.value("adapter", std::string());
        const auto version = std::max<std::uint64_t>(json.value("version", std::uint64_t {0}), 1);
        const bool isLoad = json.value("op_kind", std::string()) == "load";
        const auto found = m_adapters.find(name);
        if (name.empty() && isLoad) {
            return 200; // The model is here.
        }
        if (isLoad && found != m_adapters.end() && found->second.version >= version) {
            return found->second.readyAt <= Clock::now() ? 200 : 202;
        }
        if (!isLoad && found == m_adapters.end()) {
            return 200;
        }
        if (json.contains("expected_rev") && json["expected_rev"] != m_seq) {
            return 409;
        }
        ++m_seq;
        if (!isLoad) {
            m_adapters.erase(found);
            return 200;
        }
        m_adapters[name] = {.version = version, .readyAt = Clock::now() + m_options.loadTime};
        return 202;
    }

    bool run(Connection &connection, const Request &request)
    {
        const auto attempt = request.head.field("X-Attempt-Id");
        if (attempt.empty()) {
            return connection.send(response(400, "X-Not-Run: 1\r\n", ""));
        }
        const auto model = request.head.field("X-Model");
        const auto slash = model.find('/');
        {
            const std::lock_guard lock(m_mutex);
            if (slash != std::string::npos) {
                const auto copy = m_adapters.find(model.substr(slash + 1));
                if (copy == m_adapters.end() || copy->second.readyAt > Clock::now()) {
                    connection.send(response(421, "X-Attempt-Id: " + attempt + "\r\n", ""));
                    return true;
                }
            }
            ++m_runs[attempt];
        }
        if (model.empty()) {
            std::this_thread::sleep_for(m_options.work);
            return connection.send(response(200, stampOf(request), "done " + attempt + '\n'));
        }
        if (!connection.send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
                             + stampOf(request) + "\r\n")) {
            return false;
        }
        for (unsigned id = 1; id <= m_options.events; ++id) {
            std::this_thread::sleep_for(m_options.eventGap);
            const auto event = "id: " + std::to_string(id) + "\ndata: token-" + std::to_string(id) + "\n\n";
            char size[16];
            std::snprintf(size, sizeof size, "%zx\r\n", event.size());
            if (connection.isPeerGone() || !connection.send(size + event + "\r\n")) {
                return false;
            }
        }
        return connection.send("0\r\n\r\n");
    }

    Store &m_store;
    ReplicaOptions m_options;
    std::mutex m_mutex;
    std::uint64_t m_seq = 0;
    std::int64_t m_born = unixMilliseconds();
    std::map<std::string, Copy> m_adapters;
    std::map<std::string, int> m_runs;
    std::vector<SeenOrder> m_orders;
    Clock::time_point m_start = Clock::now();
    Server m_server;
};

// The folder of the deploy file's build, in which this program stands too.
inline std::string targetFolder()
{
    return std::filesystem::read_symlink("/proc/self/exe").parent_path().parent_path().string();
}

// One entry host: a process with the command of the deploy file, and settings like those of its template.
class Host
{
public:
    Host(std::string folder, std::string id, std::string zone, const std::string &storeAddress)
        : m_folder(std::move(folder))
        , m_id(std::move(id))
        , m_callerPort(freePort())
        , m_readinessPort(freePort())
    {
        const auto on = [](std::uint16_t port) {
            return "127.0.0.1:" + std::to_string(port);
        };
        const Json settings {{"mode", "gateway"},
                             {"host", {{"id", m_id}, {"zone", zone}, {"weight", 0.25}}},
                             {"listen",
                              {{"callers", on(m_callerPort)},
                               {"readiness", on(m_readinessPort)},
                               {"peers", on(freePort())},
                               {"metrics", on(freePort())}}},
                             {"platform", {{"address", storeAddress}}},
                             {"peerKey", "currantbay-hosts"},
                             {"limits", {{"stopGraceSeconds", 8}, {"connections", 2000}}},
                             {"changes", {{"applyMilliseconds", 2000}, {"drainMilliseconds", 2000}}},
                             {"orders", {{"gapMilliseconds", 3000}}},
                             {"retries", {{"ratio", 0.2}, {"extra", 54}, {"windowSeconds", 10}}}};
        std::ofstream(settingsFile()) << settings.dump(4) << '\n';
    }
    ~Host()
    {
        kill(SIGKILL);
        wait();
    }
    Host(const Host &) = delete;
    Host &operator=(const Host &) = delete;

    [[nodiscard]] std::string settingsFile() const
    {
        return m_folder + '/' + m_id + ".json";
    }
    [[nodiscard]] const std::string &id() const
    {
        return m_id;
    }
    [[nodiscard]] std::uint16_t callerPort() const
    {
        return m_callerPort;
    }
    void start()
    {
        const auto program = targetFolder() + "/Services/currantbayd/currantbayd";
        const auto file = settingsFile();
        const auto log = m_folder + '/' + m_id + ".log";
        m_isEnded = false;
        m_pid = fork();
        if (m_pid == 0) {
            const int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
            prctl(PR_SET_PDEATHSIG, SIGKILL); // It ends with the case, whatever ends that.
            dup2(fd, STDOUT_FILENO);
            dup2(fd, STDERR_FILENO);
            execl(program.c_str(), program.c_str(), "--settings", file.c_str(), nullptr);
            _exit(127);
        }
    }
    void kill(int signal) const
    {
        if (m_pid > 0 && !m_isEnded) {
            ::kill(m_pid, signal);
        }
    }
    // Waits for the end of the process.
    void wait()
    {
        if (m_pid > 0 && !m_isEnded) {
            waitpid(m_pid, &m_status, 0);
            m_isEnded = true;
        }
    }
    // Whether the process has ended by itself, or by a signal.
    bool hasEnded()
    {
        if (!m_isEnded && m_pid > 0 && waitpid(m_pid, &m_status, WNOHANG) == m_pid) {
            m_isEnded = true;
        }
        return m_isEnded;
    }
    [[nodiscard]] std::string end() const
    {
        return WIFSIGNALED(m_status) ? "signal " + std::to_string(WTERMSIG(m_status))
                                     : "exit code " + std::to_string(WEXITSTATUS(m_status));
    }
    [[nodiscard]] pid_t pid() const
    {
        return m_pid;
    }
    // Resident memory in megabytes (10^6 bytes), without what is shared with files.
    [[nodiscard]] double memory() const
    {
        std::ifstream status("/proc/" + std::to_string(m_pid) + "/status");
        std::string line;
        while (std::getline(status, line)) {
            if (line.starts_with("RssAnon:")) {
                return std::strtod(line.c_str() + 8, nullptr) * 1024 / 1e6;
            }
        }
        return 0;
    }
    [[nodiscard]] bool isReady() const
    {
        const auto connection = connectTo(m_readinessPort, 500ms);
        return connection != nullptr
            && exchange(*connection, "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n", Clock::now() + 500ms).status == 200;
    }
    bool awaitReady(std::chrono::milliseconds time = 10s) const
    {
        for (const auto end = Clock::now() + time; Clock::now() < end;) {
            if (isReady()) {
                return true;
            }
            std::this_thread::sleep_for(50ms);
        }
        return false;
    }

private:
    std::string m_folder;
    std::string m_id;
    std::uint16_t m_callerPort;
    std::uint16_t m_readinessPort;
    pid_t m_pid = -1;
    int m_status = 0;
    bool m_isEnded = false;
};

// The operator's first config: a stream route for the models, a safe and an unsafe route for the plain service.
inline Json firstConfig()
{
    return {{"version", 7},
            {"routes",
             {{{"name", "r-outline"},
               {"host", "ficu95.example"},
               {"prefix", "/outline/"},
               {"kind", "stream"},
               {"timeout_ms", 15000},
               {"slo_ms", 800},
               {"priority", 2},
               {"service", "lm"},
               {"max_attempts", 1},
               {"sticky", true},
               {"resumable", false},
               {"gap_aim_ms", 300}},
              {{"name", "r-prem"},
               {"host", "ficu95.example"},
               {"prefix", "/prem/"},
               {"kind", "stream"},
               {"timeout_ms", 30000},
               {"slo_ms", 1000},
               {"priority", 1},
               {"service", "lm"},
               {"max_attempts", 2},
               {"sticky", true},
               {"resumable", true},
               {"gap_aim_ms", 300}},
              {{"name", "r-join"},
               {"host", "ficu95.example"},
               {"prefix", "/join/"},
               {"kind", "unsafe"},
               {"timeout_ms", 600},
               {"slo_ms", 100},
               {"priority", 2},
               {"service", "app"},
               {"max_attempts", 1}},
              {{"name", "r-check"},
               {"host", "ficu95.example"},
               {"prefix", "/check/"},
               {"kind", "safe"},
               {"timeout_ms", 600},
               {"slo_ms", 100},
               {"priority", 2},
               {"service", "app"},
               {"max_attempts", 2}}}},
            {"services",
             {{{"name", "lm"},
               {"health_path", "/health"},
               {"max_conns", 360},
               {"protocol", "h1"},
               {"tls", false},
               {"engine",
                {{"slots", 64},
                 {"kv_capacity_tokens", 122239},
                 {"kv_token_bytes", 163840},
                 {"models",
                  {{{"name", "m0"},
                    {"weights_size", 72700.0},
                    {"load_s", 5.7},
                    {"adapters", 3000},
                    {"adapter_mb", 66.0},
                    {"warm_s", 0.81},
                    {"disk_s", 2.3}}}},
                 {"weights_size", 75300.0},
                 {"adapter_slots", 17},
                 {"loads_per_s", 2.1}}}},
              {{"name", "app"}, {"health_path", "/health"}, {"max_conns", 100}, {"protocol", "h1"}, {"tls", false}}}},
            {"limits",
             {{"max_header_bytes", 16384},
              {"max_body_bytes", 4194304},
              {"header_timeout_ms", 3000},
              {"idle_timeout_ms", 15000}}}};
}

// Creates a stand-in that lives until the process ends, as its threads do.
template<typename StandIn, typename... Arguments> StandIn &keep(Arguments &&...arguments)
{
    return *new StandIn(std::forward<Arguments>(arguments)...);
}

// Whether the case is played with its disruption.
inline bool hasTrouble()
{
    const char *text = std::getenv("TROUBLE");
    return text == nullptr || std::string(text) != "0";
}

// Runs a case in a temporary folder: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
inline int runCase(const char *recordFile, const std::function<bool(const std::string &folder, Record &)> &isBroken)
{
    std::signal(SIGPIPE, SIG_IGN);
    Record record(recordFile);
    auto folder = (std::filesystem::temp_directory_path() / "currantbay-XXXXXX").string();
    int result = 2;
    if (mkdtemp(folder.data()) != nullptr) {
        try {
            result = isBroken(folder, record) ? 1 : 0;
        } catch (const std::exception &error) {
            record.write(std::string("the case couldn't run: ") + error.what());
        }
        if (std::getenv("KEEP") == nullptr) {
            std::filesystem::remove_all(folder);
        }
    }
    record.write(result == 2       ? "result: not run"
                     : result == 1 ? "result: the rule was broken"
                                   : "result: the rule held");
    std::_Exit(result);
}

}
