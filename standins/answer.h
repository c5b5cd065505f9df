/*
 * The answer of the engine's stand-in as a function of the prompt alone, so
 * that engines of every version give the same one and a test can compare
 * bytes.  Kept in a header for the stand-in, the tests and the load program.
 *
 * A prompt has a token every An_BYTES_PER_TOKEN bytes.  An answer has 8 to 64
 * tokens, or as many as "tokens=N" within the prompt says, but never more
 * than the request's max_tokens.  The prompt of a chat is the role, a line
 * break, the content and a line break of each message in turn.
 */
#ifndef STANDINS_ANSWER_H
#define STANDINS_ANSWER_H

#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#ifdef __cplusplus
extern "C" {
#endif

#define An_BYTES_PER_TOKEN 4
#define An_TOKENS_LEAST 8
#define An_TOKENS_RANGE 57
#define An_TOKENS_MOST 100000
#define An_TOKEN_SIZE 8 /* text of one token with its NUL */

/* FNV-1a of the prompt. */
static inline uint64_t
An_Hash(const char *prompt, size_t len)
{
    uint64_t hash = UINT64_C(0xcbf29ce484222325);
    for (size_t i = 0; i < len; i++) {
        hash ^= (unsigned char)prompt[i];
        hash *= UINT64_C(0x100000001b3);
    }
    return hash;
}

static inline int
An_PromptTokens(size_t len)
{
    return (int)((len + An_BYTES_PER_TOKEN - 1) / An_BYTES_PER_TOKEN);
}

/* Tokens of the whole answer; max_tokens of 0 sets no limit. */
static inline int
An_Tokens(const char *prompt, size_t len, int max_tokens)
{
    static const char mark[] = "tokens=";
    int tokens =
        An_TOKENS_LEAST + (int)(An_Hash(prompt, len) % An_TOKENS_RANGE);
    const char *asked =
        (const char *)memmem(prompt, len, mark, sizeof(mark) - 1);
    if (asked != NULL) {
        long wanted = strtol(asked + sizeof(mark) - 1, NULL, 10);
        if (wanted > 0 && wanted <= An_TOKENS_MOST) {
            tokens = (int)wanted;
        }
    }
    return max_tokens > 0 && max_tokens < tokens ? max_tokens : tokens;
}

/* The text of token "index": a space and a short word. */
static inline void
An_Token(uint64_t hash, int index, char out[An_TOKEN_SIZE])
{
    uint64_t mixed = (hash + (uint64_t)index) * UINT64_C(0x9e3779b97f4a7c15);
    mixed ^= mixed >> 29;
    mixed *= UINT64_C(0xbf58476d1ce4e5b9);
    int letters = 2 + (int)((mixed >> 60) % 5);
    out[0] = ' ';
    for (int i = 1; i <= letters; i++) {
        out[i] = (char)('a' + (mixed >> (5 * i)) % 26);
    }
    out[letters + 1] = '\0';
}

/* The text of tokens first to end - 1; to be freed. */
static inline char *
An_Text(const char *prompt, size_t len, int first, int end)
{
    size_t count = end > first ? (size_t)(end - first) : 0;
    char *text = (char *)malloc(count * An_TOKEN_SIZE + 1);
    if (text == NULL) {
        return NULL;
    }
    uint64_t hash = An_Hash(prompt, len);
    char *at = text;
    *at = '\0';
    for (int i = first; i < end; i++) {
        An_Token(hash, i, at);
        at += strlen(at);
    }
    return text;
}

#ifdef __cplusplus
}
#endif

#endif
