/*
 * brittle.h - how many requests a brittle runner is given: one that says that it falls
 * over if it has to reject more than so many requests a second for want of room. The
 * most that it takes is learnt from its rejections. Not thread-safe; the caller passes
 * in the time.
 */
#ifndef DK_BRITTLE_H
#define DK_BRITTLE_H

#include "util.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct brittle {
	uint32_t rejections_max; /* a second; 0: never said so */
	int64_t named_us;	 /* when an answer last said so */
	/* Requests that it had at the last rejection; 0: there was none. */
	uint32_t cap;
	int64_t rejected_us;
} brittle_t;

/* An answer said how many rejections a second end the runner; 0: none did. */
void brittle_name(brittle_t *b, uint32_t rejections_max, int64_t now_us);
/*
 * It rejected a request while it had n others. Returns until when it is to get none;
 * 0: it is not brittle.
 */
int64_t brittle_on_rejected(brittle_t *b, uint32_t n, int64_t now_us);
/*
 * Whether it may have another request beside n; slots: that it runs at once, as far as
 * this dispatcher may use them. Always true if it is not brittle.
 */
bool brittle_has_room(const brittle_t *b, uint32_t n, double slots,
		      int64_t now_us);

#ifdef __cplusplus
}
#endif
#endif
