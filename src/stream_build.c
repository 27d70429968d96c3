/* stream_build.c - table of streams and the software versions that began them. */
#include "stream_build.h"

#include <stdlib.h>

#include <glib.h>

#include "counter.h"

/* Most streams that are known at a time; some 100 bytes each. */
#define STREAMS_MAX 65536u
/* Expired streams are removed at this interval. */
#define SWEEP_INTERVAL_US (2 * USEC_PER_SEC)

typedef struct stream {
	uint64_t key;
	char *build; /* a reference to an interned GRefString */
	int64_t until_us;
} stream_t;

struct stream_builds {
	GHashTable *streams; /* key -> stream_t */
	int64_t sweep_due_us;
};

static void stream_free(void *p)
{
	stream_t *s = p;

	g_ref_string_release(s->build);
	free(s);
}

stream_builds_t *stream_builds_new(void)
{
	stream_builds_t *b = xcalloc(1, sizeof(*b));

	b->streams = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					   stream_free);
	return b;
}

void stream_builds_free(stream_builds_t *b)
{
	if (!b)
		return;
	g_hash_table_destroy(b->streams);
	free(b);
}

void stream_builds_clear(stream_builds_t *b)
{
	g_hash_table_remove_all(b->streams);
}

uint64_t stream_key(str_t service, str_t request_id)
{
	uint64_t seed = hash_bytes(service.p, service.n, 0);

	return hash_bytes(request_id.p, request_id.n, seed) | 1;
}

static str_t build_of(const stream_t *s)
{
	return str_n(s->build, g_ref_string_length(s->build));
}

static gboolean is_expired(gpointer key, gpointer value, gpointer now_us)
{
	const stream_t *s = value;

	(void)key;
	return s->until_us <= *(const int64_t *)now_us;
}

static void sweep(stream_builds_t *b, int64_t now_us)
{
	if (now_us < b->sweep_due_us)
		return;
	b->sweep_due_us = now_us + SWEEP_INTERVAL_US;
	g_hash_table_foreach_remove(b->streams, is_expired, &now_us);
}

static stream_t *stream_new(uint64_t key, str_t build, int64_t until_us)
{
	AUTO_FREE char *text = str_dup(build);
	stream_t *s = xcalloc(1, sizeof(*s));

	s->key = key;
	s->build = g_ref_string_new_intern(text);
	s->until_us = until_us;
	return s;
}

static void store(stream_builds_t *b, uint64_t key, str_t build,
		  int64_t until_us)
{
	stream_t *s;

	if (g_hash_table_size(b->streams) >= STREAMS_MAX &&
	    !g_hash_table_contains(b->streams, &key)) {
		counter_add(CTR_STREAMS_FORGOTTEN, 1);
		return;
	}
	s = stream_new(key, build, until_us);
	g_hash_table_replace(b->streams, &s->key, s);
}

void stream_builds_put(stream_builds_t *b, uint64_t key, str_t build,
		       int64_t now_us, int64_t until_us)
{
	sweep(b, now_us);
	if (build.n && until_us > now_us)
		store(b, key, build, until_us);
}

void stream_builds_tell(stream_builds_t *b, uint64_t key, str_t build,
			int64_t now_us, int64_t until_us)
{
	const stream_t *s;

	sweep(b, now_us);
	if (until_us <= now_us)
		return;
	s = g_hash_table_lookup(b->streams, &key);
	if (s && s->until_us > now_us) {
		until_us = MAX(until_us, s->until_us);
		if (!str_eq(build_of(s), build) && build_of(s).n) {
			counter_add(CTR_STREAMS_AMBIGUOUS, 1);
			build = str_n(NULL, 0);
		} else {
			build = build_of(s);
		}
	}
	store(b, key, build, until_us);
}

size_t stream_builds_count(const stream_builds_t *b)
{
	return g_hash_table_size(b->streams);
}

str_t stream_builds_find(const stream_builds_t *b, uint64_t key, int64_t now_us)
{
	const stream_t *s = g_hash_table_lookup(b->streams, &key);

	if (!s || s->until_us <= now_us)
		return str_n(NULL, 0);
	return build_of(s);
}

void stream_builds_each(const stream_builds_t *b, int64_t now_us,
			void (*fn)(void *ctx, uint64_t key, str_t build,
				   int64_t left_us),
			void *ctx)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, b->streams);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const stream_t *s = value;

		if (s->until_us > now_us)
			fn(ctx, s->key, build_of(s), s->until_us - now_us);
	}
}
