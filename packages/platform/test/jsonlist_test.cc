#include <gtest/gtest.h>

#include <string>

#include "platform/jsonlist.h"

namespace {

struct Read {
    bool whole;
    size_t count;
    size_t unreadable;
};

Read
ReadList(const std::string &text)
{
    size_t unreadable;
    json_t *list = Jl_Read(text.data(), text.size(), "hosts", &unreadable);
    Read read = {list != nullptr, json_array_size(list), unreadable};
    json_decref(list);
    return read;
}

std::string
Nested(size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

const char kSound[] = "{\"id\":\"a [}\\\"\",\"port\":80}";

// One odd entry makes a daemon ignore the whole list, and with it all hosts
// that come and go.
TEST(JsonList, AnOddEntryHidesNoOther)
{
    const std::string odd[] = {
        Nested(60000),
        "{\"port\":" + Nested(3000) + "}",
        "{\"port\":" + std::string(400, '9') + "}",
        "{\"price\":1e400}",
        "{\"id\":nothing}",
        "{\"id\":\"\xff\"}",
    };
    for (const std::string &entry : odd) {
        std::string text = std::string("{\"more\":[1,{}], \"hosts\": [") +
                           kSound + "," + entry + ", " + kSound +
                           "] ,\"next\":1}";
        Read read = ReadList(text);
        EXPECT_TRUE(read.whole) << entry.substr(0, 40);
        EXPECT_EQ(read.count, 2u) << entry.substr(0, 40);
        EXPECT_EQ(read.unreadable, 1u) << entry.substr(0, 40);
    }
}

// A list that was cut off is taken for one with fewer hosts.
TEST(JsonList, APartOfAListIsNone)
{
    std::string text = std::string("{\"hosts\":[") + kSound + "," + kSound +
                       "],\"next\":\"x\"}";
    EXPECT_EQ(ReadList(text).count, 2u);
    for (size_t len = 0; len < text.size(); len++) {
        EXPECT_FALSE(ReadList(text.substr(0, len)).whole) << len;
    }
    EXPECT_FALSE(ReadList(text + "]").whole);
    EXPECT_FALSE(ReadList("{\"hosts\":{}}").whole);
    EXPECT_FALSE(ReadList("{\"host\":[]}").whole);
    EXPECT_FALSE(ReadList("[]").whole);
    EXPECT_TRUE(ReadList("{\"hosts\":[]}").whole);
}

} // namespace
