/*
 * streams.c - which software version began the streams that this daemon relays, who
 * is told of it, and where a stream may go on.
 */
#include "gateway_int.h"

#include <string.h>

#include <glib.h>

#include "pb.h"

/* New streams are collected for so long before their copies are sent. */
#define BACKUP_DELAY_US (30 * USEC_PER_MSEC)
/* Streams named in one message. */
#define STREAMS_PER_MSG_MAX 4096u
/* A caller that takes a stream up may be so late after its deadline. */
#define STREAM_KEEP_MARGIN_US (1 * USEC_PER_SEC)
/* No stream is remembered for longer, whatever its caller's deadline. */
#define STREAM_KEEP_MAX_US (3600 * USEC_PER_SEC)

bool request_takes_up_stream(const request_t *r)
{
	return r->info.resumes && r->route->kind == ROUTE_STREAMING;
}

str_t request_stream_id(const request_info_t *info)
{
	return info->resumes ? info->resumed_stream : info->id;
}

void request_note_stream(request_t *r)
{
	str_t id = request_stream_id(&r->info);

	if (r->route->kind != ROUTE_STREAMING || !id.n)
		return;
	if (!r->route->resumable && !r->info.resumes)
		return;
	r->stream_key = stream_key(r->service->name, id);
	if (r->info.resumes)
		r->stream_build = str_copy(stream_builds_find(
			r->gw->streams, r->stream_key, gateway_now(r->gw)));
}

/* How long a caller may take up the stream, from now. */
static int64_t stream_keep_us(const request_t *r)
{
	int64_t wait_us =
		r->info.left_us >= 0 ? r->info.left_us : r->route->timeout_us;
	int64_t keep_us = r->arrived_us + wait_us + STREAM_KEEP_MARGIN_US -
			  gateway_now(r->gw);

	return MIN(keep_us, STREAM_KEEP_MAX_US);
}

/*
 * Has the stream copied to another daemon, together with others of that time, or to
 * two hosts with a disk.
 */
static void back_up_stream(request_t *r, int64_t now, int64_t keep_us)
{
	gateway_t *g = r->gw;
	int64_t journal_us =
		g->ops.journal_delay_us
			? g->ops.journal_delay_us(g->ctx, r->service->name)
			: 0;

	if (journal_us > 0) {
		stream_builds_put(g->journal_streams, r->stream_key,
				  r->stream_build, now, now + keep_us);
		timer_svc_arm_earlier(loop_timers(g->loop), &g->journal_timer,
				      now + journal_us);
		return;
	}
	stream_builds_put(g->new_streams, r->stream_key, r->stream_build, now,
			  now + keep_us);
	timer_svc_arm_earlier(loop_timers(g->loop), &g->backup_timer,
			      now + BACKUP_DELAY_US);
}

int64_t request_record_stream(request_t *r)
{
	int64_t now = gateway_now(r->gw);
	int64_t keep_us = stream_keep_us(r);

	if (!r->stream_key || r->response_head.status != 200)
		return 0;
	if (!r->stream_build.n)
		r->stream_build = str_copy(r->build);
	if (!r->stream_build.n || keep_us <= 0)
		return 0;
	stream_builds_put(r->gw->streams, r->stream_key, r->stream_build, now,
			  now + keep_us);
	back_up_stream(r, now, keep_us);
	return keep_us;
}

bool request_grant_fits(const request_t *r, const Dispatch__Grant *m)
{
	if (r->stream_build.n)
		return str_eq(r->stream_build, pb_str(m->build));
	return !request_takes_up_stream(r) || (m->stream_known && m->build.len);
}

/* A stream that is told. */
typedef struct told_stream {
	uint64_t key;
	int64_t keep_us;
	str_t build;
} told_stream_t;

static gint compare_builds(gconstpointer a, gconstpointer b)
{
	str_t x = ((const told_stream_t *)a)->build;
	str_t y = ((const told_stream_t *)b)->build;
	int order = memcmp(x.p, y.p, x.n < y.n ? x.n : y.n);

	return order ? order : (x.n > y.n) - (x.n < y.n);
}

static void add_stream(void *ctx, uint64_t key, str_t build, int64_t left_us)
{
	const told_stream_t t = {key, left_us, build};

	g_array_append_val((GArray *)ctx, t);
}

/* To whom streams are sent. */
typedef enum streams_to {
	TO_DISPATCHER,
	TO_BACKUP,   /* the daemon that keeps copies */
	TO_JOURNALS, /* the hosts with a disk that keep copies */
} streams_to_t;

/* Sends n streams of one software version. */
static void send_streams_of_build(gateway_t *g, const told_stream_t *t,
				  size_t n, streams_to_t to)
{
	AUTO_FREE uint64_t *keys = xcalloc(n, sizeof(*keys));
	AUTO_FREE int64_t *keep_us = xcalloc(n, sizeof(*keep_us));
	Dispatch__Streams pb = DISPATCH__STREAMS__INIT;
	Dispatch__Msg msg = DISPATCH__MSG__INIT;

	for (size_t i = 0; i < n; i++) {
		keys[i] = t[i].key;
		keep_us[i] = t[i].keep_us;
	}
	pb.build = pb_bytes(t[0].build);
	pb.streams = keys;
	pb.n_streams = n;
	pb.keep_us = keep_us;
	pb.n_keep_us = n;
	pb.backup = to != TO_DISPATCHER;
	pb.journal = to == TO_JOURNALS;
	msg.body_case = DISPATCH__MSG__BODY_STREAMS;
	msg.streams = &pb;
	if (pb.backup)
		g->ops.send_backup(g->ctx, &msg);
	else
		g->ops.send(g->ctx, &msg);
}

/* Tells at which software versions streams began. */
static void send_streams(gateway_t *g, const stream_builds_t *streams,
			 streams_to_t to)
{
	GArray *all = g_array_new(FALSE, FALSE, sizeof(told_stream_t));
	guint from = 0;

	stream_builds_each(streams, gateway_now(g), add_stream, all);
	g_array_sort(all, compare_builds);
	for (guint i = 0; i < all->len; i++) {
		const told_stream_t *t = &g_array_index(all, told_stream_t, i);
		const told_stream_t *next = i + 1 < all->len ? t + 1 : NULL;

		if (next && str_eq(next->build, t->build) &&
		    i + 1 - from < STREAMS_PER_MSG_MAX)
			continue;
		send_streams_of_build(g,
				      &g_array_index(all, told_stream_t, from),
				      i + 1 - from, to);
		from = i + 1;
	}
	g_array_free(all, TRUE);
}

static void on_backup_timer(void *ctx, int64_t now)
{
	gateway_t *g = ctx;

	(void)now;
	send_streams(g, g->new_streams, TO_BACKUP);
	stream_builds_clear(g->new_streams);
}

static void on_journal_timer(void *ctx, int64_t now)
{
	gateway_t *g = ctx;

	(void)now;
	send_streams(g, g->journal_streams, TO_JOURNALS);
	stream_builds_clear(g->journal_streams);
}

void gateway_journal_streams(gateway_t *g)
{
	send_streams(g, g->streams, TO_JOURNALS);
}

void gateway_keep_streams(gateway_t *g, const Dispatch__Streams *m)
{
	dispatch_store_streams(g->streams, m, gateway_now(g));
}

void gateway_tell_streams(gateway_t *g)
{
	Dispatch__Journal pb = DISPATCH__JOURNAL__INIT;
	Dispatch__Msg msg = DISPATCH__MSG__INIT;

	send_streams(g, g->streams, TO_DISPATCHER);
	if (!g->journal_read)
		return;
	pb.told = true;
	msg.body_case = DISPATCH__MSG__BODY_JOURNAL;
	msg.journal = &pb;
	g->ops.send(g->ctx, &msg);
}

static void keep_found_stream(void *ctx, uint64_t key, str_t build,
			      int64_t left_us)
{
	gateway_t *g = ctx;
	int64_t now = gateway_now(g);

	stream_builds_tell(g->streams, key, build, now, now + left_us);
}

void gateway_journal_read(gateway_t *g, const stream_builds_t *found)
{
	stream_builds_each(found, 0, keep_found_stream, g);
	g->journal_read = true;
	gateway_tell_streams(g);
}

void gateway_streams_init(gateway_t *g)
{
	g->streams = stream_builds_new();
	g->new_streams = stream_builds_new();
	g->journal_streams = stream_builds_new();
	timer_sub_init(&g->backup_timer, on_backup_timer, g);
	timer_sub_init(&g->journal_timer, on_journal_timer, g);
}

void gateway_streams_free(gateway_t *g)
{
	timer_svc_cancel(loop_timers(g->loop), &g->backup_timer);
	timer_svc_cancel(loop_timers(g->loop), &g->journal_timer);
	stream_builds_free(g->streams);
	stream_builds_free(g->new_streams);
	stream_builds_free(g->journal_streams);
}
