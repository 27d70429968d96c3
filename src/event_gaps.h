/*
 * event_gaps.h - the time between the events of one stream, as its entry sees them.
 * Not thread-safe; the caller passes in the time.
 */
#ifndef DK_EVENT_GAPS_H
#define DK_EVENT_GAPS_H

#include "util.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Gaps that the median is taken of: the latest ones. */
#define EVENT_GAPS_MAX 16u

typedef struct event_gaps {
	uint32_t us[EVENT_GAPS_MAX]; /* ring */
	uint32_t n;		     /* recorded so far */
	int64_t last_us;	     /* when the latest event came; 0: none */
	int64_t longest_us;
	int64_t longest_end_us; /* when the longest gap ended */
} event_gaps_t;

/* Events have come, at the same moment. */
void event_gaps_record(event_gaps_t *g, int64_t now_us);
/* The gap up to the next event says nothing of the target. */
void event_gaps_skip(event_gaps_t *g);
/* Median of the latest gaps; 0: there are too few. */
int64_t event_gaps_median(const event_gaps_t *g);

#ifdef __cplusplus
}
#endif
#endif
