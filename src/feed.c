/* feed.c - one daemon's part in the tree that carries decided entries. */
#include "feed.h"

#include <stdlib.h>
#include <string.h>

#define PUSH_BYTES (192u << 10)
#define PUSH_RECORDS 1024u
#define CHUNK_BYTES (64u << 10)
/* Places for children whose own parent has failed: fanout times this. */
#define PLACES_PER_FANOUT 2u
/* A child that did not pull for so many beats has gone. */
#define CHILD_BEATS 4
/* Bytes kept for resumption. */
#define KEEP_BYTES (4u << 20)

typedef struct feed_rec {
	uint64_t index;
	uint64_t prev; /* fed entry before it */
	uint32_t kind;
	str_t data; /* owned */
} feed_rec_t;

typedef struct feed_child {
	host_id_t host;
	uint64_t sent; /* up to which entry */
	int64_t heard_us;
	int64_t sent_us;
} feed_child_t;

struct feed {
	feed_cfg_t cfg;
	feed_ops_t ops;
	void *ctx;
	uint64_t index;

	/* Latest entries: recs[(head + i) % keep], i < n; oldest first. */
	feed_rec_t *recs;
	size_t head;
	size_t n;
	size_t bytes;

	feed_child_t *children;
	size_t n_children;
	buf_t snap; /* made when a child needs it */
	uint64_t snap_index;

	host_id_t parent;
	int64_t parent_heard_us;
	int64_t pull_due_us;
	buf_t in; /* snapshot being received */
	uint64_t in_index;
};

static feed_rec_t *rec(const feed_t *f, size_t i)
{
	return &f->recs[(f->head + i) % f->cfg.keep];
}

static void drop_oldest(feed_t *f)
{
	feed_rec_t *r = rec(f, 0);

	f->bytes -= r->data.n;
	str_free(&r->data);
	f->head = (f->head + 1) % f->cfg.keep;
	f->n--;
}

static void keep_rec(feed_t *f, uint64_t index, uint32_t kind, str_t data)
{
	feed_rec_t *r;

	while (f->n && (f->n == f->cfg.keep || f->bytes + data.n > KEEP_BYTES))
		drop_oldest(f);
	r = rec(f, f->n++);
	r->index = index;
	r->prev = f->index;
	r->kind = kind;
	r->data = str_copy(data);
	f->bytes += data.n;
	f->index = index;
}

/* Position of the entry that follows index; false where it is not kept. */
static bool find_after(const feed_t *f, uint64_t index, size_t *pos)
{
	size_t lo = 0;
	size_t hi = f->n;

	while (lo < hi) {
		size_t mid = lo + (hi - lo) / 2;

		if (rec(f, mid)->prev < index)
			lo = mid + 1;
		else
			hi = mid;
	}
	*pos = lo;
	if (lo < f->n)
		return rec(f, lo)->prev == index;
	return index == f->index;
}

static void send_body(feed_t *f, host_id_t to, Peer__Msg__BodyCase which,
		      void *body)
{
	Peer__Msg msg = PEER__MSG__INIT;

	msg.body_case = which;
	msg.vote_req = body; /* all members of the union are pointers */
	f->ops.send(f->ctx, to, &msg);
}

/* Pushes what follows index; nothing but a sign of life where that is all. */
static void push_after(feed_t *f, feed_child_t *c, uint64_t index, size_t pos,
		       int64_t now_us)
{
	Peer__FeedPush pb = PEER__FEED_PUSH__INIT;
	size_t max = f->n - pos < PUSH_RECORDS ? f->n - pos : PUSH_RECORDS;
	AUTO_FREE Peer__Record *recs = xmalloc(max * sizeof(*recs));
	AUTO_FREE Peer__Record **ptrs = xmalloc(max * sizeof(*ptrs));
	size_t bytes = 0;

	pb.prev_index = index;
	pb.records = ptrs;
	while (pb.n_records < max) {
		const feed_rec_t *r = rec(f, pos + pb.n_records);
		Peer__Record *out = &recs[pb.n_records];

		if (pb.n_records && bytes + r->data.n > PUSH_BYTES)
			break;
		peer__record__init(out);
		out->index = r->index;
		out->kind = r->kind;
		out->data.data = (uint8_t *)r->data.p;
		out->data.len = r->data.n;
		bytes += r->data.n;
		ptrs[pb.n_records++] = out;
		c->sent = r->index;
	}
	c->sent_us = now_us;
	send_body(f, c->host, PEER__MSG__BODY_FEED_PUSH, &pb);
}

static void send_chunk(feed_t *f, feed_child_t *c, const Peer__FeedPull *p,
		       int64_t now_us)
{
	Peer__FeedChunk pb = PEER__FEED_CHUNK__INIT;
	size_t at = 0;
	size_t pos;

	/* A snapshot that entries no longer follow on is of no use. */
	if (!f->snap.n || !find_after(f, f->snap_index, &pos)) {
		buf_reset(&f->snap);
		f->ops.save(f->ctx, &f->snap);
		f->snap_index = f->index;
	}
	if (p->snapshot_index == f->snap_index &&
	    p->snapshot_offset < f->snap.n)
		at = p->snapshot_offset;
	pb.index = f->snap_index;
	pb.offset = at;
	pb.total = f->snap.n;
	pb.data.data = (uint8_t *)f->snap.p + at;
	pb.data.len =
		f->snap.n - at < CHUNK_BYTES ? f->snap.n - at : CHUNK_BYTES;
	c->sent = f->snap_index;
	c->sent_us = now_us;
	send_body(f, c->host, PEER__MSG__BODY_FEED_CHUNK, &pb);
}

static void drop_silent_children(feed_t *f, int64_t now_us)
{
	int64_t bound = f->cfg.beat_us * CHILD_BEATS;

	for (size_t i = 0; i < f->n_children;) {
		if (now_us - f->children[i].heard_us < bound)
			i++;
		else
			f->children[i] = f->children[--f->n_children];
	}
}

static feed_child_t *get_child(feed_t *f, host_id_t host, int64_t now_us)
{
	size_t places = f->cfg.fanout * PLACES_PER_FANOUT;
	feed_child_t *c;

	for (size_t i = 0; i < f->n_children; i++)
		if (f->children[i].host == host)
			return &f->children[i];
	drop_silent_children(f, now_us);
	if (f->n_children == places)
		return NULL;
	c = &f->children[f->n_children++];
	memset(c, 0, sizeof(*c));
	c->host = host;
	return c;
}

static void on_pull(feed_t *f, host_id_t from, const Peer__FeedPull *p,
		    int64_t now_us)
{
	feed_child_t *c = get_child(f, from, now_us);
	uint64_t after = p->index;
	size_t pos;

	if (!c || p->index > f->index) {
		Peer__FeedPush pb = PEER__FEED_PUSH__INIT;

		pb.refused = !c;
		pb.prev_index = f->index;
		if (c) {
			c->heard_us = now_us;
			c->sent = p->index;
		}
		send_body(f, from, PEER__MSG__BODY_FEED_PUSH, &pb);
		return;
	}
	c->heard_us = now_us;
	if (!find_after(f, p->index, &pos)) {
		send_chunk(f, c, p, now_us);
		return;
	}
	/* What was pushed a moment ago is on its way. */
	if (c->sent > p->index && !p->gap &&
	    now_us - c->sent_us < f->cfg.beat_us &&
	    find_after(f, c->sent, &pos))
		after = c->sent;
	else
		find_after(f, p->index, &pos);
	push_after(f, c, after, pos, now_us);
}

void feed_add(feed_t *f, uint64_t index, uint32_t kind, str_t data,
	      int64_t now_us)
{
	uint64_t prev = f->index;

	keep_rec(f, index, kind, data);
	for (size_t i = 0; i < f->n_children; i++)
		if (f->children[i].sent == prev)
			push_after(f, &f->children[i], prev, f->n - 1, now_us);
}

void feed_jump(feed_t *f, uint64_t index)
{
	while (f->n)
		drop_oldest(f);
	f->index = index;
	buf_reset(&f->snap);
}

static void pull(feed_t *f, bool gap, int64_t now_us)
{
	Peer__FeedPull pb = PEER__FEED_PULL__INIT;

	f->pull_due_us = now_us + f->cfg.beat_us;
	if (!f->parent)
		return;
	pb.index = f->index;
	pb.snapshot_index = f->in_index;
	pb.snapshot_offset = f->in.n;
	pb.gap = gap;
	send_body(f, f->parent, PEER__MSG__BODY_FEED_PULL, &pb);
}

static void on_push(feed_t *f, host_id_t from, const Peer__FeedPush *p,
		    int64_t now_us)
{
	uint64_t prev = p->prev_index;
	uint64_t before = f->index;

	if (p->refused) {
		if (from == f->parent)
			f->ops.orphaned(f->ctx);
		return;
	}
	if (from == f->parent)
		f->parent_heard_us = now_us;
	for (size_t i = 0; i < p->n_records; i++) {
		const Peer__Record *r = p->records[i];
		str_t data = str_n((char *)r->data.data, r->data.len);

		if (prev == f->index && r->index > f->index) {
			if (f->ops.apply(f->ctx, r->index, r->kind, data))
				return;
			feed_add(f, r->index, r->kind, data, now_us);
		}
		prev = r->index;
	}
	/* Entries acknowledge at once; a gap asks again. */
	if (p->n_records && (f->index > before || p->prev_index > f->index))
		pull(f, p->prev_index > f->index, now_us);
}

static void on_chunk(feed_t *f, host_id_t from, const Peer__FeedChunk *c,
		     int64_t now_us)
{
	AUTO_BUF buf_t whole = {0};

	if (from != f->parent)
		return;
	f->parent_heard_us = now_us;
	if (c->index <= f->index || c->offset + c->data.len > c->total)
		return;
	if (f->in_index != c->index) {
		buf_reset(&f->in);
		f->in_index = c->index;
	}
	if (c->offset != f->in.n)
		return;
	buf_put(&f->in, c->data.data, c->data.len);
	if (f->in.n < c->total) {
		pull(f, false, now_us);
		return;
	}
	whole = f->in;
	memset(&f->in, 0, sizeof(f->in));
	f->in_index = 0;
	if (f->ops.load(f->ctx, c->index, buf_str(&whole)))
		return;
	feed_jump(f, c->index);
	pull(f, false, now_us);
}

void feed_recv(feed_t *f, host_id_t from, const Peer__Msg *msg, int64_t now_us)
{
	switch (msg->body_case) {
	case PEER__MSG__BODY_FEED_PULL:
		on_pull(f, from, msg->feed_pull, now_us);
		break;
	case PEER__MSG__BODY_FEED_PUSH:
		on_push(f, from, msg->feed_push, now_us);
		break;
	case PEER__MSG__BODY_FEED_CHUNK:
		on_chunk(f, from, msg->feed_chunk, now_us);
		break;
	default:
		break;
	}
}

void feed_set_parent(feed_t *f, host_id_t parent, int64_t now_us)
{
	if (f->parent == parent)
		return;
	f->parent = parent;
	f->parent_heard_us = now_us;
	buf_reset(&f->in);
	f->in_index = 0;
	pull(f, false, now_us);
}

host_id_t feed_parent(const feed_t *f)
{
	return f->parent;
}

int64_t feed_tick(feed_t *f, int64_t now_us)
{
	if (!f->parent)
		return INT64_MAX;
	if (now_us >= f->pull_due_us)
		pull(f, false, now_us);
	if (now_us - f->parent_heard_us >= f->cfg.silent_us) {
		f->parent_heard_us = now_us;
		f->ops.orphaned(f->ctx);
	}
	if (f->parent_heard_us + f->cfg.silent_us < f->pull_due_us)
		return f->parent_heard_us + f->cfg.silent_us;
	return f->pull_due_us;
}

size_t feed_children(const feed_t *f)
{
	return f->n_children;
}

uint64_t feed_index(const feed_t *f)
{
	return f->index;
}

feed_t *feed_new(const feed_cfg_t *cfg, const feed_ops_t *ops, void *ctx)
{
	feed_t *f = xcalloc(1, sizeof(*f));

	f->cfg = *cfg;
	f->ops = *ops;
	f->ctx = ctx;
	f->recs = xcalloc(cfg->keep, sizeof(*f->recs));
	f->children =
		xcalloc(cfg->fanout * PLACES_PER_FANOUT, sizeof(*f->children));
	return f;
}

void feed_free(feed_t *f)
{
	if (!f)
		return;
	while (f->n)
		drop_oldest(f);
	free(f->recs);
	free(f->children);
	buf_free(&f->snap);
	buf_free(&f->in);
	free(f);
}
