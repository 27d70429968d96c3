/* lib_bound.c - a clairvoyant lower bound on load stall. */
#include "lib_bound.h"

#include <stdlib.h>
#include <string.h>

static int by_start(const void *x, const void *y)
{
	const gap_t *a = x, *b = y;

	return (a->from_us > b->from_us) - (a->from_us < b->from_us);
}

/* Drops the active intervals that have ended; returns the number left. */
static size_t drop_ended(gap_t *active, size_t n, int64_t now)
{
	size_t left = 0;

	for (size_t i = 0; i < n; i++)
		if (active[i].to_us > now)
			active[left++] = active[i];
	return left;
}

static size_t drop_last_to_end(gap_t *active, size_t n)
{
	size_t last = 0;

	for (size_t i = 1; i < n; i++)
		if (active[i].to_us > active[last].to_us)
			last = i;
	active[last] = active[n - 1];
	return n - 1;
}

size_t bound_keep(gap_t *gaps, size_t n, size_t slots)
{
	AUTO_FREE gap_t *active = xcalloc(slots + 1, sizeof(*active));
	size_t n_active = 0, kept = 0;

	qsort(gaps, n, sizeof(*gaps), by_start);
	for (size_t i = 0; i < n; i++) {
		n_active = drop_ended(active, n_active, gaps[i].from_us);
		active[n_active++] = gaps[i];
		kept++;
		if (n_active <= slots)
			continue;
		n_active = drop_last_to_end(active, n_active);
		kept--;
	}
	return kept;
}

/* Earlier arrivals for one adapter. */
typedef struct earlier {
	int64_t last_us;	/* the latest one */
	int64_t warm_up_due_us; /* latest deadline of those in the warm-up */
} earlier_t;

bound_t bound_stall(const deploy_t *d, const phase_t *ph,
		    const GArray *arrivals)
{
	GHashTable *seen =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free);
	int64_t load_us = d->load_ms * USEC_PER_MSEC;
	int64_t phase_start_us = (int64_t)(d->warm_up_s * USEC_PER_SEC);
	AUTO_FREE gap_t *gaps = xcalloc(arrivals->len, sizeof(*gaps));
	size_t n_gaps = 0, kept;
	bound_t b = {0};

	for (guint i = 0; i < arrivals->len; i++) {
		const arrival_t *a = &g_array_index(arrivals, arrival_t, i);
		earlier_t *earlier = g_hash_table_lookup(seen, a->adapter);
		bool first = !earlier;

		if (first) {
			earlier = xcalloc(1, sizeof(*earlier));
			g_hash_table_insert(seen, (gpointer)a->adapter,
					    earlier);
		}
		if (!a->warm_up) {
			int64_t from = earlier->last_us + load_us;

			b.requests++;
			if (first)
				b.loads++;
			else if (from < a->at_us &&
				 earlier->warm_up_due_us < phase_start_us)
				gaps[n_gaps++] = (gap_t){
					MAX(from, phase_start_us), a->at_us};
		} else {
			earlier->warm_up_due_us =
				MAX(earlier->warm_up_due_us,
				    a->at_us + a->deadline_us);
		}
		earlier->last_us = a->at_us;
	}
	kept = bound_keep(gaps, n_gaps, (size_t)(d->runners * d->slots));
	b.loads += n_gaps - kept;
	b.stall_s = (double)b.loads * (double)load_us / USEC_PER_SEC;
	g_hash_table_destroy(seen);
	return b;
}
