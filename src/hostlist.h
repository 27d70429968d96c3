/*
 * hostlist.h - reads the platform's list of live and leaving hosts, which
 * lags: each read is a hint and no more.
 */
#ifndef DK_HOSTLIST_H
#define DK_HOSTLIST_H

#include "util.h"

#ifdef __cplusplus
extern "C" {
#endif

/* One row of the list; on the thread of the reader. */
typedef void (*hostlist_fn_t)(void *ctx, str_t name, bool leaving);

typedef struct hostlist hostlist_t;

/* Starts to read url each poll_ms; NULL with a log line on failure. */
hostlist_t *hostlist_start(str_t url, int64_t poll_ms, hostlist_fn_t fn,
			   void *ctx);
void hostlist_stop(hostlist_t *h);

/* Parses one answer and calls fn for each row; -1 where it is no such list. */
int hostlist_parse(str_t body, hostlist_fn_t fn, void *ctx);

#ifdef __cplusplus
}
#endif
#endif
