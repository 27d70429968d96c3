/* upstream.c - kept connections, and calls of our own. */
#include "upstream.h"

#include <stdlib.h>
#include <string.h>

/* Idle connections kept for one address, and how long at most. */
#define KEPT_MAX 16u
#define KEPT_US (8 * USEC_PER_SEC)
/* The peer's word on how long it keeps a connection, less its way to us. */
#define KEEP_ALIVE_MARGIN_US (500 * USEC_PER_MSEC)
#define CALL_BODY_MAX (8u << 20)

typedef struct kept {
	struct cds_list_head node;
	upstream_t *up;
	str_t addr;   /* owned */
	uint64_t key; /* hash of addr */
	http1_conn_t *conn;
	timer_sub_t timer;
	int64_t since_us;
} kept_t;

typedef struct call {
	struct cds_list_head node;
	upstream_t *up;
	str_t addr; /* owned */
	buf_t request;
	buf_t body;
	http1_conn_t *conn;
	http1_head_t head; /* of the answer */
	timer_sub_t timer;
	loop_task_t task; /* for the end that comes at once */
	bool sent;
	call_done_t done;
	void *ctx;
} call_t;

#define BUCKETS 256u

struct upstream {
	loop_t *loop;
	struct cds_list_head
		kept[BUCKETS]; /* kept_t by address, latest first */
	struct cds_list_head calls;
};

upstream_t *upstream_new(loop_t *l)
{
	upstream_t *u = xcalloc(1, sizeof(*u));

	u->loop = l;
	for (size_t i = 0; i < BUCKETS; i++)
		CDS_INIT_LIST_HEAD(&u->kept[i]);
	CDS_INIT_LIST_HEAD(&u->calls);
	return u;
}

static int64_t now_us(const upstream_t *u)
{
	return timer_svc_now(loop_timers(u->loop));
}

static void kept_free(kept_t *k)
{
	timer_svc_cancel(loop_timers(k->up->loop), &k->timer);
	cds_list_del(&k->node);
	str_free(&k->addr);
	free(k);
}

static void kept_closed(void *ctx, http1_end_t why)
{
	(void)why;
	kept_free(ctx);
}

static void kept_expired(void *ctx, int64_t now)
{
	kept_t *k = ctx;

	(void)now;
	http1_close(k->conn);
	kept_free(k);
}

static const http1_ops_t kept_ops = {.closed = kept_closed};

http1_conn_t *upstream_acquire(upstream_t *u, str_t addr, int64_t max_idle_us)
{
	uint64_t key = hash_bytes(addr.p, addr.n, 0);
	int64_t now = now_us(u);
	kept_t *k;

	cds_list_for_each_entry (k, &u->kept[key % BUCKETS], node) {
		http1_conn_t *c = k->conn;

		if (k->key != key || !str_eq(k->addr, addr) ||
		    !http1_is_idle(c) || now - k->since_us > max_idle_us)
			continue;
		kept_free(k);
		return c;
	}
	return NULL;
}

static int64_t keep_us(const http1_head_t *h)
{
	if (!h->keep_alive)
		return 0;
	if (h->keep_us < 0 || h->keep_us > KEPT_US)
		return KEPT_US;
	return h->keep_us - KEEP_ALIVE_MARGIN_US;
}

static size_t count_kept(const upstream_t *u, str_t addr, uint64_t key)
{
	const kept_t *k;
	size_t n = 0;

	cds_list_for_each_entry (k, &u->kept[key % BUCKETS], node)
		n += k->key == key && str_eq(k->addr, addr);
	return n;
}

void upstream_release(upstream_t *u, str_t addr, http1_conn_t *c,
		      const http1_head_t *h)
{
	uint64_t key = hash_bytes(addr.p, addr.n, 0);
	int64_t us = keep_us(h);
	kept_t *k;

	if (us <= 0 || !http1_is_idle(c) ||
	    count_kept(u, addr, key) >= KEPT_MAX) {
		http1_close(c);
		return;
	}
	k = xcalloc(1, sizeof(*k));
	k->up = u;
	k->addr = str_copy(addr);
	k->key = key;
	k->conn = c;
	k->since_us = now_us(u);
	timer_sub_init(&k->timer, kept_expired, k);
	timer_svc_arm(loop_timers(u->loop), &k->timer, k->since_us + us);
	cds_list_add(&k->node, &u->kept[key % BUCKETS]);
	http1_set_owner(c, &kept_ops, k);
}

/* Calls. */

static void call_free(call_t *c)
{
	timer_svc_cancel(loop_timers(c->up->loop), &c->timer);
	loop_forget(&c->task);
	cds_list_del(&c->node);
	str_free(&c->addr);
	buf_free(&c->request);
	buf_free(&c->body);
	free(c);
}

static void call_end(call_t *c, int status, http1_end_t end)
{
	call_result_t res = {.status = status,
			     .sent = c->sent,
			     .body = buf_str(&c->body),
			     .end = end};

	c->done(c->ctx, &res);
	call_free(c);
}

static void call_send(void *ctx)
{
	call_t *c = ctx;

	c->sent = true;
	http1_send(c->conn, c->request.p, c->request.n);
}

static void call_head(void *ctx, const http1_head_t *h)
{
	call_t *c = ctx;

	c->head = *h;
	c->head.n_fields = 0; /* their texts do not outlive the head */
}

static void call_body(void *ctx, str_t piece)
{
	call_t *c = ctx;

	if (c->body.n + piece.n <= CALL_BODY_MAX)
		buf_put(&c->body, piece.p, piece.n);
}

static void call_over(void *ctx)
{
	call_t *c = ctx;

	upstream_release(c->up, c->addr, c->conn, &c->head);
	call_end(c, c->head.status, HTTP1_LOCAL);
}

static void call_closed(void *ctx, http1_end_t why)
{
	call_end(ctx, 0, why);
}

static const http1_ops_t call_ops = {
	.connected = call_send,
	.head = call_head,
	.body = call_body,
	.end = call_over,
	.closed = call_closed,
};

static void call_timeout(void *ctx, int64_t now)
{
	call_t *c = ctx;

	(void)now;
	if (c->conn)
		http1_close(c->conn);
	call_end(c, 0, HTTP1_CONNECT_TIMEOUT);
}

static void call_refused(void *ctx)
{
	call_end(ctx, 0, HTTP1_REFUSED);
}

static void write_request(call_t *c, str_t target, const buf_t *body,
			  const char *extra)
{
	buf_printf(&c->request, "%s %.*s HTTP/1.1\r\nHost: %.*s\r\n",
		   body ? "POST" : "GET", STR_ARG(target), STR_ARG(c->addr));
	if (extra)
		buf_puts(&c->request, extra);
	if (body)
		buf_printf(&c->request,
			   "Content-Type: application/json\r\n"
			   "Content-Length: %zu\r\n",
			   body->n);
	buf_puts(&c->request, "\r\n");
	if (body)
		buf_put(&c->request, body->p, body->n);
}

void upstream_call(upstream_t *u, str_t addr, str_t target, const buf_t *body,
		   const char *extra_fields, int64_t timeout_us,
		   call_done_t done, void *ctx)
{
	call_t *c = xcalloc(1, sizeof(*c));
	struct sockaddr_in to;

	c->up = u;
	c->addr = str_copy(addr);
	c->done = done;
	c->ctx = ctx;
	cds_list_add(&c->node, &u->calls);
	timer_sub_init(&c->timer, call_timeout, c);
	timer_svc_arm(loop_timers(u->loop), &c->timer, now_us(u) + timeout_us);
	c->task.fn = call_refused;
	c->task.ctx = c;
	write_request(c, target, body, extra_fields);
	c->conn = upstream_acquire(u, addr, KEPT_US);
	if (c->conn) {
		http1_set_owner(c->conn, &call_ops, c);
		call_send(c);
		return;
	}
	if (http1_parse_addr(addr, &to) == 0)
		c->conn = http1_connect(u->loop, &to, timeout_us, &call_ops, c);
	if (!c->conn)
		loop_later(u->loop, &c->task);
}

void upstream_free(upstream_t *u)
{
	kept_t *k, *ktmp;
	call_t *c, *ctmp;

	if (!u)
		return;
	for (size_t i = 0; i < BUCKETS; i++)
		cds_list_for_each_entry_safe (k, ktmp, &u->kept[i], node) {
			http1_close(k->conn);
			kept_free(k);
		}
	cds_list_for_each_entry_safe (c, ctmp, &u->calls, node) {
		if (c->conn)
			http1_close(c->conn);
		call_free(c);
	}
	free(u);
}
