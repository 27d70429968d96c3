/*
 * lib_stats.h - a sample of numbers and its percentiles. Zero-initialize it;
 * free it with stats_free().
 */
#ifndef DK_DEV_STATS_H
#define DK_DEV_STATS_H

#include "util.h"

#include <jansson.h>

#ifdef __cplusplus
extern "C" {
#endif

typedef struct stats {
	double *values; /* owned */
	size_t n, cap;
	bool sorted;
} stats_t;

void stats_add(stats_t *s, double x);
double stats_sum(const stats_t *s);
/*
 * Returns the percentile p (0 to 100) by the nearest-rank method, 0 for an
 * empty sample. Sorts the sample.
 */
double stats_percentile(const stats_t *s, double p);
/* Returns {"n":N,"p50":X,"p95":X,"p99":X}; the caller owns it. */
json_t *stats_json(const stats_t *s);
void stats_free(stats_t *s);

#ifdef __cplusplus
}
#endif
#endif
