/* http1.c - HTTP/1.1 connections on an event loop: parsing, writing, closing. */
#include "http1.h"

#include <arpa/inet.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <http_parser.h>

#include "buffer_share.h"
#include "http1_check.h"
#include "http1_chunks.h"
#include "socket.h"

#define READ_BYTES 16384u
/* A buffer of a larger capacity is freed once it is empty, and cut before. */
#define KEEP_BYTES 32768u
/*
 * Reading stops above so many bytes of pipelined requests, which a caller has
 * sent without waiting for the response to the request before.
 */
#define PIPELINED_BYTES_MAX 65536u
#define RESPONSE_HEAD_MAX 65536u
/* The same where heads of all connections are at their limit. */
#define RESPONSE_HEAD_MIN 8192u
/* How long a peer has to close first, once this end has sent its FIN. */
#define LINGER_US (1 * USEC_PER_SEC)

typedef enum conn_state {
	CONN_CONNECTING,
	CONN_OPENING, /* outgoing: the reply to http1_dial_t.opening is awaited */
	CONN_IDLE,    /* outgoing: no response is awaited */
	CONN_AWAIT_HEAD,
	CONN_READ_BODY,
	CONN_RESPONDING, /* incoming: the owner sends its response */
	CONN_LINGERING,	 /* all is written; waits for the peer to close */
	CONN_CLOSED,	 /* freed at the end of the loop's iteration */
} conn_state_t;

struct http1_conn {
	loop_deferred_free_t deferred_free;
	loop_t *loop;
	loop_watch_t watch;
	loop_task_t flush;
	timer_sub_t timer;
	struct cds_list_head node;    /* of the listener; incoming only */
	const http1_limits_t *limits; /* incoming only */
	http1_listener_t *listener;   /* incoming only */
	http1_heads_t *heads;	      /* outgoing only; may be NULL */
	size_t head_counted;	      /* of this connection, in heads */
	http1_ops_t ops;
	void *ctx;  /* of the owner; not used once owned is false */
	bool owned; /* the owner still gets callbacks */
	bool incoming;
	conn_state_t state;
	ssize_t (*opened)(str_t in); /* see http1_dial_t */
	buf_t raw;		     /* of frames, not taken apart yet */
	uint32_t frame_left;	     /* bytes of the frame under way */
	bool peer_ended;	     /* its empty frame has come */
	bool no_body;		     /* see http1_expect_no_body() */
	bool reading_paused;
	bool closing; /* no more is read or queued; closes once all is written */
	bool patient;	       /* see set_patience() */
	bool message_complete; /* the parser saw the end of the message */
	/* When queued bytes were last taken, or the first of them queued. */
	int64_t progress_us;
	int64_t head_started_us; /* first byte of a request's head; 0: none */
	/* Empty lines and informational heads before the head under way. */
	size_t preamble_bytes;
	http_parser parser;
	http1_chunks_t chunks; /* of a chunked body */
	buf_t in;
	buf_t out;
	buf_t head_bytes; /* the texts of head point into it */
	http1_head_t head;
};

struct http1_listener {
	loop_t *loop;
	loop_watch_t watch;
	const http1_limits_t *limits;
	http1_ops_t ops;
	void *(*accepted)(void *ctx, http1_conn_t *c);
	void *ctx;
	struct cds_list_head conns;
	size_t unsent; /* bytes queued on all of them */
};

static int64_t now_us(const http1_conn_t *c)
{
	return timer_svc_now(loop_timers(c->loop));
}

/* The bytes queued have changed: there were so many. */
static void count_unsent(http1_conn_t *c, size_t before)
{
	if (c->listener)
		c->listener->unsent += c->out.n - before;
}

/* So many bytes of a response's head wait for the rest of it. */
static void count_head(http1_conn_t *c, size_t n)
{
	if (!c->heads)
		return;
	c->heads->bytes += n - c->head_counted;
	c->head_counted = n;
}

static size_t head_max(const http1_conn_t *c)
{
	if (c->incoming)
		return c->limits->head_max;
	if (!c->heads)
		return RESPONSE_HEAD_MAX;
	return buffer_share(c->heads->bytes, c->heads->max, RESPONSE_HEAD_MAX,
			    RESPONSE_HEAD_MIN);
}

size_t http1_listener_unsent(const http1_listener_t *ls)
{
	return ls ? ls->unsent : 0;
}

static void conn_free(loop_deferred_free_t *g)
{
	http1_conn_t *c = (http1_conn_t *)g;

	buf_free(&c->in);
	buf_free(&c->raw);
	buf_free(&c->out);
	buf_free(&c->head_bytes);
	free(c);
}

static void conn_destroy(http1_conn_t *c)
{
	int fd = c->watch.fd;

	if (c->state == CONN_CLOSED)
		return;
	c->state = CONN_CLOSED;
	c->owned = false;
	loop_unwatch(c->loop, &c->watch);
	loop_cancel_deferred(&c->flush);
	timer_svc_cancel(loop_timers(c->loop), &c->timer);
	if (c->incoming) {
		cds_list_del(&c->node);
		c->listener->unsent -= c->out.n;
	}
	count_head(c, 0);
	if (fd >= 0)
		close(fd);
	loop_defer_free(c->loop, &c->deferred_free);
}

/* Closes the connection and calls closed() of its owner. */
static void conn_end(http1_conn_t *c, http1_close_reason_t why)
{
	bool owned = c->owned;

	if (c->state == CONN_CLOSED)
		return;
	conn_destroy(c);
	if (owned && c->ops.closed)
		c->ops.closed(c->ctx, why);
}

void http1_close(http1_conn_t *c)
{
	c->owned = false;
	conn_destroy(c);
}

void http1_reset(http1_conn_t *c)
{
	struct linger abort_on_close = {1, 0};
	int fd = c->watch.fd;

	if (fd >= 0) {
		/* What the socket does not take now is lost with the reset. */
		if (c->out.n)
			(void)!send(fd, c->out.p, c->out.n,
				    MSG_NOSIGNAL | MSG_DONTWAIT);
		setsockopt(fd, SOL_SOCKET, SO_LINGER, &abort_on_close,
			   sizeof(abort_on_close));
	}
	http1_close(c);
}

static void update_events(http1_conn_t *c)
{
	uint32_t events = 0;

	/* A target's close comes behind bytes that are still to be read. */
	if (c->incoming || !c->reading_paused)
		events |= EPOLLRDHUP;
	if (!c->reading_paused || c->state == CONN_LINGERING)
		events |= EPOLLIN;
	if (c->out.n || c->state == CONN_CONNECTING)
		events |= EPOLLOUT;
	loop_set_events(c->loop, &c->watch, events);
}

static void start_linger(http1_conn_t *c)
{
	c->state = CONN_LINGERING;
	shutdown(c->watch.fd, SHUT_WR);
	timer_svc_arm(loop_timers(c->loop), &c->timer, now_us(c) + LINGER_US);
	update_events(c);
}

/*
 * A caller that has no room for the rest of a response that is queued whole gets as long
 * as it may be idle: no target waits for it. Else the kernel's end comes sooner.
 */
static void set_patience(http1_conn_t *c)
{
	bool whole = c->closing || c->state == CONN_AWAIT_HEAD;

	if (!c->incoming || c->patient == whole || !(c->out.n || c->patient))
		return;
	c->patient = whole;
	socket_set_user_timeout(c->watch.fd,
				whole ? c->limits->idle_timeout_us : 0);
}

static void flush_output(http1_conn_t *c)
{
	size_t done = 0;

	while (done < c->out.n) {
		ssize_t n = send(c->watch.fd, c->out.p + done, c->out.n - done,
				 MSG_NOSIGNAL | MSG_DONTWAIT);

		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0 && errno != EAGAIN) {
			conn_end(c, HTTP1_RESET);
			return;
		}
		if (n <= 0)
			break;
		done += (size_t)n;
	}
	buf_consume(&c->out, done);
	count_unsent(c, c->out.n + done);
	if (done)
		c->progress_us = now_us(c);
	set_patience(c);
	buf_trim(&c->out, KEEP_BYTES);
	if (!c->out.n && c->closing && c->state != CONN_LINGERING) {
		start_linger(c);
		return;
	}
	update_events(c);
	if (done && !c->out.n && c->owned && c->ops.drained)
		c->ops.drained(c->ctx);
}

/*
 * Closes once all is written. A caller that takes nothing for as long as it may be
 * idle is cut off, as its bytes would be kept for ever.
 */
static void begin_closing(http1_conn_t *c)
{
	timer_svc_t *timers = loop_timers(c->loop);

	c->closing = true;
	if (c->incoming)
		timer_svc_arm(timers, &c->timer,
			      now_us(c) + c->limits->idle_timeout_us);
	else
		timer_svc_cancel(timers, &c->timer);
	loop_defer(c->loop, &c->flush);
}

/* Of the responses before: whether the caller goes on taking bytes of them. */
static bool takes_responses(http1_conn_t *c, int64_t now)
{
	int64_t until = c->progress_us + c->limits->idle_timeout_us;

	if (!c->out.n || now >= until)
		return false;
	timer_svc_arm(loop_timers(c->loop), &c->timer, until);
	return true;
}

static void on_flush(void *ctx)
{
	http1_conn_t *c = ctx;

	if (c->state != CONN_CLOSED && c->state != CONN_CONNECTING &&
	    c->state != CONN_LINGERING)
		flush_output(c);
}

/* Callbacks of the parser. */

static int on_target(http_parser *p, const char *at, size_t n)
{
	http1_conn_t *c = p->data;

	c->head.target = str_n(at, n);
	return 0;
}

static int on_headers_complete(http_parser *p)
{
	const http1_conn_t *c = p->data;

	if (c->no_body)
		return 1;
	return !c->incoming && !http1_status_has_body((int)p->status_code);
}

static int on_body(http_parser *p, const char *at, size_t n)
{
	http1_conn_t *c = p->data;

	if (c->owned && c->ops.body)
		c->ops.body(c->ctx, str_n(at, n));
	return c->state == CONN_CLOSED ? -1 : 0;
}

static int on_message_end(http_parser *p)
{
	http1_conn_t *c = p->data;

	c->message_complete = true;
	http_parser_pause(p, 1);
	return 0;
}

static const http_parser_settings parser_settings = {
	.on_url = on_target,
	.on_headers_complete = on_headers_complete,
	.on_body = on_body,
	.on_message_complete = on_message_end,
};

/* Calls closed() of the owner, then sends the caller a status and closes. */
static void send_error_and_close(http1_conn_t *c, const char *status,
				 http1_close_reason_t why)
{
	bool owned = c->owned;
	size_t before = c->out.n;

	c->owned = false;
	buf_printf(&c->out,
		   "HTTP/1.1 %s\r\nContent-Length: 0\r\n"
		   "Connection: close\r\n\r\n",
		   status);
	count_unsent(c, before);
	begin_closing(c);
	if (owned && c->ops.closed)
		c->ops.closed(c->ctx, why);
}

/* Ends the connection; a caller gets the status first. */
static void refuse_message(http1_conn_t *c, const char *status,
			   http1_close_reason_t why)
{
	if (!c->incoming)
		conn_end(c, why);
	else if (!c->closing)
		send_error_and_close(c, status, why);
}

static void close_malformed(http1_conn_t *c)
{
	refuse_message(c, "400 Bad Request", HTTP1_MALFORMED);
}

static void fill_head(http1_conn_t *c)
{
	http1_head_t *h = &c->head;

	if (c->incoming)
		h->method = str_c(
			http_method_str((enum http_method)c->parser.method));
	h->status = c->parser.status_code;
	h->chunked = (c->parser.flags & F_CHUNKED) != 0;
	h->body_length = -1;
	if (c->parser.flags & F_CONTENTLENGTH)
		h->body_length = (int64_t)c->parser.content_length;
	else if (c->incoming && !h->chunked)
		h->body_length = 0;
	h->keep_alive = http_should_keep_alive(&c->parser);
	h->keep_alive_timeout_us = http1_read_keep_alive_us(h);
}

/* Bytes of the head at the start of the input; 0: not complete yet. */
static size_t head_size(const buf_t *in)
{
	const char *end = memmem(in->p, in->n, "\r\n\r\n", 4);

	return end ? (size_t)(end - in->p) + 4 : 0;
}

/* Clients may send empty lines between requests; no response begins with one. */
static void skip_empty_lines(http1_conn_t *c)
{
	size_t n = 0;

	if (!c->incoming)
		return;
	while (c->in.n - n >= 2 && c->in.p[n] == '\r' && c->in.p[n + 1] == '\n')
		n += 2;
	buf_consume(&c->in, n);
	c->preamble_bytes += n;
}

static void finish_message(http1_conn_t *c)
{
	http_parser_pause(&c->parser, 0);
	c->state = c->incoming ? CONN_RESPONDING : CONN_IDLE;
	c->no_body = false;
	if (c->owned && c->ops.message_end)
		c->ops.message_end(c->ctx);
}

/* Fills the fields of the head; -1: it is not valid, or has too many. */
static int read_fields(http1_conn_t *c)
{
	http1_lines_t l = {.at = c->incoming ? HTTP1_AT_REQUEST
					     : HTTP1_AT_STATUS};
	str_t rest = buf_str(&c->head_bytes);
	http1_head_t *h = &c->head;
	int rc;

	while ((rc = http1_lines_next(&l, &rest)) > 0) {
		if (!l.name.n)
			continue;
		if (h->n_fields == HTTP1_FIELDS_MAX)
			return -1;
		h->fields[h->n_fields++] = (http1_field_t){l.name, l.value};
	}
	return rc;
}

/* True where the rest of the input can be processed now. */
static bool parse_head(http1_conn_t *c)
{
	size_t max;
	size_t n;

	skip_empty_lines(c);
	count_head(c, c->in.n);
	max = head_max(c);
	n = c->in.n ? head_size(&c->in) : 0;
	if (n > max || (!n && c->in.n > max) || c->preamble_bytes > max) {
		refuse_message(c, "431 Request Header Fields Too Large",
			       HTTP1_HEAD_TOO_LARGE);
		return false;
	}
	if (!n) {
		if (c->in.n && memmem(c->in.p, c->in.n, "\n\n", 2))
			close_malformed(c);
		return false;
	}
	buf_reset(&c->head_bytes);
	buf_put(&c->head_bytes, c->in.p, n);
	buf_consume(&c->in, n);
	count_head(c, 0);
	memset(&c->head, 0, sizeof(c->head));
	http_parser_init(&c->parser,
			 c->incoming ? HTTP_REQUEST : HTTP_RESPONSE);
	c->parser.data = c;
	c->message_complete = false;
	if (read_fields(c) < 0 ||
	    http_parser_execute(&c->parser, &parser_settings, c->head_bytes.p,
				n) != n) {
		close_malformed(c);
		return false;
	}
	if (!c->incoming &&
	    http1_status_is_interim((int)c->parser.status_code)) {
		c->preamble_bytes += n;
		return true;
	}
	c->preamble_bytes = 0;
	fill_head(c);
	timer_svc_cancel(loop_timers(c->loop), &c->timer);
	memset(&c->chunks, 0, sizeof(c->chunks));
	c->state = CONN_READ_BODY;
	if (c->owned && c->ops.head)
		c->ops.head(c->ctx, &c->head);
	if (c->state == CONN_READ_BODY && c->message_complete)
		finish_message(c);
	return c->state != CONN_CLOSED && !c->closing;
}

/* Bytes of the body in the input; behind them it is malformed, or has ended. */
static size_t body_size(http1_conn_t *c)
{
	return c->head.chunked ? http1_chunks_read(&c->chunks, buf_str(&c->in))
			       : c->in.n;
}

static bool parse_body(http1_conn_t *c)
{
	size_t size = c->in.n;
	size_t n = body_size(c);
	size_t done;
	enum http_errno err;
	buf_t in = c->in;

	if (!size)
		return false;
	/* The owner may close the connection in a callback of the parser. */
	memset(&c->in, 0, sizeof(c->in));
	/* Without bytes, the parser would take it for the end of the connection. */
	done = n ? http_parser_execute(&c->parser, &parser_settings, in.p, n)
		 : 0;
	if (c->state == CONN_CLOSED) {
		buf_free(&in);
		return false;
	}
	buf_consume(&in, done);
	c->in = in;
	err = HTTP_PARSER_ERRNO(&c->parser);
	if (c->message_complete) {
		finish_message(c);
		return c->state != CONN_CLOSED && !c->closing;
	}
	if (err != HPE_OK || done != size)
		close_malformed(c);
	return false;
}

/* Parses what has been read, as far as the state of the connection permits. */
static void process_input(http1_conn_t *c)
{
	bool more = true;

	while (more && c->state != CONN_CLOSED && !c->closing) {
		more = false;
		if (c->state == CONN_AWAIT_HEAD)
			more = parse_head(c);
		else if (c->state == CONN_READ_BODY)
			more = parse_body(c);
		else if (c->state == CONN_IDLE && c->in.n)
			conn_end(c, HTTP1_UNEXPECTED_BYTES);
	}
}

/* The peer has shut down its side: ends a body that lasts until the close. */
static void on_eof(http1_conn_t *c)
{
	if (!c->incoming && c->state == CONN_READ_BODY &&
	    !c->message_complete && http1_ends_with_conn(&c->head)) {
		http_parser_execute(&c->parser, &parser_settings, NULL, 0);
		if (c->message_complete)
			finish_message(c);
	}
	conn_end(c, HTTP1_PEER_CLOSED);
}

/* The connection can carry a request. */
static void become_usable(http1_conn_t *c)
{
	timer_svc_cancel(loop_timers(c->loop), &c->timer);
	c->state = c->out.n ? CONN_AWAIT_HEAD : CONN_IDLE;
	update_events(c);
	if (c->owned && c->ops.connected)
		c->ops.connected(c->ctx);
}

static bool read_opened(http1_conn_t *c)
{
	ssize_t n = c->opened(buf_str(&c->raw));

	if (n < 0)
		conn_end(c, HTTP1_REFUSED);
	if (n <= 0)
		return false;
	buf_consume(&c->raw, (size_t)n);
	if (c->raw.n)
		conn_end(c, HTTP1_UNEXPECTED_BYTES);
	else
		become_usable(c);
	return c->state != CONN_CLOSED;
}

/* Moves what is whole of the frames from raw to in. */
static void unframe(http1_conn_t *c)
{
	while (c->raw.n && !c->peer_ended) {
		uint32_t n = c->frame_left;

		if (!n) {
			if (c->raw.n < HTTP1_FRAME_LENGTH_BYTES)
				return;
			memcpy(&n, c->raw.p, sizeof(n));
			buf_consume(&c->raw, HTTP1_FRAME_LENGTH_BYTES);
			c->frame_left = ntohl(n);
			c->peer_ended = !c->frame_left;
			continue;
		}
		if (n > c->raw.n)
			n = (uint32_t)c->raw.n;
		buf_put(&c->in, c->raw.p, n);
		buf_consume(&c->raw, n);
		c->frame_left -= n;
	}
}

/* Handles new bytes in raw; false: the connection has ended. */
static bool take_frames(http1_conn_t *c)
{
	if (c->state == CONN_OPENING && !read_opened(c))
		return c->state != CONN_CLOSED;
	unframe(c);
	process_input(c);
	if (c->state != CONN_CLOSED && c->peer_ended)
		on_eof(c);
	return c->state != CONN_CLOSED;
}

/* Handles new bytes in in; false: the connection has ended. */
static bool take_bytes(http1_conn_t *c)
{
	if (c->state == CONN_AWAIT_HEAD && !c->head_started_us && c->incoming) {
		c->head_started_us = now_us(c);
		timer_svc_arm(loop_timers(c->loop), &c->timer,
			      c->head_started_us + c->limits->head_timeout_us);
	}
	process_input(c);
	return c->state != CONN_CLOSED;
}

static void read_input(http1_conn_t *c)
{
	buf_t *to = c->opened ? &c->raw : &c->in;

	for (;;) {
		ssize_t n = recv(c->watch.fd, buf_reserve(to, READ_BYTES),
				 READ_BYTES, MSG_DONTWAIT);

		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0 && errno == EAGAIN)
			return;
		if (n < 0 || (n == 0 && c->opened)) {
			conn_end(c, HTTP1_RESET);
			return;
		}
		if (n == 0) {
			on_eof(c);
			return;
		}
		if (c->state == CONN_LINGERING || c->closing) {
			buf_reset(to);
			return;
		}
		to->n += (size_t)n;
		if (!(c->opened ? take_frames(c) : take_bytes(c)))
			return;
		if (!c->in.n && c->in.cap > KEEP_BYTES)
			buf_free(&c->in);
		if (c->state == CONN_RESPONDING &&
		    c->in.n > PIPELINED_BYTES_MAX) {
			c->reading_paused = true;
			update_events(c);
		}
		if ((size_t)n < READ_BYTES || c->reading_paused)
			return;
	}
}

static void on_connected(http1_conn_t *c, uint32_t events)
{
	int error = 0;
	socklen_t n = sizeof(error);

	getsockopt(c->watch.fd, SOL_SOCKET, SO_ERROR, &error, &n);
	if (error) {
		conn_end(c, HTTP1_REFUSED);
		return;
	}
	if (c->opened) {
		c->state = CONN_OPENING;
		update_events(c);
		return;
	}
	/* What comes before a request is no answer to it. */
	if (events & EPOLLRDHUP)
		conn_end(c, HTTP1_PEER_CLOSED);
	else if (events & EPOLLIN)
		conn_end(c, HTTP1_UNEXPECTED_BYTES);
	else
		become_usable(c);
}

static void on_event(void *ctx, uint32_t events)
{
	http1_conn_t *c = ctx;

	if (c->state == CONN_CONNECTING) {
		on_connected(c, events);
		return;
	}
	if ((events & EPOLLOUT) && c->out.n)
		flush_output(c);
	if (c->state == CONN_CLOSED)
		return;
	if ((events & EPOLLIN) &&
	    !(c->reading_paused && c->state != CONN_LINGERING))
		read_input(c);
	else if (events & (EPOLLERR | EPOLLHUP))
		conn_end(c, HTTP1_RESET);
	else if (events & EPOLLRDHUP)
		conn_end(c, HTTP1_PEER_CLOSED);
}

static void on_timer(void *ctx, int64_t now)
{
	http1_conn_t *c = ctx;

	if (c->state == CONN_CONNECTING || c->state == CONN_OPENING)
		conn_end(c, HTTP1_CONNECT_TIMEOUT);
	else if (c->state == CONN_LINGERING)
		conn_destroy(c);
	else if ((c->closing || !c->in.n) && takes_responses(c, now))
		return;
	else if (c->closing)
		http1_reset(c);
	else if (c->state == CONN_AWAIT_HEAD && c->in.n)
		send_error_and_close(c, "408 Request Timeout",
				     HTTP1_HEAD_TIMEOUT);
	else if (c->state == CONN_AWAIT_HEAD)
		conn_end(c, HTTP1_IDLE);
}

static http1_conn_t *conn_new(loop_t *l, int fd, uint32_t events)
{
	http1_conn_t *c = xcalloc(1, sizeof(*c));

	c->deferred_free.free_fn = conn_free;
	c->loop = l;
	c->watch.fn = on_event;
	c->watch.ctx = c;
	c->flush.fn = on_flush;
	c->flush.ctx = c;
	timer_sub_init(&c->timer, on_timer, c);
	socket_set_options(fd);
	if (loop_watch(l, &c->watch, fd, events) == 0)
		return c;
	free(c);
	return NULL;
}

http1_conn_t *http1_connect(loop_t *l, const http1_dial_t *dial,
			    const http1_ops_t *ops, void *ctx)
{
	int fd = socket_connect(&dial->to, dial->from);
	http1_conn_t *c;

	if (fd < 0)
		return NULL;
	c = conn_new(l, fd, EPOLLIN | EPOLLOUT | EPOLLRDHUP);
	if (!c) {
		close(fd);
		return NULL;
	}
	c->state = CONN_CONNECTING;
	c->ops = *ops;
	c->ctx = ctx;
	c->owned = true;
	c->opened = dial->opened;
	c->heads = dial->heads;
	buf_put(&c->out, dial->opening.p, dial->opening.n);
	timer_svc_arm(loop_timers(l), &c->timer, now_us(c) + dial->timeout_us);
	return c;
}

void http1_expect_no_body(http1_conn_t *c)
{
	c->no_body = true;
}

struct in_addr http1_peer(const http1_conn_t *c)
{
	struct sockaddr_in addr = {0};
	socklen_t n = sizeof(addr);

	getpeername(c->watch.fd, (struct sockaddr *)&addr, &n);
	return addr.sin_addr;
}

void http1_set_owner(http1_conn_t *c, const http1_ops_t *ops, void *ctx)
{
	c->ops = *ops;
	c->ctx = ctx;
	c->owned = true;
}

void http1_send(http1_conn_t *c, const void *p, size_t n)
{
	if (c->state == CONN_CLOSED || c->closing)
		return;
	if (!c->incoming && c->state == CONN_IDLE)
		c->state = CONN_AWAIT_HEAD;
	if (!c->out.n)
		c->progress_us = now_us(c);
	buf_put(&c->out, p, n);
	count_unsent(c, c->out.n - n);
	loop_defer(c->loop, &c->flush);
}

size_t http1_unsent_bytes(const http1_conn_t *c)
{
	return c->out.n;
}

void http1_pause_reading(http1_conn_t *c, bool on)
{
	if (c->state == CONN_CLOSED || c->reading_paused == on)
		return;
	c->reading_paused = on;
	update_events(c);
}

bool http1_is_idle(const http1_conn_t *c)
{
	return c->state == CONN_IDLE && !c->out.n && !c->in.n;
}

void http1_await_response(http1_conn_t *c)
{
	if (c->state == CONN_IDLE)
		c->state = CONN_AWAIT_HEAD;
}

static void resume_input(void *ctx)
{
	process_input(ctx);
}

static void await_request(http1_conn_t *c)
{
	c->state = CONN_AWAIT_HEAD;
	c->head_started_us = 0;
	timer_svc_arm(loop_timers(c->loop), &c->timer,
		      now_us(c) + c->limits->idle_timeout_us);
}

void http1_await_request(http1_conn_t *c)
{
	if (c->state == CONN_CLOSED || c->closing)
		return;
	await_request(c);
	http1_pause_reading(c, false);
	if (c->in.n)
		resume_input(c);
}

void http1_close_when_sent(http1_conn_t *c)
{
	if (c->state == CONN_CLOSED)
		return;
	c->owned = false;
	begin_closing(c);
}

/* Listeners. */

static void accept_one(http1_listener_t *ls, int fd)
{
	http1_conn_t *c = conn_new(ls->loop, fd, EPOLLIN | EPOLLRDHUP);

	if (!c) {
		close(fd);
		return;
	}
	c->incoming = true;
	c->limits = ls->limits;
	c->listener = ls;
	cds_list_add(&c->node, &ls->conns);
	await_request(c);
	c->ops = ls->ops;
	c->owned = true;
	c->ctx = ls->accepted(ls->ctx, c);
}

static void on_acceptable(void *ctx, uint32_t events)
{
	http1_listener_t *ls = ctx;

	(void)events;
	for (;;) {
		int fd = accept4(ls->watch.fd, NULL, NULL,
				 SOCK_NONBLOCK | SOCK_CLOEXEC);

		if (fd < 0 && errno == EINTR)
			continue;
		if (fd < 0)
			return;
		accept_one(ls, fd);
	}
}

http1_listener_t *http1_listen(loop_t *l, const struct sockaddr_in *addr,
			       const http1_limits_t *limits,
			       const http1_ops_t *ops,
			       void *(*accepted)(void *ctx, http1_conn_t *c),
			       void *ctx)
{
	http1_listener_t *ls = xcalloc(1, sizeof(*ls));
	int fd = socket_listen(addr);

	ls->loop = l;
	ls->limits = limits;
	ls->ops = *ops;
	ls->accepted = accepted;
	ls->ctx = ctx;
	ls->watch.fn = on_acceptable;
	ls->watch.ctx = ls;
	CDS_INIT_LIST_HEAD(&ls->conns);
	if (fd >= 0 && loop_watch(l, &ls->watch, fd, EPOLLIN) == 0)
		return ls;
	if (fd >= 0)
		close(fd);
	free(ls);
	return NULL;
}

static void stop_accepting(http1_listener_t *ls)
{
	int fd = ls->watch.fd;

	loop_unwatch(ls->loop, &ls->watch);
	if (fd >= 0)
		close(fd);
}

/* Bytes of a request may have come that have not been read yet. */
static bool has_unread_bytes(const http1_conn_t *c)
{
	char byte;

	return recv(c->watch.fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

bool http1_drain(http1_listener_t *ls)
{
	http1_conn_t *c, *tmp;

	if (ls->watch.fd >= 0)
		on_acceptable(ls, EPOLLIN);
	stop_accepting(ls);
	cds_list_for_each_entry_safe (c, tmp, &ls->conns, node) {
		if (c->state == CONN_AWAIT_HEAD && !c->in.n && !c->out.n &&
		    !has_unread_bytes(c))
			conn_end(c, HTTP1_CLOSED_LOCALLY);
	}
	return cds_list_empty(&ls->conns);
}

void http1_unlisten(http1_listener_t *ls)
{
	http1_conn_t *c, *tmp;

	if (!ls)
		return;
	stop_accepting(ls);
	cds_list_for_each_entry_safe (c, tmp, &ls->conns, node) {
		conn_end(c, HTTP1_CLOSED_LOCALLY);
	}
	free(ls);
}
