/* feed.c - one daemon's node in the tree that distributes log entries. */
#include "feed.h"

#include <stdlib.h>
#include <string.h>

/* Limits of one message to a child. */
#define PUSH_BYTES_MAX (192u << 10)
#define PUSH_RECORDS_MAX 1024u
#define CHUNK_BYTES_MAX (64u << 10)
/*
 * A parent takes up to fanout times this many children: besides its own, some
 * whose parent has failed.
 */
#define CHILDREN_PER_FANOUT 2u
/* A child that has not pulled for so many intervals is given up. */
#define CHILD_TIMEOUT_PULLS 4
/* Entries are kept up to this many bytes, so that children can resume. */
#define KEPT_BYTES_MAX (4u << 20)

typedef struct kept_record {
	uint64_t index;
	uint64_t prev_index; /* of the feed entry before it */
	uint32_t kind;
	str_t data; /* owned */
} kept_record_t;

typedef struct feed_child {
	host_id_t host;
	uint64_t sent_index; /* of the last entry sent to it */
	int64_t last_pull_us;
	int64_t last_send_us;
} feed_child_t;

struct feed {
	feed_cfg_t cfg;
	feed_ops_t ops;
	void *ctx;
	uint64_t index; /* of the latest entry applied here */

	/*
	 * The latest entries, oldest first, in a ring: entry i < n is
	 * records[(first_record + i) % cfg.max_records].
	 */
	kept_record_t *records;
	size_t first_record;
	size_t n; /* records */
	size_t record_bytes;

	feed_child_t *children;
	size_t n_children;
	buf_t outgoing_snapshot; /* for children; made when one needs it */
	uint64_t outgoing_snapshot_index;

	host_id_t parent;
	int64_t parent_heard_us; /* when the last message came from it */
	int64_t pull_due_us;
	buf_t incoming_snapshot; /* the part received so far */
	uint64_t incoming_snapshot_index;
};

static kept_record_t *record_at(const feed_t *f, size_t i)
{
	return &f->records[(f->first_record + i) % f->cfg.max_records];
}

static void drop_oldest(feed_t *f)
{
	kept_record_t *r = record_at(f, 0);

	f->record_bytes -= r->data.n;
	str_free(&r->data);
	f->first_record = (f->first_record + 1) % f->cfg.max_records;
	f->n--;
}

static void add_record(feed_t *f, uint64_t index, uint32_t kind, str_t data)
{
	kept_record_t *r;

	while (f->n && (f->n == f->cfg.max_records ||
			f->record_bytes + data.n > KEPT_BYTES_MAX))
		drop_oldest(f);
	r = record_at(f, f->n++);
	r->index = index;
	r->prev_index = f->index;
	r->kind = kind;
	r->data = str_copy(data);
	f->record_bytes += data.n;
	f->index = index;
}

/*
 * Sets *pos to the place of the entry that follows index among the kept ones,
 * or to n if index is the latest. False if that entry is not kept.
 */
static bool find_after(const feed_t *f, uint64_t index, size_t *pos)
{
	size_t lo = 0;
	size_t hi = f->n;

	while (lo < hi) {
		size_t mid = lo + (hi - lo) / 2;

		if (record_at(f, mid)->prev_index < index)
			lo = mid + 1;
		else
			hi = mid;
	}
	*pos = lo;
	if (lo < f->n)
		return record_at(f, lo)->prev_index == index;
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

/*
 * Pushes the entries from pos on, which follow index. Without any, the empty
 * push shows the child that its parent is alive.
 */
static void push_after(feed_t *f, feed_child_t *c, uint64_t index, size_t pos,
		       int64_t now_us)
{
	Peer__FeedPush pb = PEER__FEED_PUSH__INIT;
	size_t max =
		f->n - pos < PUSH_RECORDS_MAX ? f->n - pos : PUSH_RECORDS_MAX;
	AUTO_FREE Peer__Record *recs = xmalloc(max * sizeof(*recs));
	AUTO_FREE Peer__Record **ptrs = xmalloc(max * sizeof(*ptrs));
	size_t bytes = 0;

	pb.prev_index = index;
	pb.records = ptrs;
	while (pb.n_records < max) {
		const kept_record_t *r = record_at(f, pos + pb.n_records);
		Peer__Record *out = &recs[pb.n_records];

		if (pb.n_records && bytes + r->data.n > PUSH_BYTES_MAX)
			break;
		peer__record__init(out);
		out->index = r->index;
		out->kind = r->kind;
		out->data.data = (uint8_t *)r->data.p;
		out->data.len = r->data.n;
		bytes += r->data.n;
		ptrs[pb.n_records++] = out;
		c->sent_index = r->index;
	}
	c->last_send_us = now_us;
	send_body(f, c->host, PEER__MSG__BODY_FEED_PUSH, &pb);
}

static void send_chunk(feed_t *f, feed_child_t *c, const Peer__FeedPull *p,
		       int64_t now_us)
{
	Peer__FeedChunk pb = PEER__FEED_CHUNK__INIT;
	size_t start = 0;
	size_t pos;

	/* A snapshot is useful only while the entries after it are kept. */
	if (!f->outgoing_snapshot.n ||
	    !find_after(f, f->outgoing_snapshot_index, &pos)) {
		buf_reset(&f->outgoing_snapshot);
		f->ops.save(f->ctx, &f->outgoing_snapshot);
		f->outgoing_snapshot_index = f->index;
	}
	if (p->snapshot_index == f->outgoing_snapshot_index &&
	    p->snapshot_offset < f->outgoing_snapshot.n)
		start = p->snapshot_offset;
	pb.index = f->outgoing_snapshot_index;
	pb.offset = start;
	pb.total = f->outgoing_snapshot.n;
	pb.data.data = (uint8_t *)f->outgoing_snapshot.p + start;
	pb.data.len = f->outgoing_snapshot.n - start < CHUNK_BYTES_MAX
			      ? f->outgoing_snapshot.n - start
			      : CHUNK_BYTES_MAX;
	c->sent_index = f->outgoing_snapshot_index;
	c->last_send_us = now_us;
	send_body(f, c->host, PEER__MSG__BODY_FEED_CHUNK, &pb);
}

static void drop_silent_children(feed_t *f, int64_t now_us)
{
	int64_t child_timeout_us =
		f->cfg.pull_interval_us * CHILD_TIMEOUT_PULLS;

	for (size_t i = 0; i < f->n_children;) {
		if (now_us - f->children[i].last_pull_us < child_timeout_us)
			i++;
		else
			f->children[i] = f->children[--f->n_children];
	}
}

static feed_child_t *get_or_add_child(feed_t *f, host_id_t host, int64_t now_us)
{
	size_t max_children = f->cfg.fanout * CHILDREN_PER_FANOUT;
	feed_child_t *c;

	for (size_t i = 0; i < f->n_children; i++)
		if (f->children[i].host == host)
			return &f->children[i];
	drop_silent_children(f, now_us);
	if (f->n_children == max_children)
		return NULL;
	c = &f->children[f->n_children++];
	memset(c, 0, sizeof(*c));
	c->host = host;
	return c;
}

static void on_pull(feed_t *f, host_id_t from, const Peer__FeedPull *p,
		    int64_t now_us)
{
	feed_child_t *c = get_or_add_child(f, from, now_us);
	uint64_t after = p->index;
	size_t pos;

	if (!c || p->index > f->index) {
		Peer__FeedPush pb = PEER__FEED_PUSH__INIT;

		pb.refused = !c;
		pb.prev_index = f->index;
		if (c) {
			c->last_pull_us = now_us;
			c->sent_index = p->index;
		}
		send_body(f, from, PEER__MSG__BODY_FEED_PUSH, &pb);
		return;
	}
	c->last_pull_us = now_us;
	if (!find_after(f, p->index, &pos)) {
		send_chunk(f, c, p, now_us);
		return;
	}
	/* Entries pushed less than an interval ago are still on their way. */
	if (c->sent_index > p->index && !p->gap &&
	    now_us - c->last_send_us < f->cfg.pull_interval_us &&
	    find_after(f, c->sent_index, &pos))
		after = c->sent_index;
	else
		find_after(f, p->index, &pos);
	push_after(f, c, after, pos, now_us);
}

void feed_append(feed_t *f, uint64_t index, uint32_t kind, str_t data,
		 int64_t now_us)
{
	uint64_t prev = f->index;

	add_record(f, index, kind, data);
	for (size_t i = 0; i < f->n_children; i++)
		if (f->children[i].sent_index == prev)
			push_after(f, &f->children[i], prev, f->n - 1, now_us);
}

void feed_reset(feed_t *f, uint64_t index)
{
	while (f->n)
		drop_oldest(f);
	f->index = index;
	buf_reset(&f->outgoing_snapshot);
}

static void send_pull(feed_t *f, bool gap, int64_t now_us)
{
	Peer__FeedPull pb = PEER__FEED_PULL__INIT;

	f->pull_due_us = now_us + f->cfg.pull_interval_us;
	if (!f->parent)
		return;
	pb.index = f->index;
	pb.snapshot_index = f->incoming_snapshot_index;
	pb.snapshot_offset = f->incoming_snapshot.n;
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
			f->ops.need_parent(f->ctx);
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
			feed_append(f, r->index, r->kind, data, now_us);
		}
		prev = r->index;
	}
	/* A pull acknowledges new entries at once, or reports a gap. */
	if (p->n_records && (f->index > before || p->prev_index > f->index))
		send_pull(f, p->prev_index > f->index, now_us);
}

static void on_chunk(feed_t *f, host_id_t from, const Peer__FeedChunk *c,
		     int64_t now_us)
{
	AUTO_BUF buf_t snapshot = {0};

	if (from != f->parent)
		return;
	f->parent_heard_us = now_us;
	if (c->index <= f->index || c->offset + c->data.len > c->total)
		return;
	if (f->incoming_snapshot_index != c->index) {
		buf_reset(&f->incoming_snapshot);
		f->incoming_snapshot_index = c->index;
	}
	if (c->offset != f->incoming_snapshot.n)
		return;
	buf_put(&f->incoming_snapshot, c->data.data, c->data.len);
	if (f->incoming_snapshot.n < c->total) {
		send_pull(f, false, now_us);
		return;
	}
	snapshot = f->incoming_snapshot;
	memset(&f->incoming_snapshot, 0, sizeof(f->incoming_snapshot));
	f->incoming_snapshot_index = 0;
	if (f->ops.load(f->ctx, c->index, buf_str(&snapshot)))
		return;
	feed_reset(f, c->index);
	send_pull(f, false, now_us);
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
	buf_reset(&f->incoming_snapshot);
	f->incoming_snapshot_index = 0;
	send_pull(f, false, now_us);
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
		send_pull(f, false, now_us);
	if (now_us - f->parent_heard_us >= f->cfg.parent_timeout_us) {
		f->parent_heard_us = now_us;
		f->ops.need_parent(f->ctx);
	}
	if (f->parent_heard_us + f->cfg.parent_timeout_us < f->pull_due_us)
		return f->parent_heard_us + f->cfg.parent_timeout_us;
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
	f->records = xcalloc(cfg->max_records, sizeof(*f->records));
	f->children = xcalloc(cfg->fanout * CHILDREN_PER_FANOUT,
			      sizeof(*f->children));
	return f;
}

void feed_free(feed_t *f)
{
	if (!f)
		return;
	while (f->n)
		drop_oldest(f);
	free(f->records);
	free(f->children);
	buf_free(&f->outgoing_snapshot);
	buf_free(&f->incoming_snapshot);
	free(f);
}
