// A model engine that sends bytes without end which are no answer.
#include <gtest/gtest.h>

#include "test/endless.h"
#include "test/scene.h"

namespace {

using cg::HttpResult;

const int kCalls = 6;

struct Case {
    const char *name;
    const char *begin;
    const char *filler;
};

const Case kCases[] = {
    {"Garbage", "", "no answer at all "},
    {"HeadLine", "HTTP/1.1 200 OK\r\nX-Pad: ", "xxxxxxxx"},
    {"Failure", "HTTP/1.1 500 Failed\r\nTransfer-Encoding: chunked\r\n\r\n",
     "4\r\nabcd\r\n"},
    {"Body",
     "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
     "Transfer-Encoding: chunked\r\n\r\n",
     "4\r\nabcd\r\n"},
    {"Comments",
     "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
     "Transfer-Encoding: chunked\r\n\r\n",
     "4\r\n:ab\n\r\n"},
};

void
PrintTo(const Case &value, std::ostream *out)
{
    *out << value.name;
}

class Endless : public testing::TestWithParam<Case> {
  protected:
    cg::Scene scene_;
};

// Guards against a daemon that reads such bytes on and on, and against callers
// who are not answered by another engine.
TEST_P(Endless, BytesThatAreNoAnswerAreCutOff)
{
    cg::EndlessEndpoint bad(GetParam().begin, GetParam().filler);
    scene_.AddEngine({"--token-us", "1000"});
    cg::EndpointHost host;
    host.id = "engine-bad";
    host.port = bad.Port();
    host.service = "rink";
    host.version = "v1";
    host.reclaimable = true;
    scene_.cluster.List(host);
    scene_.PublishDefaults();
    scene_.cluster.AddMany(1);
    ASSERT_TRUE(scene_.cluster.WaitReady());
    int number = 0;
    EXPECT_TRUE(cg::Eventually([&] {
        std::vector<cg::HttpCall> calls;
        for (int i = 0; i < kCalls; i++) {
            calls.push_back(scene_.Complete(
                0, "question " + std::to_string(number++), 4, true));
        }
        for (const HttpResult &result : HttpAll(calls)) {
            EXPECT_TRUE(ReadCompletion(result).done || result.code == 503)
                << result.code << result.body;
        }
        return bad.Requests() > 0;
    }));
    EXPECT_EQ(bad.Unbounded(), 0u);
    EXPECT_LE(bad.MostBytes(), cg::kEndlessBound);
}

std::string
NameOf(const testing::TestParamInfo<Case> &test)
{
    return test.param.name;
}

INSTANTIATE_TEST_SUITE_P(Bytes, Endless, testing::ValuesIn(kCases), NameOf);

} // namespace
