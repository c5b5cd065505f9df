#include <gtest/gtest.h>

#include <string>

#include "base/buffer.h"

// Bytes that came in pieces are handed on with some of them missing or twice.
TEST(Buffer, KeepsWhatWasAddedInOrder)
{
    struct bf_buffer buffer = {};
    std::string all;
    for (size_t i = 0; i < 500; i++) {
        std::string piece(i % 37, static_cast<char>('a' + i % 26));
        all += piece;
        ASSERT_TRUE(Bf_Add(&buffer, piece.data(), piece.size()));
    }
    EXPECT_EQ(std::string(buffer.at, buffer.len), all);
    Bf_Free(&buffer);
    EXPECT_EQ(buffer.at, nullptr);
    EXPECT_EQ(buffer.len, 0u);
    ASSERT_TRUE(Bf_Add(&buffer, "x", 1));
    EXPECT_EQ(buffer.len, 1u);
    Bf_Free(&buffer);
}
