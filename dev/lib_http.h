/*
 * lib_http.h - HTTP for the stand-in servers and the load tools: a CivetWeb
 * server on a loopback port with one handler, JSON responses and a blocking
 * GET; also the monotonic clock.
 */
#ifndef DK_DEV_HTTP_H
#define DK_DEV_HTTP_H

#include "util.h"

#include <jansson.h>

#ifdef __cplusplus
extern "C" {
#endif

struct mg_connection;

typedef struct http_req {
	struct mg_connection *conn;
	str_t method;
	str_t path;
	str_t query;
	buf_t body; /* read before the handler runs; freed after it */
} http_req_t;

typedef void (*http_handler_fn_t)(void *ctx, http_req_t *req);
typedef struct http_server http_server_t;

/*
 * Starts a server on 127.0.0.1:*port that calls handler for each request, on
 * up to the given number of threads. Port 0 takes a free port; *port is set to
 * the port in use. NULL where it cannot listen.
 */
http_server_t *http_server_start(int *port, int threads,
				 http_handler_fn_t handler, void *ctx);
void http_server_stop(http_server_t *s);

/* Value of a request header; empty where it is missing. */
str_t http_header(const http_req_t *req, const char *name);
/* Header as a number; default_value where it is missing or not a number. */
uint64_t http_header_u64(const http_req_t *req, const char *name,
			 uint64_t default_value);
/* Copies the value of a query parameter into out; false where it is missing. */
bool http_query_param(const http_req_t *req, const char *name, char *out,
		      size_t n);

/*
 * Sends a JSON response. headers holds extra header lines, each ending in CRLF;
 * NULL for none.
 */
void http_json(http_req_t *req, int status, const char *headers, json_t *doc);
/* Sends {"error": error} as http_json() does. */
void http_error(http_req_t *req, int status, const char *headers,
		const char *error);
/* Sends a response with this content type and body. */
void http_text(http_req_t *req, int status, const char *type, str_t body);
/*
 * Sends a chunked response with status 200, part by part. Each returns 0, or -1
 * where the client has closed the connection.
 */
int http_stream_begin(http_req_t *req, const char *headers, const char *type);
int http_stream_part(http_req_t *req, str_t part);
int http_stream_end(http_req_t *req);
/*
 * Closes the connection once the handler returns, even where the response is
 * incomplete or was never begun.
 */
void http_close_after_response(http_req_t *req);

/* Blocking GET; the HTTP status, or -1 where there was no response. */
int http_get(const char *url, long timeout_ms, buf_t *body);

/* The monotonic clock in microseconds. */
int64_t dev_now_us(void);
void dev_sleep_us(int64_t us);
/* Blocks until SIGINT or SIGTERM. */
void dev_wait_signal(void);

#ifdef __cplusplus
}
#endif
#endif
