/*
 * stream_journal.h - keeps on disk which software version began each stream, for as
 * long as its caller may take the stream up, so that it can go on at that version
 * after all daemons have lost power.
 *
 * The journal is a sequence of append-only segments. Each batch in them has a
 * checksum, and each call of stream_journal_write() appends its batches by one write
 * and syncs them once. What is read back ends, in each segment, at the first batch
 * that is not intact; a segment that was read is never appended to.
 *
 * Times are those of the wall clock, in microseconds, as they have to hold over a
 * restart. Not thread-safe; it waits for its disk, see journal_thread.h.
 */
#ifndef DK_STREAM_JOURNAL_H
#define DK_STREAM_JOURNAL_H

#include "util.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Bytes of all segments together; the oldest one is removed beyond them. */
#define JOURNAL_BYTES_MAX (4u << 20)
/* A segment of this size is followed by another one. */
#define JOURNAL_SEGMENT_BYTES (256u << 10)

/*
 * Operations of a disk. Each returns 0, or -1 with errno set. What was appended is
 * durable only once sync has returned 0; a removal may be undone by a loss of power.
 */
typedef struct journal_disk {
	/* Calls visit for each segment, in no order. */
	int (*list)(void *ctx, void (*visit)(void *arg, uint64_t seq),
		    void *arg);
	/* Appends the content of a segment to out. */
	int (*read)(void *ctx, uint64_t seq, buf_t *out);
	/* Begins a new segment; the others are not appended to any more. */
	int (*create)(void *ctx, uint64_t seq);
	/* Appends to the segment created last; may leave a part of the bytes. */
	int (*append)(void *ctx, str_t bytes);
	/* Makes the segment created last durable. */
	int (*sync)(void *ctx);
	int (*remove)(void *ctx, uint64_t seq);
	void (*close)(void *ctx);
	void *ctx;
} journal_disk_t;

/* One stream: it may be taken up for keep_ms from the time of the record on. */
typedef struct journal_record {
	uint64_t key; /* as of stream_key() */
	uint32_t keep_ms;
} journal_record_t;

/* Streams that one software version began. */
typedef struct journal_batch {
	str_t build;
	const journal_record_t *records;
	size_t n;
} journal_batch_t;

typedef struct stream_journal stream_journal_t;

/* What stream_journal_read() has found. */
typedef struct journal_found {
	size_t streams;	   /* that may still be taken up */
	size_t segments;   /* also those that were removed as expired */
	size_t unreadable; /* segments that could not be read */
	size_t torn_bytes; /* behind the last intact batch of a segment */
} journal_found_t;

/* Takes ownership of the disk, which the journal closes. */
stream_journal_t *stream_journal_new(const journal_disk_t *disk);
void stream_journal_free(stream_journal_t *j);
/*
 * Reads all segments, oldest first, and calls visit for each stream that may still be
 * taken up; left_us is never more than was recorded, whatever the clock says. To be
 * called once, before the first write. -1 with errno set: the disk cannot be listed.
 */
int stream_journal_read(stream_journal_t *j, int64_t now_us,
			void (*visit)(void *ctx, uint64_t key, str_t build,
				      int64_t left_us),
			void *ctx, journal_found_t *found);
/*
 * Appends and syncs; 0 once all batches are durable, or -1 with errno set. After a
 * failure the next write begins another segment.
 */
int stream_journal_write(stream_journal_t *j, const journal_batch_t *batches,
			 size_t n, int64_t now_us);
/*
 * Removes the segments whose streams can no longer be taken up; returns when the next
 * one expires, INT64_MAX: there is none.
 */
int64_t stream_journal_sweep(stream_journal_t *j, int64_t now_us);
/* Bytes of all segments. */
size_t stream_journal_bytes(const stream_journal_t *j);

#ifdef __cplusplus
}
#endif
#endif
