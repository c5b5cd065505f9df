/*
 * A TCP connection over the loop: bytes in by callback, bytes out through a
 * buffer.  Used on both sides, for callers, endpoints, peers and the store.
 */
#ifndef WEB_SOCK_H
#define WEB_SOCK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/status.h"
#include "web/ledger.h"
#include "web/loop.h"

#ifdef __cplusplus
extern "C" {
#endif

struct sk_sock;

struct sk_ops {
    /* The connection is established.  Only after Sk_Connect(). */
    void (*connected)(void *arg);
    /* Bytes have come. */
    void (*data)(void *arg, const char *data, size_t len);
    /*
     * The other side closed ("clean") or the connection broke.  Called once;
     * the owner calls Sk_Close() then or later.
     */
    void (*closed)(void *arg, bool clean);
    /* Everything written has left.  May be NULL. */
    void (*drained)(void *arg);
    /*
     * The ledger wants back what is held for this connection: its owner ends
     * it.  Only after Sk_Account(); NULL: it is never asked.
     */
    void (*yield)(void *arg, enum lg_why why);
};

/* "address" is "IP:PORT". */
enum st_status Sk_Connect(struct lp_loop *loop, const char *address,
                          const struct sk_ops *ops, void *arg,
                          struct sk_sock **out);
enum st_status Sk_Adopt(struct lp_loop *loop, int fd, const struct sk_ops *ops,
                        void *arg, struct sk_sock **out);
/* Joins a ledger, until the descriptor is closed; "port" names the server. */
void Sk_Account(struct sk_sock *sock, struct lg_ledger *ledger,
                const char *port);
/* The account of the connection, without a ledger before Sk_Account(). */
struct lg_holder *Sk_Holder(struct sk_sock *sock);
/* Another owner gets what comes from now on. */
void Sk_SetOwner(struct sk_sock *sock, const struct sk_ops *ops, void *arg);
void Sk_Write(struct sk_sock *sock, const void *data, size_t len);
size_t Sk_Pending(const struct sk_sock *sock);
bool Sk_Sent(const struct sk_sock *sock);
void Sk_Pause(struct sk_sock *sock, bool pause);
void Sk_Close(struct sk_sock *sock);
void Sk_Reset(struct sk_sock *sock);
void Sk_Finish(struct sk_sock *sock);

struct sockaddr_in;
enum st_status Sk_Address(const char *text, struct sockaddr_in *out);

#ifdef __cplusplus
}
#endif

#endif
