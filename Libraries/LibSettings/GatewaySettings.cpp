#include <LibSettings/GatewaySettings.h>

namespace Settings {

namespace {

constexpr long long DefaultBodyBytes = 8 << 20; // Twice what deployments allow callers to send today.
constexpr long long LargestBodyBytes = 64 << 20;
constexpr long long DefaultConnections = 2000;
constexpr long long MostConnections = 60000;
constexpr double DefaultMemoryMegabytes = 256;
constexpr double LeastMemoryMegabytes = 16;
constexpr double MostMemoryMegabytes = 1 << 20;
constexpr double BytesPerMegabyte = 1 << 20;
constexpr double DefaultGraceSeconds = 8;
constexpr double LongestGraceSeconds = 3600;
constexpr double DefaultApplyMilliseconds = 2000;
constexpr double LeastApplyMilliseconds = 100;
constexpr double LongestApplyMilliseconds = 600000;
// A host that isn't cut off knows that its configuration is at most some two seconds old.
constexpr double LeastRevokeMilliseconds = 3000;
constexpr double DefaultGapMilliseconds = 3000;
constexpr double LongestGapMilliseconds = 60000;
constexpr double DefaultWindowSeconds = 10;
constexpr double LongestWindowSeconds = 3600;
constexpr double LeastWeight = 0.01;
constexpr double MostWeight = 1000;
constexpr double DefaultRetryRatio = 0.2;
constexpr double DefaultRetryExtra = 50;
constexpr double MostRetryExtra = 1000000;

using Seconds = std::chrono::duration<double>;
using Milliseconds = std::chrono::duration<double, std::milli>;

// Deployments derive these settings from their bounds, which may be fractions.
template<typename Unit>
Core::Duration readDuration(SettingsReader &reader, const char *name, double fallback, double least, double most)
{
    return std::chrono::duration_cast<Core::Duration>(Unit(reader.fraction(name, fallback, least, most)));
}

nlohmann::json parseJson(std::string_view text)
{
    try {
        return nlohmann::json::parse(text, nullptr, true, true);
    } catch (const nlohmann::json::parse_error &error) {
        throw InvalidSettings({std::string("settings: found text that isn't JSON with comments: ") + error.what()});
    }
}

}

bool isGatewaySettings(std::string_view text)
{
    const auto json = parseJson(text);
    return json.is_object() && json.contains("mode") && json["mode"] == "gateway";
}

GatewaySettings parseGatewaySettings(std::string_view text)
{
    const auto json = parseJson(text);
    std::vector<std::string> mistakes;
    SettingsReader root(json, "", mistakes);
    GatewaySettings settings;
    (void)root.choice("mode", "gateway", {"gateway"});
    auto host = root.object("host");
    settings.hostId = host.text("id");
    settings.zone = host.text("zone");
    settings.weight = host.fraction("weight", 1, LeastWeight, MostWeight);
    host.finish();
    auto listen = root.object("listen");
    settings.callerAddress = listen.address("callers");
    settings.readinessAddress = listen.address("readiness");
    settings.peerAddress = listen.address("peers");
    settings.metricsAddress = listen.text("metrics", "");
    listen.finish();
    auto platform = root.object("platform");
    settings.platformAddress = platform.address("address");
    platform.finish();
    settings.peerKey = root.text("peerKey");
    auto limits = root.object("limits");
    settings.largestBodyBytes
        = static_cast<std::size_t>(limits.number("bodyBytes", DefaultBodyBytes, 1, LargestBodyBytes));
    settings.mostConnections
        = static_cast<unsigned>(limits.number("connections", DefaultConnections, 1, MostConnections));
    settings.memoryBytes = static_cast<std::size_t>(
        limits.fraction("memoryMegabytes", DefaultMemoryMegabytes, LeastMemoryMegabytes, MostMemoryMegabytes)
        * BytesPerMegabyte);
    settings.stopGrace = readDuration<Seconds>(limits, "stopGraceSeconds", DefaultGraceSeconds, 1, LongestGraceSeconds);
    limits.finish();
    auto changes = root.object("changes");
    settings.changeApplyTime = readDuration<Milliseconds>(changes, "applyMilliseconds", DefaultApplyMilliseconds,
                                                          LeastApplyMilliseconds, LongestApplyMilliseconds);
    settings.drainTime = readDuration<Milliseconds>(changes, "drainMilliseconds", DefaultApplyMilliseconds,
                                                    LeastApplyMilliseconds, LongestApplyMilliseconds);
    changes.finish();
    auto accounts = root.object("accounts");
    settings.revocationBound = readDuration<Milliseconds>(accounts, "revokeMilliseconds", 0, LeastRevokeMilliseconds,
                                                          LongestApplyMilliseconds);
    accounts.finish();
    auto orders = root.object("orders");
    settings.orderGap
        = readDuration<Milliseconds>(orders, "gapMilliseconds", DefaultGapMilliseconds, 0, LongestGapMilliseconds);
    orders.finish();
    auto retries = root.object("retries");
    settings.retryRatio = retries.fraction("ratio", DefaultRetryRatio, 0, 1);
    settings.retryExtra = retries.fraction("extra", DefaultRetryExtra, 0, MostRetryExtra);
    settings.retryWindow
        = readDuration<Seconds>(retries, "windowSeconds", DefaultWindowSeconds, 1, LongestWindowSeconds);
    retries.finish();
    root.finish();
    if (!mistakes.empty()) {
        throw InvalidSettings(std::move(mistakes));
    }
    return settings;
}

}
