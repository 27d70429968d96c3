/*
 * hostlist.h - polls the platform's list of live and leaving hosts. The list
 * lags behind the real state, so its users must treat a row as a hint only.
 */
#ifndef DK_HOSTLIST_H
#define DK_HOSTLIST_H

#include "util.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Called for each row of the list, on the thread that polls it. */
typedef void (*hostlist_fn_t)(void *ctx, str_t name, bool leaving);

typedef struct hostlist hostlist_t;

/* Starts to poll url every poll_ms; NULL, with a log line, on failure. */
hostlist_t *hostlist_start(str_t url, int64_t poll_ms, hostlist_fn_t fn,
			   void *ctx);
/* Stops polling and frees h; waits for a read in progress. NULL is fine. */
void hostlist_stop(hostlist_t *h);

/* Calls fn for each valid row of a response body; 0, or -1 if it is no list. */
int hostlist_parse(str_t body, hostlist_fn_t fn, void *ctx);

#ifdef __cplusplus
}
#endif
#endif
