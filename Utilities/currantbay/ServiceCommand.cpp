#include <currantbay/Commands.h>

#include <iostream>

namespace Client {

namespace {

struct ServiceOptions {
    std::string method;
    std::string path;
    std::string key;
    std::string body;
};

ExitCode call(const CommonOptions &common, const ServiceOptions &options)
{
    ApiClient client(common.connection);
    std::vector<std::string> headers;
    if (!options.key.empty()) {
        headers.push_back("Idempotency-Key: " + options.key);
    }
    const auto answer = client.call(options.method, options.path, options.body, nullptr, headers);
    if (!answer.isSuccess()) {
        return reportFailure(answer);
    }
    std::cout << answer.body << '\n';
    return ExitCode::Done;
}

}

void addServiceCommand(CLI::App &app, const CommonOptions &common, ExitCode &exitCode)
{
    auto *service = app.add_subcommand("service", "Call a plain service and print its answer");
    auto options = std::make_shared<ServiceOptions>();
    service->add_option("method", options->method, "GET, POST, ...")->required();
    service->add_option("path", options->path, "The path, which begins with the route")->required();
    service->add_option("--key", options->key, "Idempotency key; the same when a call is repeated");
    service->add_option("--body", options->body, "The request's body");
    service->callback([&common, &exitCode, options] {
        exitCode = call(common, *options);
    });
}

}
