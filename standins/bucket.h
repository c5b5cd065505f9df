/* A token bucket: so many takes a second, with a burst. */
#ifndef STANDINS_BUCKET_H
#define STANDINS_BUCKET_H

#include <stdbool.h>
#include <stdint.h>

struct bk_bucket {
    double rate; /* takes a second */
    double burst;
    double level;
    int64_t last; /* microseconds */
};

void Bk_Init(struct bk_bucket *bucket, double rate, double burst, int64_t now);
bool Bk_Take(struct bk_bucket *bucket, int64_t now);

#endif
