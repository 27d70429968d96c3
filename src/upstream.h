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

upstream_t *upstream_new(loop_t *l);
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

/*
 * Sends a POST with body, or a GET where body is NULL. extra_fields are header
 * lines, or NULL. done is called exactly once, at the latest timeout_us from
 * now, and never before this function has returned.
 */
void upstream_call(upstream_t *u, str_t addr, str_t target, const buf_t *body,
		   const char *extra_fields, int64_t timeout_us,
		   call_done_t done, void *ctx);

#ifdef __cplusplus
}
#endif
#endif
