/* Shared by the modules of this package only. */
#ifndef WEB_INTERNAL_H
#define WEB_INTERNAL_H

#include <libwebsockets.h>

int Hc_Callback(struct lws *wsi, enum lws_callback_reasons reason, void *user,
                void *in, size_t len);

#endif
