/* event_gaps.c - gaps between the events of a stream. */
#include "event_gaps.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

/* A median of fewer gaps may be that of a prompt being prefilled. */
#define GAPS_MIN 3u

void event_gaps_record(event_gaps_t *g, int64_t now_us)
{
	int64_t gap_us = now_us - g->last_us;
	bool first = !g->last_us;

	g->last_us = now_us;
	if (first)
		return;
	g->us[g->n++ % EVENT_GAPS_MAX] = (uint32_t)CLAMP(gap_us, 0, UINT32_MAX);
	if (gap_us <= g->longest_us)
		return;
	g->longest_us = gap_us;
	g->longest_end_us = now_us;
}

void event_gaps_skip(event_gaps_t *g)
{
	g->last_us = 0;
}

static int compare_us(const void *a, const void *b)
{
	uint32_t x = *(const uint32_t *)a, y = *(const uint32_t *)b;

	return (x > y) - (x < y);
}

int64_t event_gaps_median(const event_gaps_t *g)
{
	uint32_t sorted[EVENT_GAPS_MAX];
	uint32_t n = MIN(g->n, EVENT_GAPS_MAX);

	if (n < GAPS_MIN)
		return 0;
	memcpy(sorted, g->us, n * sizeof(*sorted));
	qsort(sorted, n, sizeof(*sorted), compare_us);
	return sorted[n / 2];
}
