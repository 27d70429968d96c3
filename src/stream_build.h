/*
 * stream_build.h - remembers which version of the targets' software began each
 * stream, for as long as its caller may take the stream up again. What two versions
 * write does not fit together, so a stream goes on only at the version that began it.
 *
 * An entry keeps the streams whose responses it has relayed; the dispatcher keeps
 * those of all entries, as callers mostly come back to another daemon. A stream that
 * is not known here must not go on. Not thread-safe.
 */
#ifndef DK_STREAM_BUILD_H
#define DK_STREAM_BUILD_H

#include "util.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct stream_builds stream_builds_t;

stream_builds_t *stream_builds_new(void);
void stream_builds_free(stream_builds_t *b);
void stream_builds_clear(stream_builds_t *b);

/*
 * Key of a stream, from the service that writes it and the id of the request that
 * brought its first event. Never 0; 0 stands for no stream where a key is stored.
 */
uint64_t stream_key(str_t service, str_t request_id);

/*
 * Records that build began the stream, until until_us. The last record of a key
 * holds. Does nothing if build is empty or too many streams are known.
 */
void stream_builds_put(stream_builds_t *b, uint64_t key, str_t build,
		       int64_t now_us, int64_t until_us);
/*
 * As stream_builds_put(), for what another daemon or a journal tells. Where another
 * version is known for the key, or build is empty, the stream is ambiguous from then
 * on: it is known, but no version is found for it.
 */
void stream_builds_tell(stream_builds_t *b, uint64_t key, str_t build,
			int64_t now_us, int64_t until_us);
size_t stream_builds_count(const stream_builds_t *b);
/* A view, valid until the next put, tell or clear; empty: not known. */
str_t stream_builds_find(const stream_builds_t *b, uint64_t key,
			 int64_t now_us);
/*
 * Calls fn for each stream that is known, in no order; left_us: for how long. build is
 * empty for an ambiguous one.
 */
void stream_builds_each(const stream_builds_t *b, int64_t now_us,
			void (*fn)(void *ctx, uint64_t key, str_t build,
				   int64_t left_us),
			void *ctx);

#ifdef __cplusplus
}
#endif
#endif
