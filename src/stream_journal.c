/* stream_journal.c - format and segments of the journal of streams. */
#include "stream_journal.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "counter.h"

#define BATCH_MAGIC 0x534a4b44u /* "DKJS" */
/* Records in one batch; more are written as several. */
#define BATCH_RECORDS_MAX 4096u
/* A segment that could not be read is kept for so long: the next start may read it. */
#define UNREADABLE_KEEP_US (600 * USEC_PER_SEC)
/* Longest name of a software version that is recorded. */
#define BUILD_MAX 1024u

/* A batch on disk: this header, the name of the version, then n records. */
typedef struct batch_header {
	uint32_t magic;
	uint32_t n;
	uint32_t build_n; /* bytes of the version's name */
	uint32_t unused;
	int64_t written_us; /* keep_ms of the records count from here */
	uint64_t checksum;  /* of the fields before it and what follows */
} batch_header_t;

#define RECORD_BYTES 12u /* key, keep_ms */

typedef struct segment {
	uint64_t seq;
	size_t bytes;
	int64_t until_us; /* none of its streams can be taken up after this */
} segment_t;

struct stream_journal {
	journal_disk_t disk;
	GArray *segments; /* segment_t, oldest first */
	uint64_t last_seq;
	bool open; /* the last segment may be appended to */
};

stream_journal_t *stream_journal_new(const journal_disk_t *disk)
{
	stream_journal_t *j = xcalloc(1, sizeof(*j));

	j->disk = *disk;
	j->segments = g_array_new(FALSE, FALSE, sizeof(segment_t));
	return j;
}

void stream_journal_free(stream_journal_t *j)
{
	if (!j)
		return;
	if (j->disk.close)
		j->disk.close(j->disk.ctx);
	g_array_free(j->segments, TRUE);
	free(j);
}

static segment_t *segment_at(const stream_journal_t *j, guint i)
{
	return &g_array_index(j->segments, segment_t, i);
}

size_t stream_journal_bytes(const stream_journal_t *j)
{
	size_t n = 0;

	for (guint i = 0; i < j->segments->len; i++)
		n += segment_at(j, i)->bytes;
	return n;
}

static uint64_t batch_checksum(const batch_header_t *h, str_t body)
{
	uint64_t seed = hash_bytes(h, offsetof(batch_header_t, checksum), 0);

	return hash_bytes(body.p, body.n, seed);
}

/* Reading. */

/* Size of the intact batch at the beginning of p; 0: there is none. */
static size_t parse_batch(str_t p, batch_header_t *h)
{
	size_t n;

	if (p.n < sizeof(*h))
		return 0;
	memcpy(h, p.p, sizeof(*h));
	if (h->magic != BATCH_MAGIC || h->n > BATCH_RECORDS_MAX ||
	    h->build_n > BUILD_MAX)
		return 0;
	n = h->build_n + (size_t)h->n * RECORD_BYTES;
	if (p.n - sizeof(*h) < n ||
	    h->checksum != batch_checksum(h, str_n(p.p + sizeof(*h), n)))
		return 0;
	return sizeof(*h) + n;
}

static journal_record_t read_record(const char *p)
{
	journal_record_t r;

	memcpy(&r.key, p, sizeof(r.key));
	memcpy(&r.keep_ms, p + sizeof(r.key), sizeof(r.keep_ms));
	return r;
}

typedef struct reader {
	void (*visit)(void *ctx, uint64_t key, str_t build, int64_t left_us);
	void *ctx;
	int64_t now_us;
	journal_found_t *found;
} reader_t;

/* Visits the streams of a batch; returns until when the last may be taken up. */
static int64_t visit_batch(const reader_t *rd, const batch_header_t *h,
			   const char *body)
{
	str_t build = str_n(body, h->build_n);
	int64_t latest_us = INT64_MIN;

	for (uint32_t i = 0; i < h->n; i++) {
		journal_record_t r = read_record(body + h->build_n +
						 (size_t)i * RECORD_BYTES);
		int64_t keep_us = r.keep_ms * USEC_PER_MSEC;
		/* The clock may have been set back since. */
		int64_t left_us =
			MIN(h->written_us + keep_us - rd->now_us, keep_us);

		if (left_us <= 0)
			continue;
		rd->found->streams++;
		rd->visit(rd->ctx, r.key, build, left_us);
		latest_us = MAX(latest_us, rd->now_us + left_us);
	}
	return latest_us;
}

static void read_segment(stream_journal_t *j, const reader_t *rd, segment_t *s)
{
	AUTO_BUF buf_t file = {0};
	batch_header_t h;
	str_t rest;
	size_t n;

	rd->found->segments++;
	if (j->disk.read(j->disk.ctx, s->seq, &file) < 0) {
		rd->found->unreadable++;
		s->until_us = rd->now_us + UNREADABLE_KEEP_US;
	}
	s->bytes = file.n;
	rest = buf_str(&file);
	while ((n = parse_batch(rest, &h))) {
		int64_t until_us = visit_batch(rd, &h, rest.p + sizeof(h));

		s->until_us = MAX(s->until_us, until_us);
		rest = str_n(rest.p + n, rest.n - n);
	}
	rd->found->torn_bytes += rest.n;
}

static void add_segment(void *arg, uint64_t seq)
{
	const segment_t s = {seq, 0, INT64_MIN};

	g_array_append_val((GArray *)arg, s);
}

static gint compare_segments(gconstpointer a, gconstpointer b)
{
	uint64_t x = ((const segment_t *)a)->seq;
	uint64_t y = ((const segment_t *)b)->seq;

	return (x > y) - (x < y);
}

/* Removes a segment; one that cannot be removed is tried again. */
static int remove_segment(stream_journal_t *j, guint i)
{
	if (j->disk.remove(j->disk.ctx, segment_at(j, i)->seq) < 0)
		return -1;
	if (j->open && i + 1 == j->segments->len)
		j->open = false;
	g_array_remove_index(j->segments, i);
	return 0;
}

/* Removes the oldest segments until n more bytes are within the bound. */
static int make_room(stream_journal_t *j, size_t n)
{
	while (j->segments->len &&
	       stream_journal_bytes(j) + n > JOURNAL_BYTES_MAX) {
		if (remove_segment(j, 0) < 0)
			return -1;
		counter_add(CTR_STREAM_JOURNAL_CUT, 1);
	}
	return 0;
}

int stream_journal_read(stream_journal_t *j, int64_t now_us,
			void (*visit)(void *ctx, uint64_t key, str_t build,
				      int64_t left_us),
			void *ctx, journal_found_t *found)
{
	const reader_t rd = {visit, ctx, now_us, found};

	memset(found, 0, sizeof(*found));
	if (j->disk.list(j->disk.ctx, add_segment, j->segments) < 0)
		return -1;
	g_array_sort(j->segments, compare_segments);
	for (guint i = 0; i < j->segments->len; i++) {
		read_segment(j, &rd, segment_at(j, i));
		j->last_seq = segment_at(j, i)->seq;
	}
	counter_add(CTR_STREAM_JOURNAL_READ, found->streams);
	stream_journal_sweep(j, now_us);
	/* Removals that a loss of power has undone may exceed the bound. */
	make_room(j, 0);
	return 0;
}

int64_t stream_journal_sweep(stream_journal_t *j, int64_t now_us)
{
	int64_t next_us = INT64_MAX;

	for (guint i = j->segments->len; i > 0; i--) {
		int64_t until_us = segment_at(j, i - 1)->until_us;

		if (until_us > now_us)
			next_us = MIN(next_us, until_us);
		else
			remove_segment(j, i - 1);
	}
	return next_us;
}

/* Writing. */

static void pack_batch(buf_t *out, str_t build, const journal_record_t *records,
		       size_t n, int64_t now_us)
{
	batch_header_t h = {
		.magic = BATCH_MAGIC,
		.n = (uint32_t)n,
		.build_n = (uint32_t)build.n,
		.written_us = now_us,
	};
	size_t at = out->n;
	str_t body;

	buf_put(out, &h, sizeof(h));
	buf_put(out, build.p, build.n);
	for (size_t i = 0; i < n; i++) {
		buf_put(out, &records[i].key, sizeof(records[i].key));
		buf_put(out, &records[i].keep_ms, sizeof(records[i].keep_ms));
	}
	body = str_n(out->p + at + sizeof(h), out->n - at - sizeof(h));
	h.checksum = batch_checksum(&h, body);
	memcpy(out->p + at, &h, sizeof(h));
}

/* Packs all batches; returns until when the last stream may be taken up. */
static int64_t pack_batches(buf_t *out, const journal_batch_t *batches,
			    size_t n, int64_t now_us, uint64_t *n_records)
{
	int64_t until_us = INT64_MIN;

	for (size_t i = 0; i < n; i++) {
		const journal_batch_t *b = &batches[i];

		if (!b->build.n || b->build.n > BUILD_MAX)
			continue;
		for (size_t from = 0; from < b->n; from += BATCH_RECORDS_MAX)
			pack_batch(out, b->build, b->records + from,
				   MIN(b->n - from, BATCH_RECORDS_MAX), now_us);
		for (size_t k = 0; k < b->n; k++)
			until_us =
				MAX(until_us, now_us + b->records[k].keep_ms *
							       USEC_PER_MSEC);
		*n_records += b->n;
	}
	return until_us;
}

/* Begins another segment where the last one is full or has failed. */
static int open_segment(stream_journal_t *j, int64_t now_us)
{
	guint n = j->segments->len;

	if (j->open && n && segment_at(j, n - 1)->bytes < JOURNAL_SEGMENT_BYTES)
		return 0;
	j->open = false;
	/*
	 * No number comes twice, as a loss of power may bring removed segments
	 * back.
	 */
	j->last_seq = MAX(j->last_seq + 1, (uint64_t)now_us);
	if (j->disk.create(j->disk.ctx, j->last_seq) < 0)
		return -1;
	add_segment(j->segments, j->last_seq);
	j->open = true;
	return 0;
}

int stream_journal_write(stream_journal_t *j, const journal_batch_t *batches,
			 size_t n, int64_t now_us)
{
	AUTO_BUF buf_t out = {0};
	uint64_t n_records = 0;
	int64_t until_us = pack_batches(&out, batches, n, now_us, &n_records);
	segment_t *s;
	int error;

	if (!out.n)
		return 0;
	stream_journal_sweep(j, now_us);
	if (out.n > JOURNAL_BYTES_MAX) {
		errno = EFBIG;
		return -1;
	}
	if (make_room(j, out.n) < 0 || open_segment(j, now_us) < 0)
		return -1;
	s = segment_at(j, j->segments->len - 1);
	/* A failed append may leave a part of them. */
	s->bytes += out.n;
	if (j->disk.append(j->disk.ctx, buf_str(&out)) < 0)
		goto fail;
	/* Also without the sync below, a part of it may be read back. */
	s->until_us = MAX(s->until_us, until_us);
	if (j->disk.sync(j->disk.ctx) < 0)
		goto fail;
	counter_add(CTR_STREAM_JOURNAL_RECORDS, n_records);
	counter_add(CTR_STREAM_JOURNAL_BYTES, out.n);
	counter_add(CTR_STREAM_JOURNAL_SYNCS, 1);
	return 0;
fail:
	error = errno;
	/* What follows a torn batch is not read back. */
	j->open = false;
	stream_journal_sweep(j, now_us);
	errno = error;
	return -1;
}
