/* buffer_share.h - what one of many buffers may hold under a limit for all together. */
#ifndef DK_BUFFER_SHARE_H
#define DK_BUFFER_SHARE_H

#include "util.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Bytes that one buffer may hold while all hold used of max: most up to half of max, then
 * less and less, and the least from max on. max 0: there is no limit for all.
 */
static inline size_t buffer_share(size_t used, size_t max, size_t most,
				  size_t least)
{
	size_t half = max / 2;

	if (!max || used <= half)
		return most;
	if (used >= max)
		return least;
	return least + (most - least) * (uint64_t)(max - used) / (max - half);
}

#ifdef __cplusplus
}
#endif
#endif
