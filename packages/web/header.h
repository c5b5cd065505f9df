/* One HTTP header as a name and a value. */
#ifndef WEB_HEADER_H
#define WEB_HEADER_H

struct web_header {
    const char *name; /* lower case, no colon */
    const char *value;
};

#endif
