#include <currantbay/Commands.h>

#include <iostream>

namespace Client {

namespace {

struct RequestOptions {
    std::string model;
    std::string prompt;
    int mostTokens = 16;
    bool isStreamed = false;
};

ExitCode send(const CommonOptions &common, const RequestOptions &options)
{
    const nlohmann::json body {{"model", options.model},
                               {"prompt", options.prompt},
                               {"max_tokens", options.mostTokens},
                               {"stream", options.isStreamed}};
    ApiClient client(common.connection);
    if (options.isStreamed) {
        const auto answer = client.call("POST", "/v1/completions", body.dump(), [](std::string_view piece) {
            std::cout << piece << std::flush;
        });
        return answer.isSuccess() ? ExitCode::Done : reportFailure(answer);
    }
    const auto answer = client.call("POST", "/v1/completions", body.dump());
    return show(common, answer, {"model", "choices"}, [](const nlohmann::json &json) {
        std::cout << "answered by: " << json.value("model", "") << " on target " << json.value("target", "") << '\n';
        for (const auto &choice : json["choices"]) {
            std::cout << choice.value("text", "") << '\n';
        }
    });
}

}

void addRequestCommand(CLI::App &app, const CommonOptions &common, ExitCode &exitCode)
{
    auto *request = app.add_subcommand("request", "Send one request and print the answer");
    auto options = std::make_shared<RequestOptions>();
    request->add_option("model", options->model, "Adapter, or adapter@version")->required();
    request->add_option("prompt", options->prompt, "The prompt")->required();
    request->add_option("--max-tokens", options->mostTokens, "Longest answer")->check(CLI::PositiveNumber);
    request->add_flag("--stream", options->isStreamed, "Print the answer's events as they arrive");
    request->callback([&common, &exitCode, options] {
        exitCode = send(common, *options);
    });
}

}
