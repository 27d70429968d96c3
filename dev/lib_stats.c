/* lib_stats.c - percentiles of a sample. */
#include "lib_stats.h"

#include <math.h>
#include <stdlib.h>

void stats_add(stats_t *s, double x)
{
	if (s->n == s->cap) {
		s->cap = s->cap ? 2 * s->cap : 64;
		s->values = xrealloc(s->values, s->cap * sizeof(*s->values));
	}
	s->values[s->n++] = x;
	s->sorted = false;
}

double stats_sum(const stats_t *s)
{
	double sum = 0;

	for (size_t i = 0; i < s->n; i++)
		sum += s->values[i];
	return sum;
}

static int ascending(const void *a, const void *b)
{
	double x = *(const double *)a, y = *(const double *)b;

	return (x > y) - (x < y);
}

double stats_percentile(const stats_t *s, double p)
{
	stats_t *sample = (stats_t *)s;
	size_t rank;

	if (!s->n)
		return 0;
	if (!s->sorted)
		qsort(sample->values, s->n, sizeof(*s->values), ascending);
	sample->sorted = true;
	rank = (size_t)ceil(p / 100 * (double)s->n);
	return s->values[rank ? rank - 1 : 0];
}

json_t *stats_json(const stats_t *s)
{
	return json_pack("{s:i,s:f,s:f,s:f}", "n", (int)s->n, "p50",
			 stats_percentile(s, 50), "p95",
			 stats_percentile(s, 95), "p99",
			 stats_percentile(s, 99));
}

void stats_free(stats_t *s)
{
	free(s->values);
	*s = (stats_t){0};
}
