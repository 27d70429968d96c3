/*
 * hist.h - latency histograms of the process, exported as Prometheus text. All
 * have the same buckets, whose upper bounds double from half a millisecond.
 */
#ifndef DK_HIST_H
#define DK_HIST_H

#include "util.h"

#ifdef __cplusplus
extern "C" {
#endif

/* X(NAME, "name", "help") - exported as damasklug_<name>_seconds. */
#define HISTS(X)                                                            \
	X(FIRST_EVENT, "first_event",                                       \
	  "From a request's arrival to the first byte of its answer")       \
	X(ANSWER, "answer", "From a request's arrival to the answer's end") \
	X(BETWEEN_EVENTS, "between_events",                                 \
	  "Between two pieces of a stream passed on")                       \
	X(GRANT, "grant", "From asking for a place to its grant")           \
	X(TARGET, "target", "From sending to a target to its first byte")   \
	X(ORDER, "order", "From an order to the runner's answer")           \
	X(MANIFEST, "manifest", "From taking a manifest to its confirmation")

typedef enum hist {
#define X(name, str, help) HIST_##name,
	HISTS(X)
#undef X
	HIST_COUNT,
} hist_t;

/* Records one duration; a negative one counts as 0. */
void hist_add(hist_t h, int64_t us);
/* Appends all histograms as Prometheus text. */
void hist_write(buf_t *out);

#ifdef __cplusplus
}
#endif
#endif
