/*
 * lib_stats.h - a sample of figures with percentiles. Zero-initialize; free
 * with stats_free().
 */
#ifndef DK_DEV_STATS_H
#define DK_DEV_STATS_H

#include "util.h"

#include <jansson.h>

#ifdef __cplusplus
extern "C" {
#endif

typedef struct stats {
	double *v; /* owned */
	size_t n, cap;
	bool sorted;
} stats_t;

void stats_add(stats_t *s, double x);
double stats_sum(const stats_t *s);
/* Nearest rank; 0 of an empty sample. Sorts the sample. */
double stats_percentile(const stats_t *s, double p);
/* {"n":N,"p50":X,"p95":X,"p99":X} */
json_t *stats_json(const stats_t *s);
void stats_free(stats_t *s);

#ifdef __cplusplus
}
#endif
#endif
