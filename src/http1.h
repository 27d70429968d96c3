/*
 * http1.h - HTTP/1.1 connections on an event loop: incoming ones, opened by
 * callers, and outgoing ones, opened to targets. http_parser reads the syntax, and
 * http1_check.h and http1_chunks.h refuse what it should not let pass; limits,
 * timeouts and closing are done here.
 *
 * Callbacks run on the loop's thread, and may call any function of the
 * connection, which stays valid until its closed callback has returned.
 */
#ifndef DK_HTTP1_H
#define DK_HTTP1_H

#include <netinet/in.h>
#include <sys/types.h>

#include "loop.h"

#ifdef __cplusplus
extern "C" {
#endif

/* A head with more fields is malformed. */
#define HTTP1_FIELDS_MAX 64u

typedef struct http1_field {
	str_t name;
	str_t value;
} http1_field_t;

/* Head of a message; its texts are valid until the next head is read. */
typedef struct http1_head {
	str_t method; /* of a request */
	str_t target;
	int status; /* of a response */
	http1_field_t fields[HTTP1_FIELDS_MAX];
	size_t n_fields;
	int64_t body_length; /* -1: chunked, or ends with the connection */
	bool chunked;
	bool keep_alive; /* the sender keeps the connection open */
	int64_t keep_alive_timeout_us; /* how long when idle; -1: not stated */
} http1_head_t;

/* Value of the first field of this name, in any case; empty where none is. */
str_t http1_field(const http1_head_t *h, str_t name);
/* Of a response: only the close of its connection ends the body. */
static inline bool http1_ends_with_conn(const http1_head_t *h)
{
	return !h->chunked && h->body_length < 0;
}

/* Another response follows it. */
static inline bool http1_status_is_interim(int status)
{
	return status / 100 == 1;
}

/* Whether a response of this status can have a body; one that has none ends with its head. */
static inline bool http1_status_has_body(int status)
{
	return !http1_status_is_interim(status) && status != 204 &&
	       status != 304;
}

/* What delimits the body: "length", "chunks" or, of a response, "close". */
const char *http1_framing_name(const http1_head_t *h);
/* Whether two field names are equal, in any case. */
bool http1_name_eq(str_t a, str_t b);

/* Value of "Keep-Alive: timeout=SECONDS"; -1 where there is none. */
int64_t http1_read_keep_alive_us(const http1_head_t *h);

/* X(NAME, "text") - why a connection has ended. */
#define HTTP1_CLOSE_REASONS(X)                                 \
	X(PEER_CLOSED, "closed by the peer")                   \
	X(RESET, "reset")                                      \
	X(REFUSED, "could not connect")                        \
	X(CONNECT_TIMEOUT, "connecting timed out")             \
	X(MALFORMED, "malformed message")                      \
	X(HEAD_TOO_LARGE, "head too large")                    \
	X(HEAD_TIMEOUT, "head did not arrive in time")         \
	X(RESPONSE_TIMEOUT, "response did not arrive in time") \
	X(BODY_TOO_LARGE, "body too large")                    \
	X(IDLE, "idle")                                        \
	X(UNEXPECTED_BYTES, "bytes that belong to no message") \
	X(CLOSED_LOCALLY, "closed here")

typedef enum http1_close_reason {
#define X(name, text) HTTP1_##name,
	HTTP1_CLOSE_REASONS(X)
#undef X
} http1_close_reason_t;

const char *http1_close_reason_text(http1_close_reason_t reason);

typedef struct http1_conn http1_conn_t;

typedef struct http1_ops {
	void (*connected)(void *ctx); /* outgoing only */
	void (*head)(void *ctx, const http1_head_t *h);
	void (*body)(void *ctx, str_t piece);
	void (*message_end)(void *ctx);
	/*
	 * The connection has ended. Not called after http1_close(),
	 * http1_reset() or http1_close_when_sent().
	 */
	void (*closed)(void *ctx, http1_close_reason_t why);
	/* The socket has taken all bytes that were queued. */
	void (*drained)(void *ctx);
} http1_ops_t;

/* Limits of incoming connections. */
typedef struct http1_limits {
	size_t head_max;	 /* bytes */
	int64_t head_timeout_us; /* from the first byte of a head to its end */
	int64_t idle_timeout_us; /* from a response to the next request */
} http1_limits_t;

typedef struct http1_listener http1_listener_t;

/*
 * Listens on an address. accepted is called for each connection and returns the
 * context of its callbacks; ops are the callbacks of all. limits must outlive
 * the listener and may change at any time. NULL with errno set on failure.
 */
http1_listener_t *http1_listen(loop_t *l, const struct sockaddr_in *addr,
			       const http1_limits_t *limits,
			       const http1_ops_t *ops,
			       void *(*accepted)(void *ctx, http1_conn_t *c),
			       void *ctx);
/* Bytes queued on all its connections that the sockets have not taken; 0: NULL. */
size_t http1_listener_unsent(const http1_listener_t *ls);
/*
 * Stops accepting, and closes connections that wait for a request of which nothing
 * has come; true: no connection is left.
 */
bool http1_drain(http1_listener_t *ls);
/* Stops accepting, closes all connections and frees the listener. */
void http1_unlisten(http1_listener_t *ls);

/*
 * Limits the response heads of several connections that are not whole: as they come near
 * max bytes in all, the part of each connection shrinks. Outlives the connections.
 */
typedef struct http1_heads {
	size_t bytes; /* now */
	size_t max;   /* 0: each has its own limit alone */
} http1_heads_t;

/* How an outgoing connection is made. */
typedef struct http1_dial {
	struct sockaddr_in to;
	struct in_addr from; /* this end's address; 0: any */
	int64_t timeout_us;
	/*
	 * Sent first, where not empty. The connection can carry a request once opened(),
	 * which gets what the other end replies, has taken bytes of it; 0: more are to
	 * come, -1: the other end refuses. Both or none. What comes behind the reply is
	 * in frames, a length of 4 bytes before each: an empty one is an orderly close,
	 * and a close without it a reset.
	 */
	str_t opening;
	ssize_t (*opened)(str_t in);
	http1_heads_t *heads; /* not owned; NULL: none */
} http1_dial_t;

#define HTTP1_FRAME_LENGTH_BYTES 4u

/* Starts to connect; NULL with errno set where that fails at once. */
http1_conn_t *http1_connect(loop_t *l, const http1_dial_t *dial,
			    const http1_ops_t *ops, void *ctx);
/* The next response has no body, whatever its head says (HEAD requests). */
void http1_expect_no_body(http1_conn_t *c);
/* The message that has just ended was not the response: awaits another one. */
void http1_await_response(http1_conn_t *c);
/* Address of the other end; 0 where it is gone. */
struct in_addr http1_peer(const http1_conn_t *c);
/* Gives the connection to another owner: its callbacks replace the present. */
void http1_set_owner(http1_conn_t *c, const http1_ops_t *ops, void *ctx);

/*
 * Queues bytes, which are written at the end of the loop's iteration or when
 * the socket takes them.
 */
void http1_send(http1_conn_t *c, const void *p, size_t n);
/* Queued bytes that the socket has not taken. */
size_t http1_unsent_bytes(const http1_conn_t *c);
/* Stops reading, or resumes it; a sender has to wait while it is stopped. */
void http1_pause_reading(http1_conn_t *c, bool on);
/* Outgoing: whether the connection can carry another request. */
bool http1_is_idle(const http1_conn_t *c);
/* Incoming: the response is queued whole; awaits the next request. */
void http1_await_request(http1_conn_t *c);
/*
 * Closes once all queued bytes are written and the peer has closed or had its
 * time to. No callback follows.
 */
void http1_close_when_sent(http1_conn_t *c);
/* Closes at once; no callback follows. Unsent bytes are lost. */
void http1_close(http1_conn_t *c);
/*
 * As http1_close(), by a TCP reset, so that a body cut short is noticed. The
 * socket is offered the queued bytes first.
 */
void http1_reset(http1_conn_t *c);

/* Parses "a.b.c.d:port"; 0, or -1 where s is not of this form. */
int http1_parse_addr(str_t s, struct sockaddr_in *out);

#ifdef __cplusplus
}
#endif
#endif
