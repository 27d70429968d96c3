/*
 * reject_limit.h - bounds the requests at a runner that ends if it rejects more than a
 * stated number of requests a second for want of room. The bound is learnt from its
 * rejections. Not thread-safe; the caller passes in the time.
 */
#ifndef DK_REJECT_LIMIT_H
#define DK_REJECT_LIMIT_H

#include "util.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct reject_limit {
	uint32_t rejections_max; /* a second, as the runner states; 0: never */
	int64_t set_us;		 /* when an answer last stated it */
	/* Requests that it had at the last rejection; 0: there was none. */
	uint32_t requests_max;
	int64_t rejected_us;
} reject_limit_t;

/* An answer stated how many rejections a second end the runner; 0: it did not. */
void reject_limit_set(reject_limit_t *b, uint32_t rejections_max,
		      int64_t now_us);
/*
 * It rejected a request while it had n others. Returns until when it is to get none;
 * 0: it has stated no limit.
 */
int64_t reject_limit_on_rejected(reject_limit_t *b, uint32_t n, int64_t now_us);
/*
 * Whether it may have another request beside n; slots: that it runs at once, as far as
 * this dispatcher may use them. Always true if it has stated no limit.
 */
bool reject_limit_has_room(const reject_limit_t *b, uint32_t n, double slots,
			   int64_t now_us);

#ifdef __cplusplus
}
#endif
#endif
