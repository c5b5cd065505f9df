#include <gtest/gtest.h>

#include <cstdlib>
#include <string>
#include <vector>

#include "platform/engine.h"
#include "platform/jsoncall.h"
#include "platform/sse.h"

namespace {

void
collect(void *arg, const char *data, size_t len)
{
    static_cast<std::vector<std::string> *>(arg)->emplace_back(data, len);
}

TEST(Sse, EventsDoNotDependOnTheSplit)
{
    const std::string text = "data: one\r\n\r\nevent: x\ndata: two\ndata:2\n\n"
                             ": comment\n\ndata: [DONE]\n\n";
    const std::vector<std::string> want = {"one", "two\n2", "[DONE]"};
    for (size_t chunk_len = 1; chunk_len < text.size(); chunk_len++) {
        std::vector<std::string> got;
        struct ss_parser *parser = Ss_Create(64);
        for (size_t at = 0; at < text.size(); at += chunk_len) {
            std::string chunk = text.substr(at, chunk_len);
            ASSERT_EQ(ST_OK, Ss_Feed(parser, chunk.data(), chunk.size(),
                                     collect, &got));
        }
        EXPECT_EQ(want, got) << "chunk length " << chunk_len;
        Ss_Destroy(parser);
    }
}

TEST(Sse, RefusesAnOverlongLine)
{
    std::vector<std::string> got;
    struct ss_parser *parser = Ss_Create(16);
    std::string chunk = "data: 12345678901234567890";
    EXPECT_EQ(ST_INVALID,
              Ss_Feed(parser, chunk.data(), chunk.size(), collect, &got));
    Ss_Destroy(parser);
}

TEST(Target, RefusesMalformedAddresses)
{
    struct jc_target target;
    EXPECT_EQ(ST_OK, Jc_ParseTarget("127.0.0.1:80", &target));
    EXPECT_EQ(80, target.port);
    EXPECT_EQ(ST_INVALID, Jc_ParseTarget("127.0.0.1", &target));
    EXPECT_EQ(ST_INVALID, Jc_ParseTarget("127.0.0.1:0", &target));
    EXPECT_EQ(ST_INVALID, Jc_ParseTarget(":9", &target));
}

enum st_status
read_prompt(const std::string &path, const std::string &body)
{
    struct en_prompt prompt;
    enum st_status status =
        En_ReadPrompt(path.c_str(), body.data(), body.size(), &prompt);
    if (status == ST_OK) {
        En_PromptFree(&prompt);
    }
    return status;
}

TEST(Prompt, RefusesMalformedBodies)
{
    const std::string path = "/v1/completions";
    const char *const bad[] = {
        "",
        "[]",
        "{}",
        "{\"model\":7,\"prompt\":\"x\"}",
        "{\"model\":\"m\",\"prompt\":7}",
        "{\"model\":\"m\",\"prompt\":\"x\",\"stream\":1}",
        "{\"model\":\"m\",\"prompt\":\"x\",\"max_tokens\":0}",
        "{\"model\":\"m\",\"model\":\"n\",\"prompt\":\"x\"}",
        "{\"model\":\"m\",\"prompt\":\"x\"",
    };
    for (const char *body : bad) {
        EXPECT_EQ(ST_INVALID, read_prompt(path, body)) << body;
    }
    EXPECT_EQ(ST_OK, read_prompt(path, "{\"model\":\"m\",\"prompt\":\"x\"}"));
    EXPECT_EQ(ST_INVALID, read_prompt("/v1/chat/completions",
                                      "{\"model\":\"m\",\"messages\":[]}"));
    EXPECT_EQ(ST_OK,
              read_prompt("/v1/chat/completions",
                          "{\"model\":\"m\",\"messages\":[{\"role\":\"user\","
                          "\"content\":\"x\"}]}"));
}

TEST(Event, ReadsAChatTokenAndRefusesAnEventWithoutText)
{
    struct en_event event;
    std::string token = "{\"id\":\"r1\",\"index\":3,\"choices\":[{\"delta\":"
                        "{\"content\":\"ab\"}}]}";
    ASSERT_EQ(ST_OK, En_ReadEvent(token.data(), token.size(), &event));
    EXPECT_EQ(EN_TOKEN, event.kind);
    EXPECT_EQ(3, event.index);
    EXPECT_STREQ("ab", event.text);
    char *out = En_CallerEvent(&event, "r9", "m");
    EXPECT_NE(nullptr, strstr(out, "\"r9\""));
    free(out);
    En_EventFree(&event);
    std::string bad = "{\"id\":\"r1\"}";
    EXPECT_EQ(ST_INVALID, En_ReadEvent(bad.data(), bad.size(), &event));
}

} // namespace
