/*
 * ops_http.h - the operators' port: admin interface, metrics, health.
 */
#ifndef DK_OPS_HTTP_H
#define DK_OPS_HTTP_H

#include "admin.h"
#include "httpd.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct ops_http_cfg {
	httpd_cfg_t port;
	size_t body_max;
	int64_t body_timeout_ms;
	str_t token; /* not needed for /healthz and /readyz */
} ops_http_cfg_t;

typedef struct ops_http_ops {
	const admin_ops_t *admin;
	/* Whether new requests are taken; appends why not. */
	bool (*ready)(void *ctx, buf_t *why);
} ops_http_ops_t;

typedef struct ops_http ops_http_t;

/* Starts to listen; NULL with a log line where that fails. */
ops_http_t *ops_http_start(const ops_http_cfg_t *cfg, const ops_http_ops_t *ops,
			   void *ctx);
void ops_http_stop(ops_http_t *h);

#ifdef __cplusplus
}
#endif
#endif
