/* upstream.c - requests of this daemon's own, and a pool of idle connections. */
#include "upstream.h"

#include <stdlib.h>
#include <string.h>

/* Most idle connections that the pool keeps to one address. */
#define IDLE_PER_ADDR_MAX 16u
/* Longest time that the pool keeps an idle connection. */
#define IDLE_MAX_US (8 * USEC_PER_SEC)
/*
 * Subtracted from the idle timeout that a peer announces in a response: the
 * peer's timer started when it sent the response, before it arrived here.
 */
#define KEEP_ALIVE_MARGIN_US (500 * USEC_PER_MSEC)

/* A connection of the pool. */
typedef struct idle_conn {
	struct cds_list_head node;
	upstream_t *upstream;
	str_t addr;   /* owned */
	uint64_t key; /* hash of addr */
	http1_conn_t *conn;
	timer_sub_t timer;
} idle_conn_t;

typedef struct call {
	struct cds_list_head node;
	upstream_t *upstream;
	str_t addr;    /* owned */
	buf_t request; /* head and body, formatted */
	buf_t body;    /* of the response */
	http1_conn_t *conn;
	http1_head_t response_head; /* without its fields */
	size_t response_max;	    /* of its body, in bytes */
	timer_sub_t timer;
	/* Reports from the loop that connecting failed in upstream_call(). */
	loop_task_t connect_failed_task;
	bool sent;
	bool own_conn; /* the connection carries this call only */
	call_done_t done;
	void *ctx;
} call_t;

#define POOL_BUCKETS 256u

struct upstream {
	loop_t *loop;
	struct in_addr from;
	struct cds_list_head
		idle[POOL_BUCKETS]; /* by address; most recently used first */
	struct cds_list_head calls;
};

upstream_t *upstream_new(loop_t *l, struct in_addr from)
{
	upstream_t *u = xcalloc(1, sizeof(*u));

	u->loop = l;
	u->from = from;
	for (size_t i = 0; i < POOL_BUCKETS; i++)
		CDS_INIT_LIST_HEAD(&u->idle[i]);
	CDS_INIT_LIST_HEAD(&u->calls);
	return u;
}

static int64_t now_us(const upstream_t *u)
{
	return timer_svc_now(loop_timers(u->loop));
}

static void idle_conn_free(idle_conn_t *ic)
{
	timer_svc_cancel(loop_timers(ic->upstream->loop), &ic->timer);
	cds_list_del(&ic->node);
	str_free(&ic->addr);
	free(ic);
}

static void on_idle_closed(void *ctx, http1_close_reason_t why)
{
	(void)why;
	idle_conn_free(ctx);
}

static void on_idle_expired(void *ctx, int64_t now)
{
	idle_conn_t *ic = ctx;

	(void)now;
	http1_close(ic->conn);
	idle_conn_free(ic);
}

static const http1_ops_t idle_ops = {.closed = on_idle_closed};

/* A kept connection, out of the pool; NULL: there is none. */
static http1_conn_t *acquire(upstream_t *u, str_t addr)
{
	uint64_t key = hash_bytes(addr.p, addr.n, 0);
	idle_conn_t *ic;

	cds_list_for_each_entry (ic, &u->idle[key % POOL_BUCKETS], node) {
		http1_conn_t *c = ic->conn;

		if (ic->key != key || !str_eq(ic->addr, addr) ||
		    !http1_is_idle(c))
			continue;
		idle_conn_free(ic);
		return c;
	}
	return NULL;
}

/* How long a connection may stay idle after a response; <= 0: not at all. */
static int64_t keep_alive_timeout_us(const http1_head_t *h)
{
	if (!h->keep_alive)
		return 0;
	if (h->keep_alive_timeout_us < 0 ||
	    h->keep_alive_timeout_us > IDLE_MAX_US)
		return IDLE_MAX_US;
	return h->keep_alive_timeout_us - KEEP_ALIVE_MARGIN_US;
}

static size_t count_idle(const upstream_t *u, str_t addr, uint64_t key)
{
	const idle_conn_t *ic;
	size_t n = 0;

	cds_list_for_each_entry (ic, &u->idle[key % POOL_BUCKETS], node)
		n += ic->key == key && str_eq(ic->addr, addr);
	return n;
}

/*
 * Returns a connection to the pool, or closes it. h is the head of its last
 * response, which tells whether, and for how long, the peer keeps it open.
 */
static void release(upstream_t *u, str_t addr, http1_conn_t *c,
		    const http1_head_t *h)
{
	uint64_t key = hash_bytes(addr.p, addr.n, 0);
	int64_t us = keep_alive_timeout_us(h);
	idle_conn_t *ic;

	if (us <= 0 || !http1_is_idle(c) ||
	    count_idle(u, addr, key) >= IDLE_PER_ADDR_MAX) {
		http1_close(c);
		return;
	}
	ic = xcalloc(1, sizeof(*ic));
	ic->upstream = u;
	ic->addr = str_copy(addr);
	ic->key = key;
	ic->conn = c;
	timer_sub_init(&ic->timer, on_idle_expired, ic);
	timer_svc_arm(loop_timers(u->loop), &ic->timer, now_us(u) + us);
	cds_list_add(&ic->node, &u->idle[key % POOL_BUCKETS]);
	http1_set_owner(c, &idle_ops, ic);
}

/* Requests of this daemon's own. */

static void call_free(call_t *c)
{
	timer_svc_cancel(loop_timers(c->upstream->loop), &c->timer);
	loop_cancel_deferred(&c->connect_failed_task);
	cds_list_del(&c->node);
	str_free(&c->addr);
	buf_free(&c->request);
	buf_free(&c->body);
	free(c);
}

static void call_finish(call_t *c, int status, http1_close_reason_t end)
{
	call_result_t res = {.status = status,
			     .sent = c->sent,
			     .body = buf_str(&c->body),
			     .end = end};

	c->done(c->ctx, &res);
	call_free(c);
}

static void call_send_request(void *ctx)
{
	call_t *c = ctx;

	c->sent = true;
	http1_send(c->conn, c->request.p, c->request.n);
}

static void call_response_head(void *ctx, const http1_head_t *h)
{
	call_t *c = ctx;

	c->response_head = *h;
	c->response_head.n_fields = 0; /* their texts become invalid */
}

static void call_response_body(void *ctx, str_t piece)
{
	call_t *c = ctx;

	if (c->body.n + piece.n <= c->response_max) {
		buf_put(&c->body, piece.p, piece.n);
		return;
	}
	http1_close(c->conn);
	call_finish(c, 0, HTTP1_BODY_TOO_LARGE);
}

static void call_response_end(void *ctx)
{
	call_t *c = ctx;

	if (c->own_conn)
		http1_close(c->conn);
	else
		release(c->upstream, c->addr, c->conn, &c->response_head);
	call_finish(c, c->response_head.status, HTTP1_CLOSED_LOCALLY);
}

static void call_closed(void *ctx, http1_close_reason_t why)
{
	call_finish(ctx, 0, why);
}

static const http1_ops_t call_ops = {
	.connected = call_send_request,
	.head = call_response_head,
	.body = call_response_body,
	.message_end = call_response_end,
	.closed = call_closed,
};

static void on_call_timeout(void *ctx, int64_t now)
{
	call_t *c = ctx;

	(void)now;
	if (c->conn)
		http1_close(c->conn);
	call_finish(c, 0,
		    c->sent ? HTTP1_RESPONSE_TIMEOUT : HTTP1_CONNECT_TIMEOUT);
}

static void call_connect_failed(void *ctx)
{
	call_finish(ctx, 0, HTTP1_REFUSED);
}

static void write_request(call_t *c, const upstream_request_t *req)
{
	const buf_t *body = req->body;

	buf_printf(&c->request, "%s %.*s HTTP/1.1\r\nHost: %.*s\r\n",
		   body ? "POST" : "GET", STR_ARG(req->target),
		   STR_ARG(c->addr));
	if (req->fields)
		buf_puts(&c->request, req->fields);
	if (body)
		buf_printf(&c->request,
			   "Content-Type: application/json\r\n"
			   "Content-Length: %zu\r\n",
			   body->n);
	buf_puts(&c->request, "\r\n");
	if (body)
		buf_put(&c->request, body->p, body->n);
}

void upstream_call(upstream_t *u, const upstream_request_t *req,
		   call_done_t done, void *ctx)
{
	call_t *c = xcalloc(1, sizeof(*c));
	http1_dial_t dial = {.from = u->from, .timeout_us = req->timeout_us};

	c->upstream = u;
	c->addr = str_copy(req->addr);
	c->response_max = req->response_max;
	c->done = done;
	c->ctx = ctx;
	cds_list_add(&c->node, &u->calls);
	timer_sub_init(&c->timer, on_call_timeout, c);
	timer_svc_arm(loop_timers(u->loop), &c->timer,
		      now_us(u) + req->timeout_us);
	c->connect_failed_task.fn = call_connect_failed;
	c->connect_failed_task.ctx = c;
	write_request(c, req);
	/*
	 * A peer may send a response again, late. On a kept connection the copy
	 * would be taken for the answer of the next call, such as an order that
	 * was not accepted.
	 */
	c->own_conn = req->body != NULL;
	c->conn = c->own_conn ? NULL : acquire(u, req->addr);
	if (c->conn) {
		http1_set_owner(c->conn, &call_ops, c);
		call_send_request(c);
		return;
	}
	if (http1_parse_addr(req->addr, &dial.to) == 0)
		c->conn = http1_connect(u->loop, &dial, &call_ops, c);
	if (!c->conn)
		loop_defer(u->loop, &c->connect_failed_task);
}

void upstream_free(upstream_t *u)
{
	idle_conn_t *ic, *ic_tmp;
	call_t *c, *c_tmp;

	if (!u)
		return;
	for (size_t i = 0; i < POOL_BUCKETS; i++)
		cds_list_for_each_entry_safe (ic, ic_tmp, &u->idle[i], node) {
			http1_close(ic->conn);
			idle_conn_free(ic);
		}
	cds_list_for_each_entry_safe (c, c_tmp, &u->calls, node) {
		if (c->conn)
			http1_close(c->conn);
		call_free(c);
	}
	free(u);
}
