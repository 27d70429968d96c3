/*
 * http1.h - HTTP/1.1 connections of both sides on an event loop: callers that
 * connect here, and targets that are connected to. Syntax is checked by
 * http_parser; framing, limits, timeouts and closing are done here.
 *
 * Callbacks run on the loop's thread, and may call any function of the
 * connection; it stays valid until its closed callback has returned.
 */
#ifndef DK_HTTP1_H
#define DK_HTTP1_H

#include <netinet/in.h>

#include "loop.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Most fields of one head. */
#define HTTP1_FIELDS_MAX 64u

typedef struct http1_field {
	str_t name;
	str_t value;
} http1_field_t;

/* Head of a message; texts are valid until the next head. */
typedef struct http1_head {
	str_t method; /* of a request */
	str_t target;
	int status; /* of a response */
	http1_field_t fields[HTTP1_FIELDS_MAX];
	size_t n_fields;
	int64_t body_length; /* of the body; -1: chunked, or until the close */
	bool chunked;
	bool keep_alive;	       /* the sender keeps the connection */
	int64_t keep_alive_timeout_us; /* for so long when idle; -1: not said */
} http1_head_t;

/* Value of the first field of a name, any case; empty where there is none. */
str_t http1_field(const http1_head_t *h, str_t name);
bool http1_name_eq(str_t a, str_t b);

/* X(NAME, "text") - why a connection has ended. */
#define HTTP1_CLOSE_REASONS(X)                                 \
	X(PEER_CLOSED, "closed by the peer")                   \
	X(RESET, "reset")                                      \
	X(REFUSED, "could not connect")                        \
	X(CONNECT_TIMEOUT, "connecting timed out")             \
	X(MALFORMED, "malformed message")                      \
	X(HEAD_TOO_LARGE, "head too large")                    \
	X(HEAD_TIMEOUT, "head did not arrive in time")         \
	X(IDLE, "idle")                                        \
	X(UNEXPECTED_BYTES, "bytes that belong to no message") \
	X(CLOSED_LOCALLY, "closed here")

typedef enum http1_close_reason {
#define X(name, text) HTTP1_##name,
	HTTP1_CLOSE_REASONS(X)
#undef X
} http1_close_reason_t;

const char *http1_close_reason_text(http1_close_reason_t end);

typedef struct http1_conn http1_conn_t;

typedef struct http1_ops {
	void (*connected)(void *ctx); /* outgoing only */
	void (*head)(void *ctx, const http1_head_t *h);
	void (*body)(void *ctx, str_t piece);
	void (*message_end)(void *ctx); /* of a message */
	/* The connection is gone. Not called after http1_close(). */
	void (*closed)(void *ctx, http1_close_reason_t why);
	/* The peer has taken all that was sent. */
	void (*drained)(void *ctx);
} http1_ops_t;

/* Bounds of connections that callers open. */
typedef struct http1_limits {
	size_t head_max; /* bytes */
	int64_t head_timeout_us;
	int64_t idle_timeout_us;
} http1_limits_t;

typedef struct http1_listener http1_listener_t;

/*
 * Listens on an address. accepted is called for each connection and gives its
 * context; ops hold for all. limits may change at any time. NULL with errno.
 */
http1_listener_t *http1_listen(loop_t *l, const struct sockaddr_in *addr,
			       const http1_limits_t *limits,
			       const http1_ops_t *ops,
			       void *(*accepted)(void *ctx, http1_conn_t *c),
			       void *ctx);
/* Accepts no more, and closes connections that wait for a request. */
void http1_drain(http1_listener_t *ls);
/* Ends all of its connections too. */
void http1_unlisten(http1_listener_t *ls);

/* Connects; NULL with errno set where that fails at once. */
http1_conn_t *http1_connect(loop_t *l, const struct sockaddr_in *addr,
			    int64_t timeout_us, const http1_ops_t *ops,
			    void *ctx);
/* The next response has no body, whatever its head says. */
void http1_expect_no_body(http1_conn_t *c);
/* The message that just ended was not the answer: another one is awaited. */
void http1_await_response(http1_conn_t *c);
/* Another owner takes the connection over. */
void http1_set_owner(http1_conn_t *c, const http1_ops_t *ops, void *ctx);

/* Queues bytes, written at the end of the turn or when the socket takes them. */
void http1_send(http1_conn_t *c, const void *p, size_t n);
size_t http1_unsent_bytes(const http1_conn_t *c);
/* Stops reading, so that the sender has to wait. */
void http1_pause_reading(http1_conn_t *c, bool on);
/* Whether the connection can carry one more message of ours. */
bool http1_is_idle(const http1_conn_t *c);
/* Incoming: the response has been sent whole; the next request may come. */
void http1_await_request(http1_conn_t *c);
/* Closes once all is written, waiting for the peer to close first. */
void http1_close_when_sent(http1_conn_t *c);
/* Closes now; no callback follows. Unsent bytes are lost. */
void http1_close(http1_conn_t *c);
/* As http1_close(), by a reset, so that nothing sent looks complete. */
void http1_reset(http1_conn_t *c);

/* "a.b.c.d:port"; 0, or -1 where it is none. */
int http1_parse_addr(str_t s, struct sockaddr_in *out);

#ifdef __cplusplus
}
#endif
#endif
