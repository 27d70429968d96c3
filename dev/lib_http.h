/*
 * lib_http.h - what the stand-ins share: a CivetWeb server on a loopback port
 * with one handler, JSON answers and a blocking GET.
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
	buf_t body; /* owned by the server, whole */
} http_req_t;

typedef void (*http_handler_fn_t)(void *ctx, http_req_t *req);
typedef struct http_server http_server_t;

/* Listens on 127.0.0.1:*port (0: a free one, returned); NULL on failure. */
http_server_t *http_server_start(int *port, int threads, http_handler_fn_t fn,
				 void *ctx);
void http_server_stop(http_server_t *s);

/* Header of the request; empty where it is missing. */
str_t http_header(const http_req_t *req, const char *name);
/* Header as a number; def where it is missing or not a number. */
uint64_t http_header_u64(const http_req_t *req, const char *name, uint64_t def);
/* Copies the query variable name into out; false where it is missing. */
bool http_query_param(const http_req_t *req, const char *name, char *out,
		      size_t n);

/* Extra header lines for each answer, each ending in CRLF; NULL for none. */
void http_json(http_req_t *req, int status, const char *headers, json_t *doc);
/* As http_json() with {"error": error}. */
void http_error(http_req_t *req, int status, const char *headers,
		const char *error);
void http_text(http_req_t *req, int status, const char *type, str_t body);
/* A chunked answer; each part 0, or -1 where the client is gone. */
int http_stream_begin(http_req_t *req, const char *headers, const char *type);
int http_stream_part(http_req_t *req, str_t part);
int http_stream_end(http_req_t *req);
/* Closes the connection after the handler, wherever the answer stands. */
void http_close_after_response(http_req_t *req);

/* Blocking GET; the HTTP status, or -1 where there was no answer. */
int http_get(const char *url, long timeout_ms, buf_t *body);

/* Microseconds of the monotonic clock. */
int64_t dev_now_us(void);
void dev_sleep_us(int64_t us);
/* Blocks until SIGINT or SIGTERM. */
void dev_wait_signal(void);

#ifdef __cplusplus
}
#endif
#endif
