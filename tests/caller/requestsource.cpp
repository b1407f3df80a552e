#include "caller/requestsource.h"

#include "protocol/jsonreader.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

namespace Apricot {

namespace {

std::string validationError(const Json &json)
{
    if (json.is_discarded() || !json.is_object()) {
        return "not a JSON object";
    }
    for (const auto &[key, value] : json.items()) {
        static const std::vector<std::string> known{"service", "rank", "workspace", "prompt", "maxTokens", "operation", "idempotencyKey"};
        if (std::find(known.begin(), known.end(), key) == known.end()) {
            return "unknown member \"" + key + "\"";
        }
        if (key == "maxTokens" ? !value.is_number_integer() : !value.is_string()) {
            return "member \"" + key + "\" has the wrong type";
        }
    }
    if (jsonText(json, "service").empty()) {
        return "\"service\" is missing";
    }
    if (jsonText(json, "prompt").empty() && jsonText(json, "operation").empty()) {
        return "\"prompt\" (or \"operation\" for a plain service) is missing";
    }
    return {};
}

std::vector<std::string> readPrompts(const std::string &directory)
{
    std::vector<std::filesystem::path> files;
    std::error_code ec;
    for (const auto &entry : std::filesystem::directory_iterator(directory, ec)) {
        if (entry.path().extension() == ".txt") {
            files.push_back(entry.path());
        }
    }
    std::sort(files.begin(), files.end());
    std::vector<std::string> prompts;
    for (const auto &file : files) {
        std::ifstream stream(file);
        std::ostringstream text;
        text << stream.rdbuf();
        prompts.push_back(text.str());
    }
    return prompts;
}

}

std::vector<InputRequest> readInputFile(const std::string &path)
{
    std::vector<InputRequest> requests;
    std::ifstream stream(path);
    if (!stream) {
        std::cout << path << ": cannot open the input file for reading\n";
    }
    std::string line;
    for (int n = 1; std::getline(stream, line); ++n) {
        if (line.find_first_not_of(" \t\r") == std::string::npos) {
            continue;
        }
        const Json json = Json::parse(line, nullptr, false);
        if (const std::string error = validationError(json); !error.empty()) {
            std::cout << path << ":" << n << ": refused: " << error << "\n";
            continue;
        }
        InputRequest request;
        request.service = jsonText(json, "service");
        request.rank = jsonText(json, "rank");
        request.workspace = jsonText(json, "workspace");
        request.prompt = jsonText(json, "prompt");
        request.maxTokens = jsonInteger(json, "maxTokens", 0);
        request.operation = jsonText(json, "operation");
        request.idempotencyKey = jsonText(json, "idempotencyKey");
        requests.push_back(std::move(request));
    }
    return requests;
}

std::vector<InputRequest> generateMix(const std::string &promptDirectory, int count, const MixNames &names, const std::string &run)
{
    const std::vector<std::string> prompts = readPrompts(promptDirectory);
    std::vector<InputRequest> requests;
    int sent = 0;
    for (int i = 0; sent < count && !prompts.empty(); ++i) {
        InputRequest request;
        request.workspace = absl::StrCat("workspace-", i % 7);
        if (i % 10 == 3) {
            request.service = names.plainService;
            request.operation = names.booking;
            request.idempotencyKey = absl::StrCat(run, "-booking-", i);
            request.copies = 2;
        } else if (i % 10 == 6) {
            request.service = names.plainService;
            request.operation = names.lookup;
        } else {
            request.service = names.modelService;
            request.rank = i % 3 == 0 ? names.urgentRank : names.patientRank;
            request.prompt = absl::StrCat(prompts[static_cast<std::size_t>(i) % prompts.size()], "\nVisit ", i, "\n");
            request.maxTokens = 200;
            request.cancel = i == 8;
        }
        sent += request.copies;
        requests.push_back(std::move(request));
    }
    return requests;
}

}
