/* The end of a listening socket. */
#ifndef WEB_LISTENING_H
#define WEB_LISTENING_H

#include "base/status.h"

/* ST_UNAVAILABLE: a connection that comes just now may be reset. */
enum st_status Ls_DropOpenings(int listen_fd);

#endif
