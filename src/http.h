/*
 * http.h - HTTP server for callers: completions, service calls, and the
 * addresses of daemons that serve a model.
 */
#ifndef DK_HTTP_H
#define DK_HTTP_H

#include "httpd.h"
#include "serve.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct http_cfg {
	httpd_cfg_t port;	 /* where callers connect */
	size_t body_max;	 /* largest request body, in bytes */
	int64_t body_timeout_ms; /* longest time to receive a request body */
	/* Answer bytes that may wait for a slow caller before it is cut off. */
	size_t reader_buffer_max;
	int64_t address_ttl_ms; /* how long callers may cache addresses */
} http_cfg_t;

/* What the server needs of the daemon. Called from any thread. */
typedef struct http_ops {
	void (*submit)(void *ctx, const serve_req_t *req);
	/*
	 * May be called inside http_reply(), so while the core holds its locks:
	 * it must hand the cancel on, not call the core.
	 */
	void (*cancel)(void *ctx, uint64_t handle);
	/* See serve_addresses(). */
	size_t (*addresses)(void *ctx, str_t model, serve_addr_t *out,
			    size_t max, decided_t **d);
	/* Returns the tables in force; the server drops the reference. */
	decided_t *(*tables)(void *ctx);
	/* Why new requests are refused; REASON_NONE: they are accepted. */
	reason_t (*refusal_reason)(void *ctx);
	int64_t (*now_us)(void *ctx);
} http_ops_t;

typedef struct http http_t;

http_t *http_new(const http_cfg_t *cfg, const http_ops_t *ops, void *ctx);
/* Starts to listen; returns 0, or -1 after logging why. */
int http_start(http_t *h);
/* Takes a reply of the serving core, which may hold its locks meanwhile. */
void http_reply(http_t *h, uint64_t handle, const serve_reply_t *reply);
/* Number of requests in progress. */
size_t http_active_requests(http_t *h);
/* Fails requests in progress with REASON_SHUTDOWN and stops listening. */
void http_stop(http_t *h);
void http_free(http_t *h);

#ifdef __cplusplus
}
#endif
#endif
