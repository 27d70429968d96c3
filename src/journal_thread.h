/*
 * journal_thread.h - the thread that reads and writes a journal of streams. Its disk
 * may be slow, full or stalled: nobody waits for it, the memory for streams that were
 * not written yet is bounded, and after each sync the thread rests for a multiple of
 * the time that it took, as the log has the same disk.
 */
#ifndef DK_JOURNAL_THREAD_H
#define DK_JOURNAL_THREAD_H

#include "stream_build.h"
#include "stream_journal.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Streams that wait for the disk; further ones are dropped and counted. */
#define JOURNAL_QUEUE_MAX 32768u

typedef struct journal_thread journal_thread_t;

/*
 * Starts the thread. read is called on it, once, with what the journal held, of which
 * it gets ownership: the times there count from 0, the time of the call. NULL with
 * errno set: the thread cannot be started. The disk is closed in either case.
 */
journal_thread_t *journal_thread_start(const journal_disk_t *disk,
				       void (*read)(void *ctx,
						    stream_builds_t *found),
				       void *ctx);
/*
 * Has n streams written that build began, with the time in microseconds for which each
 * may be taken up. Never waits for the disk.
 */
void journal_thread_put(journal_thread_t *t, str_t build, const uint64_t *keys,
			const int64_t *keep_us, size_t n);
/* Waits until the disk has returned; what was not written is lost. */
void journal_thread_stop(journal_thread_t *t);

#ifdef __cplusplus
}
#endif
#endif
