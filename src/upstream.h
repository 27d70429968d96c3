/*
 * upstream.h - requests that this daemon makes itself, on connections that it
 * keeps for the next one. All functions are called on the loop's thread.
 */
#ifndef DK_UPSTREAM_H
#define DK_UPSTREAM_H

#include "http1.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct upstream upstream_t;

/* from: this end's address of all connections; 0: any. */
upstream_t *upstream_new(loop_t *l, struct in_addr from);
/* Calls under way end without their callback. */
void upstream_free(upstream_t *u);

/* Result of a call. */
typedef struct call_result {
	int status;		  /* HTTP status; 0: no complete response */
	bool sent;		  /* something may have reached the peer */
	str_t body;		  /* valid during the callback */
	http1_close_reason_t end; /* why the call failed, where status is 0 */
} call_result_t;

typedef void (*call_done_t)(void *ctx, const call_result_t *res);

/* A request of this daemon's own. Texts are copied by upstream_call(). */
typedef struct upstream_request {
	str_t addr; /* "ip:port" */
	str_t target;
	const buf_t *body;   /* sent by a POST; NULL: a GET */
	const char *fields;  /* header lines; may be NULL */
	size_t response_max; /* a longer response body fails the call; bytes */
	int64_t timeout_us;
} upstream_request_t;

/*
 * done is called exactly once, at the latest timeout_us from now, and never before
 * this function has returned.
 */
void upstream_call(upstream_t *u, const upstream_request_t *req,
		   call_done_t done, void *ctx);

#ifdef __cplusplus
}
#endif
#endif
