#include <LibPlatform/HttpPlatform.h>

#include <LibCore/HttpStatus.h>
#include <LibCore/JsonText.h>
#include <LibNet/PercentEncoding.h>
#include <LibPlatform/PlatformJson.h>

namespace Platform {

HttpPlatform::HttpPlatform(Net::HttpClient &client, HttpPlatformOptions options)
    : m_client(client)
    , m_options(std::move(options))
{
}

Net::HttpRequest HttpPlatform::request(std::string method, const std::string &path) const
{
    return {.method = std::move(method),
            .url = "http://" + m_options.address + path,
            .headers = {"Content-Type: application/json"},
            .totalTimeout = m_options.timeout};
}

void HttpPlatform::transact(Transaction transaction, TransactionFunction done)
{
    auto outgoing = request("POST", "/v1/transact");
    if (auto body = Core::toExactText(toJson(transaction)); body.has_value()) {
        outgoing.body = std::move(*body);
    } else {
        // The transport reports that nothing was sent.
        outgoing.isStillPermitted = [] {
            return false;
        };
    }
    m_client.start(std::move(outgoing), [done = std::move(done)](const Net::HttpResult &result) {
        if (result.isComplete() && result.status == Core::HttpStatus::Ok) {
            done({.outcome = TransactionOutcome::Committed});
        } else if (result.isComplete() && result.status == Core::HttpStatus::Conflict) {
            done({.outcome = TransactionOutcome::Conflicted});
        } else if (!result.isComplete() && !result.mayHaveBeenSent) {
            done({.outcome = TransactionOutcome::NotSent, .error = result.error});
        } else {
            done({.outcome = TransactionOutcome::Unknown, .error = result.describeFailure()});
        }
    });
}

void HttpPlatform::read(std::string_view table, std::string_view key, ReadFunction done)
{
    m_client.start(request("GET", "/v1/row?table=" + Net::percentEncode(table) + "&key=" + Net::percentEncode(key)),
                   [done = std::move(done)](const Net::HttpResult &result) {
                       if (result.isComplete() && result.status == Core::HttpStatus::NotFound) {
                           done({.isAvailable = true});
                           return;
                       }
                       const auto json = nlohmann::json::parse(result.body, nullptr, false);
                       if (!result.isComplete() || result.status != Core::HttpStatus::Ok || json.is_discarded()) {
                           done({.error = result.describeFailure()});
                           return;
                       }
                       ReadResult read;
                       try {
                           read = {.isAvailable = true, .row = rowFromJson(json)};
                       } catch (const nlohmann::json::exception &error) {
                           read = {.error = error.what()};
                       }
                       done(std::move(read));
                   });
}

void HttpPlatform::scan(std::string_view table, std::string_view afterKey, std::size_t limit, ScanFunction done)
{
    const auto path = "/v1/rows?table=" + Net::percentEncode(table) + "&after=" + Net::percentEncode(afterKey)
        + "&most=" + std::to_string(limit);
    m_client.start(request("GET", path), [done = std::move(done)](const Net::HttpResult &result) {
        const auto json = nlohmann::json::parse(result.body, nullptr, false);
        if (!result.isComplete() || result.status != Core::HttpStatus::Ok || !json.is_array()) {
            done({.error = result.describeFailure()});
            return;
        }
        ScanResult scanned {.isAvailable = true};
        try {
            for (const auto &row : json) {
                scanned.rows.push_back(rowFromJson(row));
            }
        } catch (const nlohmann::json::exception &error) {
            scanned = {.error = error.what()};
        }
        done(std::move(scanned));
    });
}

void HttpPlatform::list(ListFunction done)
{
    m_client.start(request("GET", "/v1/hosts"), [done = std::move(done)](const Net::HttpResult &result) {
        const auto json = nlohmann::json::parse(result.body, nullptr, false);
        if (!result.isComplete() || result.status != Core::HttpStatus::Ok || !json.is_array()) {
            done(std::nullopt);
            return;
        }
        std::optional<std::vector<ListedMachine>> machines {std::in_place};
        try {
            for (const auto &machine : json) {
                machines->push_back(machineFromJson(machine));
            }
        } catch (const nlohmann::json::exception &) {
            machines.reset();
        }
        done(std::move(machines));
    });
}

}
