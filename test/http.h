// Blocking HTTP calls for tests, on libcurl: one at a time, many at once, or
// in the background; and what a stream of the completions API said.
#ifndef TEST_HTTP_H
#define TEST_HTTP_H

#include <chrono>
#include <functional>
#include <future>
#include <map>
#include <string>
#include <vector>

#include "test/json.h"

namespace cg {

using Headers = std::map<std::string, std::string>;
using Millis = std::chrono::milliseconds;

struct HttpCall {
    std::string method = "GET";
    std::string url;     // "127.0.0.1:80/path", or with "https://" before it
    std::string ca_file; // trusted for https
    Headers headers;
    std::string body;
    Millis timeout{20000};
    // Bytes of the body as they come; false gives the call up.
    std::function<bool(const std::string &)> on_data;
};

struct HttpResult {
    int code = 0;          // 0: no answer
    bool complete = false; // the whole answer came
    std::string error;     // why it is not complete
    Headers headers;       // names in lower case
    std::string body;
    // The connection: 0 when there was none.
    int local_port = 0;
    int remote_port = 0;
    std::chrono::system_clock::time_point ended;

    Json
    json() const
    {
        return Json::Parse(body);
    }
    std::string
    Header(const std::string &name) const
    {
        auto at = headers.find(name);
        return at != headers.end() ? at->second : "";
    }
};

// Time of day, UTC, as the daemons' logs show it.
std::string ClockTime(std::chrono::system_clock::time_point at);

HttpResult Http(const HttpCall &call);
HttpResult Http(const std::string &method, const std::string &url,
                const Headers &headers = {}, const std::string &body = "",
                Millis timeout = Millis(20000));
std::future<HttpResult> HttpAsync(const HttpCall &call);
// All calls at once, each on a connection of its own.
std::vector<HttpResult> HttpAll(const std::vector<HttpCall> &calls);

// What an answer of the completions API says, streamed or whole.
struct Completion {
    std::string text;
    std::vector<int> indexes; // of the events with a token
    std::vector<std::string> ids;
    bool done = false; // a whole answer, or [DONE] came last
    std::string error; // type of an error event or body
    Json usage;
};

Completion ReadCompletion(const HttpResult &result);
// The answer of the engines' stand-in to a prompt.
std::string ExpectedAnswer(const std::string &prompt, int max_tokens = 0);
// The prompt that a chat of one user message comes down to.
std::string ChatPrompt(const std::string &content);

} // namespace cg

#endif
