/* ops_http.c - HTTP server for operators and monitoring. */
#include "ops_http.h"

#include <stdlib.h>
#include <string.h>

#include <sodium.h>

#include "counter.h"
#include "log.h"

struct ops_http {
	ops_http_cfg_t cfg;
	ops_http_ops_t ops;
	void *ctx;
	httpd_t *port;
	unsigned char token_hash[crypto_generichash_BYTES];
};

static void hash_token(str_t token, unsigned char out[crypto_generichash_BYTES])
{
	crypto_generichash(out, crypto_generichash_BYTES,
			   (const unsigned char *)token.p, token.n, NULL, 0);
}

/*
 * Compares hashes in constant time, so that the response time does not leak a
 * prefix of the token.
 */
static bool has_valid_token(const ops_http_t *h,
			    const struct mg_connection *conn)
{
	unsigned char given_hash[crypto_generichash_BYTES];
	str_t token = httpd_bearer_token(conn);

	if (!token.n)
		return false;
	hash_token(token, given_hash);
	return sodium_memcmp(given_hash, h->token_hash, sizeof(given_hash)) ==
	       0;
}

static void send_text(struct mg_connection *conn, int status, str_t text)
{
	httpd_send_response(conn, status, "text/plain; version=0.0.4",
			    str_n(NULL, 0), text);
}

static void send_error(struct mg_connection *conn, reason_t reason)
{
	AUTO_BUF buf_t body = {0};

	httpd_error_json(&body, reason, RUN_NO, 0, str_n(NULL, 0));
	httpd_send_response(conn, reason_info(reason)->http_status,
			    "application/json", str_n(NULL, 0), buf_str(&body));
}

static void send_metrics(struct mg_connection *conn)
{
	AUTO_BUF buf_t text = {0};

	counter_write(&text);
	send_text(conn, 200, buf_str(&text));
}

static void send_readiness(ops_http_t *h, struct mg_connection *conn)
{
	AUTO_BUF buf_t why = {0};
	bool is_ready = h->ops.is_ready(h->ctx, &why);

	if (is_ready)
		buf_puts(&why, "ready");
	buf_puts(&why, "\n");
	send_text(conn, is_ready ? 200 : 503, buf_str(&why));
}

/* Handles a request to the admin interface. */
static void admin(ops_http_t *h, struct mg_connection *conn,
		  const struct mg_request_info *info)
{
	AUTO_BUF buf_t body = {0};
	admin_reply_t reply = {.http_status = 500,
			       .content_type = "application/json"};
	reason_t reason = httpd_read_body(conn, h->cfg.body_max,
					  h->cfg.body_timeout_ms, &body);

	if (reason != REASON_NONE) {
		send_error(conn, reason);
		httpd_abort(conn);
		return;
	}
	admin_handle(h->ops.admin, h->ctx, str_c(info->request_method),
		     str_c(info->local_uri), str_c(info->query_string),
		     buf_str(&body), &reply);
	httpd_send_response(conn, reply.http_status, reply.content_type,
			    str_n(NULL, 0), buf_str(&reply.body));
	buf_free(&reply.body);
}

static void on_request(void *ctx, struct mg_connection *conn)
{
	const struct mg_request_info *info = mg_get_request_info(conn);
	ops_http_t *h = ctx;
	str_t path = str_c(info->local_uri);

	if (str_eq(path, STR("/healthz"))) {
		send_text(conn, 200, STR("ok\n"));
	} else if (str_eq(path, STR("/readyz"))) {
		send_readiness(h, conn);
	} else if (!has_valid_token(h, conn)) {
		send_error(conn, REASON_UNAUTHENTICATED);
		httpd_abort(conn);
	} else if (str_eq(path, STR("/metrics"))) {
		send_metrics(conn);
	} else {
		admin(h, conn, info);
	}
}

ops_http_t *ops_http_start(const ops_http_cfg_t *cfg, const ops_http_ops_t *ops,
			   void *ctx)
{
	ops_http_t *h = xcalloc(1, sizeof(*h));

	h->cfg = *cfg;
	h->cfg.token = str_n(NULL, 0); /* only its hash is kept */
	h->ops = *ops;
	h->ctx = ctx;
	hash_token(cfg->token, h->token_hash);
	h->port = httpd_start(&cfg->port, on_request, h);
	if (h->port)
		return h;
	free(h);
	return NULL;
}

void ops_http_stop(ops_http_t *h)
{
	if (!h)
		return;
	httpd_stop(h->port);
	free(h);
}
