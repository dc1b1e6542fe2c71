#include <LibSettings/DaemonSettings.h>

#include <LibCore/StepError.h>
#include <fstream>
#include <sstream>

namespace Settings {

namespace {

constexpr long long DefaultBodyBytes = 1 << 20;
constexpr long long LargestBodyBytes = 64 << 20;
constexpr long long DefaultConnections = 2000;
constexpr long long MostConnections = 60000;
constexpr double DefaultMemoryMegabytes = 256;
constexpr double LeastMemoryMegabytes = 16;
constexpr double MostMemoryMegabytes = 1 << 20;
constexpr double BytesPerMegabyte = 1 << 20;
constexpr long long DefaultRequestMilliseconds = 120000;
constexpr long long LongestRequestMilliseconds = 3600000;
constexpr long long DefaultStreamSilenceMilliseconds = 5000;
constexpr long long DefaultLeaveMilliseconds = 5000;
constexpr long long LongestLeaveMilliseconds = 600000;
constexpr long long DefaultDrainMilliseconds = 150000;

constexpr long long MostStoreLoads = 1000000;
constexpr long long MostStoreHosts = 10000;
constexpr double SecondsPerThousandSeconds = 1000;

void readPolicy(SettingsReader &root, DaemonSettings &settings)
{
    auto policy = root.object("policy");
    settings.weighting = policy.choice("weighting", "load-stalls", {"load-stalls", "batch-efficiency"});
    auto store = policy.object("weightStore");
    settings.storeLoadsPerSecond = static_cast<double>(store.number("loadsPerThousandSeconds", 0, 0, MostStoreLoads))
        / SecondsPerThousandSeconds;
    settings.storeLoadsAtFullSpeed = static_cast<unsigned>(store.number("loadsAtFullSpeed", 0, 0, MostStoreLoads));
    settings.storeHosts = static_cast<unsigned>(store.number("hosts", 1, 1, MostStoreHosts));
    store.finish();
    policy.finish();
}

std::vector<TokenHolder> readTokens(SettingsReader &reader, const char *list, const char *name)
{
    std::vector<TokenHolder> holders;
    for (auto &entry : reader.objects(list)) {
        holders.push_back({.name = entry.text(name), .token = entry.text("token")});
        entry.finish();
    }
    return holders;
}

}

DaemonSettings parseDaemonSettings(std::string_view text)
{
    nlohmann::json json;
    try {
        json = nlohmann::json::parse(text, nullptr, true, true);
    } catch (const nlohmann::json::parse_error &error) {
        throw InvalidSettings({std::string("settings: found text that isn't JSON with comments: ") + error.what()});
    }
    std::vector<std::string> mistakes;
    SettingsReader root(json, "", mistakes);
    DaemonSettings settings;
    auto host = root.object("host");
    settings.hostId = host.text("id");
    settings.zone = host.text("zone");
    host.finish();
    auto listen = root.object("listen");
    settings.callerAddress = listen.address("callers");
    settings.peerAddress = listen.address("peers");
    listen.finish();
    auto platform = root.object("platform");
    settings.platformAddress = platform.address("address");
    platform.finish();
    settings.peers = root.addresses("peers");
    settings.peerKey = root.text("peerKey");
    settings.callers = readTokens(root, "callers", "customer");
    settings.operators = readTokens(root, "operators", "name");
    auto trace = root.object("trace");
    settings.traceFile = trace.text("file", "");
    trace.finish();
    auto limits = root.object("limits");
    settings.largestBodyBytes
        = static_cast<std::size_t>(limits.number("bodyBytes", DefaultBodyBytes, 1, LargestBodyBytes));
    settings.mostConnections
        = static_cast<unsigned>(limits.number("connections", DefaultConnections, 1, MostConnections));
    settings.memoryBytes = static_cast<std::size_t>(
        limits.fraction("memoryMegabytes", DefaultMemoryMegabytes, LeastMemoryMegabytes, MostMemoryMegabytes)
        * BytesPerMegabyte);
    settings.requestTimeout = std::chrono::milliseconds(
        limits.number("requestMilliseconds", DefaultRequestMilliseconds, 1, LongestRequestMilliseconds));
    settings.leaveGrace = std::chrono::milliseconds(
        limits.number("leaveMilliseconds", DefaultLeaveMilliseconds, 0, LongestLeaveMilliseconds));
    settings.drainTimeout = std::chrono::milliseconds(
        limits.number("drainMilliseconds", DefaultDrainMilliseconds, 0, LongestRequestMilliseconds));
    settings.streamSilence = std::chrono::milliseconds(
        limits.number("streamSilenceMilliseconds", DefaultStreamSilenceMilliseconds, 1, LongestRequestMilliseconds));
    limits.finish();
    readPolicy(root, settings);
    root.finish();
    if (!mistakes.empty()) {
        throw InvalidSettings(std::move(mistakes));
    }
    return settings;
}

std::string readSettingsFile(const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        throw Core::StepError("read settings", path, "the file can't be opened");
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

DaemonSettings loadDaemonSettings(const std::string &path)
{
    return parseDaemonSettings(readSettingsFile(path));
}

}
