/*
 * httpd.h - one HTTP port over CivetWeb: bounded bodies, whole and chunked
 * answers. Shared by the callers' and the operators' port.
 */
#ifndef DK_HTTPD_H
#define DK_HTTPD_H

#include "reason.h"

#include <civetweb.h>

#ifdef __cplusplus
extern "C" {
#endif

typedef struct httpd_cfg {
	str_t listen;	       /* "ip:port" */
	uint32_t threads;      /* connections served at once */
	uint32_t head_max;     /* bytes of a request head */
	int64_t io_timeout_ms; /* for a body, and for a blocked answer */
	int64_t keep_alive_ms; /* idle time of a kept connection */
	const char *name;      /* in log lines */
	/* Called on each connection thread; may be NULL. */
	void (*thread_begin)(void);
	void (*thread_end)(void);
} httpd_cfg_t;

typedef struct httpd httpd_t;
/* Answers one request, on a connection thread. */
typedef void (*httpd_handler_t)(void *ctx, struct mg_connection *conn);

/* NULL, with a log line, where the port cannot be used. */
httpd_t *httpd_start(const httpd_cfg_t *cfg, httpd_handler_t fn, void *ctx);
/* Waits for requests in progress. */
void httpd_stop(httpd_t *h);

/* The value of a request header; empty where there is none. */
str_t httpd_header(const struct mg_connection *conn, const char *name);
/* The token of "Authorization: Bearer TOKEN"; empty where there is none. */
str_t httpd_bearer_token(const struct mg_connection *conn);
/* Value of a query parameter, decoded; false where there is none. */
bool httpd_query_param(const struct mg_connection *conn, const char *name,
		       buf_t *value);
/*
 * Reads the whole request body. REASON_NONE, or why not (too large, too slow,
 * broken off); the connection must then be dropped after the answer.
 */
reason_t httpd_read_body(struct mg_connection *conn, size_t max,
			 int64_t timeout_ms, buf_t *body);

/*
 * Sends a whole answer. headers: further header lines, each with "\r\n"; may
 * be empty. 0, or -1 where the caller is gone.
 */
int httpd_send_response(struct mg_connection *conn, int status,
			const char *type, str_t headers, str_t body);
/* Head of a chunked answer; then httpd_send_chunk() each, n == 0 ends it. */
int httpd_begin_chunked(struct mg_connection *conn, int status,
			const char *type, str_t headers);
int httpd_send_chunk(struct mg_connection *conn, str_t data);
/* Appends {"error":{...}} of the interface. */
void httpd_error_json(buf_t *out, reason_t reason, run_state_t run,
		      uint32_t retry_ms, str_t detail);

/*
 * The socket of a connection, which CivetWeb hides: looked for among the open
 * files by its two ends. -1 where it is closed.
 */
int httpd_find_socket(const struct mg_connection *conn);
/* Whether the other end has closed or reset the connection. */
bool httpd_peer_closed(int fd);
/* Ends the connection without a proper end of the answer. */
void httpd_abort(struct mg_connection *conn);

#ifdef __cplusplus
}
#endif
#endif
