/*
 * ops_http.h - HTTP server for operators and monitoring: the admin interface
 * (admin.h), metrics, health and readiness.
 */
#ifndef DK_OPS_HTTP_H
#define DK_OPS_HTTP_H

#include "admin.h"
#include "httpd.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct ops_http_cfg {
	httpd_cfg_t port;	 /* where operators connect */
	size_t body_max;	 /* largest request body, in bytes */
	int64_t body_timeout_ms; /* longest time to receive a request body */
	/* Bearer token that all paths but /healthz and /readyz require. */
	str_t token;
} ops_http_cfg_t;

typedef struct ops_http_ops {
	const admin_ops_t *admin;
	/* Whether callers' requests are accepted; appends to *why if not. */
	bool (*is_ready)(void *ctx, buf_t *why);
} ops_http_ops_t;

typedef struct ops_http ops_http_t;

/* Starts to listen. Returns NULL, after logging it, if that fails. */
ops_http_t *ops_http_start(const ops_http_cfg_t *cfg, const ops_http_ops_t *ops,
			   void *ctx);
void ops_http_stop(ops_http_t *h);

#ifdef __cplusplus
}
#endif
#endif
