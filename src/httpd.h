/*
 * httpd.h - HTTP server on one TCP port, over CivetWeb: reads bodies up to a
 * limit, sends whole and chunked responses. Used by the servers for callers
 * (http.h) and for operators (ops_http.h).
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
	uint32_t threads;      /* connections served at the same time */
	uint32_t head_max;     /* largest request head, in bytes */
	int64_t io_timeout_ms; /* timeout of reads and of blocked writes */
	int64_t keep_alive_ms; /* idle time after which a connection ends */
	const char *name;      /* names the server in log lines */
	/* Called at the start and end of each connection thread, or NULL. */
	void (*thread_begin)(void);
	void (*thread_end)(void);
} httpd_cfg_t;

typedef struct httpd httpd_t;
/* Handles one request, on a connection thread. */
typedef void (*httpd_handler_t)(void *ctx, struct mg_connection *conn);

/* Starts to listen. Returns NULL, after logging it, if that fails. */
httpd_t *httpd_start(const httpd_cfg_t *cfg, httpd_handler_t handler,
		     void *ctx);
/* Stops the server; waits for requests in progress. */
void httpd_stop(httpd_t *h);

/* Returns the value of a request header; empty if there is none. */
str_t httpd_header(const struct mg_connection *conn, const char *name);
/* Returns TOKEN of "Authorization: Bearer TOKEN"; empty if there is none. */
str_t httpd_bearer_token(const struct mg_connection *conn);
/* Appends the decoded value of a query parameter; false if there is none. */
bool httpd_query_param(const struct mg_connection *conn, const char *name,
		       buf_t *value);
/*
 * Reads the whole request body. Returns REASON_NONE, or REASON_BODY_TOO_LARGE,
 * or REASON_BODY_TIMEOUT if the body is too slow or incomplete. After a failure
 * the caller of this function must end the connection by httpd_abort(), once
 * it has sent the response.
 */
reason_t httpd_read_body(struct mg_connection *conn, size_t max,
			 int64_t timeout_ms, buf_t *body);

/*
 * Sends a whole response. headers holds further header lines, each with "\r\n";
 * it may be empty. Returns 0, or -1 if the connection is broken.
 */
int httpd_send_response(struct mg_connection *conn, int status,
			const char *type, str_t headers, str_t body);
/* Sends a response whose status has no body. */
int httpd_send_head(struct mg_connection *conn, int status, const char *type,
		    str_t headers);
/*
 * Sends the head of a chunked response. httpd_send_chunk() then sends each part
 * of the body; empty data ends the response.
 */
int httpd_begin_chunked(struct mg_connection *conn, int status,
			const char *type, str_t headers);
int httpd_send_chunk(struct mg_connection *conn, str_t data);
/*
 * Appends {"error":{...}} with the reason, whether the request has run, when to
 * retry, and detail; an empty detail stands for the reason's help text.
 */
void httpd_error_json(buf_t *out, reason_t reason, run_state_t run,
		      uint32_t retry_ms, str_t detail);

/*
 * Returns the socket of a connection, or -1 if it is closed. CivetWeb does not
 * tell it, so this searches the open files for a socket with the addresses of
 * the connection.
 */
int httpd_find_socket(const struct mg_connection *conn);
/* Whether the peer has closed or reset the connection; true if fd is -1. */
bool httpd_peer_closed(int fd);
/*
 * Ends the connection without completing a chunked response. Before that it
 * discards what the peer still sends, for a limited time and size.
 */
void httpd_abort(struct mg_connection *conn);

#ifdef __cplusplus
}
#endif
#endif
