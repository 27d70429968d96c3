/*
 * http.h - the callers' port: addresses, completions, service calls.
 */
#ifndef DK_HTTP_H
#define DK_HTTP_H

#include "httpd.h"
#include "serve.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct http_cfg {
	httpd_cfg_t port;
	size_t body_max; /* bytes of a request body */
	int64_t body_timeout_ms;
	size_t reader_max; /* answer bytes kept for a slow reader */
	int64_t address_ttl_ms;
} http_cfg_t;

/* What the port needs of the daemon. All may be called from any thread. */
typedef struct http_ops {
	void (*submit)(void *ctx, const serve_req_t *req);
	/* Never blocks on the core; the cancel may be carried out later. */
	void (*cancel)(void *ctx, uint64_t handle);
	size_t (*addresses)(void *ctx, str_t model, serve_addr_t *out,
			    size_t max, decided_t **d);
	/* Tables in force; the caller owns one reference. */
	decided_t *(*tables)(void *ctx);
	/* REASON_NONE where requests are taken. */
	reason_t (*refusal)(void *ctx);
	int64_t (*now_us)(void *ctx);
} http_ops_t;

typedef struct http http_t;

http_t *http_new(const http_cfg_t *cfg, const http_ops_t *ops, void *ctx);
/* Listens; 0, or -1 with a log line. */
int http_start(http_t *h);
/* A reply of the serving core; may be called with its locks held. */
void http_reply(http_t *h, uint64_t handle, const serve_reply_t *rep);
/* Requests in progress. */
size_t http_active_requests(http_t *h);
/* Fails what still waits with REASON_SHUTDOWN and stops listening. */
void http_stop(http_t *h);
void http_free(http_t *h);

#ifdef __cplusplus
}
#endif
#endif
