/*
 * Limits per customer, divided among all daemons by demand. Each daemon
 * publishes the demand of its callers (Am_Publish) and takes in the demands
 * that its peers publish (Am_ReceiveDemands); all daemons compute the same
 * shares from the same demands. docs/design/limits.md states what is
 * guaranteed while daemons have received different demands or none. Times are
 * microseconds.
 */
#ifndef POLICY_ADMIT_H
#define POLICY_ADMIT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/status.h"

#ifdef __cplusplus
extern "C" {
#endif

#define Am_NAME_MAX 64

/* Demand of one daemon's callers for one customer. */
struct am_demand {
    char customer[Am_NAME_MAX];
    double per_sec;   /* requests, refused ones included */
    double in_flight; /* requests that would run if none were refused */
    /*
     * Slots (requests in flight) that the daemon may use until its next
     * publication; -1: its even share.
     */
    int slots;
};

/* This daemon's share of a customer's limits; negative: no limit. */
struct am_share {
    double per_sec;
    int in_flight;
};

struct am_limits;

struct am_limits *Am_Create(const char *self);
void Am_Destroy(struct am_limits *limits);

enum st_status Am_SetCustomer(struct am_limits *limits, const char *customer,
                              double per_sec, int max_in_flight);
void Am_DropCustomer(struct am_limits *limits, const char *customer);
enum st_status Am_AddPeer(struct am_limits *limits, const char *peer);
void Am_DropPeer(struct am_limits *limits, const char *peer);
enum st_status Am_ReceiveDemands(struct am_limits *limits, const char *peer,
                                 const struct am_demand *demands, size_t count,
                                 int64_t now);
void Am_ReceiveDaemonCount(struct am_limits *limits, const char *peer,
                           size_t daemons);
void Am_Join(struct am_limits *limits, int64_t now);
size_t Am_Publish(struct am_limits *limits, int64_t now, struct am_demand *out,
                  size_t size);
enum st_status Am_Admit(struct am_limits *limits, const char *customer,
                        int64_t now, int64_t *retry_after);
void Am_Release(struct am_limits *limits, const char *customer, int64_t now);

int64_t Am_PublishInterval(const struct am_limits *limits);
size_t Am_DaemonCount(const struct am_limits *limits);
bool Am_IsJoining(struct am_limits *limits, int64_t now);
enum st_status Am_Share(struct am_limits *limits, const char *customer,
                        int64_t now, struct am_share *out);
int Am_InFlight(const struct am_limits *limits, const char *customer);

#ifdef __cplusplus
}
#endif

#endif
