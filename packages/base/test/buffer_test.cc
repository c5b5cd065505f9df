#include <gtest/gtest.h>

#include <string>

#include "base/buffer.h"
#include "base/deflate.h"

// Guards against data appended in pieces that is lost or duplicated.
TEST(Buffer, KeepsAppendedDataInOrder)
{
    struct bf_buffer buffer = {};
    std::string all;
    for (size_t i = 0; i < 500; i++) {
        std::string piece(i % 37, static_cast<char>('a' + i % 26));
        all += piece;
        ASSERT_TRUE(Bf_Add(&buffer, piece.data(), piece.size()));
    }
    EXPECT_EQ(std::string(buffer.data, buffer.len), all);
    Bf_Free(&buffer);
    EXPECT_EQ(buffer.data, nullptr);
    EXPECT_EQ(buffer.len, 0u);
    ASSERT_TRUE(Bf_Add(&buffer, "x", 1));
    EXPECT_EQ(buffer.len, 1u);
    Bf_Free(&buffer);
}

// Guards against a daemon that accepts truncated or corrupt data as a peer's
// state, or runs out of memory because of a false length.
TEST(Deflate, RejectsTruncatedAndCorruptData)
{
    std::string text;
    for (int i = 0; i < 3000; i++) {
        text += "{\"Name\":\"r-" + std::to_string(i) +
                "\",\"Host\":\"a.example\"}";
    }
    struct bf_buffer packed = {};
    ASSERT_TRUE(Df_Compress(text.data(), text.size(), &packed));
    EXPECT_LT(packed.len, text.size() / 5);
    struct bf_buffer raw = {};
    ASSERT_TRUE(Df_Decompress(packed.data, packed.len, 1 << 20, &raw));
    EXPECT_EQ(std::string(raw.data, raw.len), text);
    Bf_Free(&raw);
    EXPECT_FALSE(
        Df_Decompress(packed.data, packed.len, text.size() - 1, &raw));
    for (size_t cut = 0; cut < packed.len; cut += 97) {
        EXPECT_FALSE(Df_Decompress(packed.data, cut, 1 << 20, &raw));
    }
    packed.data[9] = static_cast<char>(packed.data[9] ^ 0x5a);
    EXPECT_FALSE(Df_Decompress(packed.data, packed.len, 1 << 20, &raw));
    Bf_Free(&packed);
}
