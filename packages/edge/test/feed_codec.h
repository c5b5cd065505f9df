#ifndef EDGE_TEST_FEED_CODEC_H
#define EDGE_TEST_FEED_CODEC_H

#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <string>

#include "edge/store.h"

// In tests, a configuration is its version in digits, and an endpoint's entry
// is "draining", "rubbish" (invalid) or any other text (ready).
inline struct ec_config *
DecodeConfig(const void *data, size_t len)
{
    struct ec_config *config = Ec_Create();
    config->version =
        strtoll(std::string(static_cast<const char *>(data), len).c_str(),
                nullptr, 10);
    return config;
}

inline bool
IsConfig(const char *key, size_t key_len)
{
    return std::string(key, key_len) == "config";
}

inline bool
DecodeEntry(const char *key, size_t key_len, const void *data, size_t len,
            struct fl_entry *out)
{
    *out = {};
    std::string text(static_cast<const char *>(data), len);
    if (text == "rubbish") {
        return false;
    }
    snprintf(out->id, sizeof(out->id), "%.*s", static_cast<int>(key_len), key);
    snprintf(out->service, sizeof(out->service), "llm");
    snprintf(out->address, sizeof(out->address), "127.0.0.1:1");
    out->slots = 4;
    out->draining = text == "draining";
    return true;
}

inline bool
DecodeOrder(const char *key, size_t key_len, const void *data, size_t len,
            struct ro_order *out)
{
    *out = {};
    snprintf(out->service, sizeof(out->service), "%.*s",
             static_cast<int>(key_len), key);
    snprintf(out->target, sizeof(out->target), "%.*s", static_cast<int>(len),
             static_cast<const char *>(data));
    return std::string(key, key_len) != "other";
}

inline bool
DecodeEvacuation(const char *key, size_t key_len, char zone[Ec_NAME_MAX])
{
    std::string text(key, key_len);
    if (text.rfind("evacuate/", 0) != 0) {
        return false;
    }
    snprintf(zone, Ec_NAME_MAX, "%s", text.c_str() + strlen("evacuate/"));
    return true;
}

inline bool
EncodeMoveStatus(const struct ro_move *move, struct ag_status_record *out)
{
    (void)move;
    (void)out;
    return false;
}

static const struct ag_codec codec = {DecodeConfig,     IsConfig,
                                      DecodeOrder,      DecodeEvacuation,
                                      EncodeMoveStatus, DecodeEntry};

#endif
