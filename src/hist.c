/* hist.c - latency histograms: an atomic counter for each bucket. */
#include "hist.h"

#include <stdatomic.h>

#define FIRST_BOUND_US 500
#define N_BUCKETS 17u /* the largest upper bound is 32.8 s */

typedef struct hist_data {
	/* Durations of each bucket alone; the last: above all bounds. */
	atomic_uint_fast64_t buckets[N_BUCKETS + 1];
	atomic_uint_fast64_t sum_us;
} hist_data_t;

static hist_data_t histograms[HIST_COUNT];

static const struct {
	const char *name;
	const char *help;
} hist_info[HIST_COUNT] = {
#define X(name, str, help) {str, help},
	HISTS(X)
#undef X
};

static int64_t upper_bound_us(unsigned int i)
{
	return (int64_t)FIRST_BOUND_US << i;
}

void hist_add(hist_t h, int64_t us)
{
	unsigned int i = 0;

	if (us < 0)
		us = 0;
	while (i < N_BUCKETS && us > upper_bound_us(i))
		i++;
	atomic_fetch_add_explicit(&histograms[h].buckets[i], 1,
				  memory_order_relaxed);
	atomic_fetch_add_explicit(&histograms[h].sum_us, (uint64_t)us,
				  memory_order_relaxed);
}

static uint64_t get_bucket(hist_t h, unsigned int i)
{
	return atomic_load_explicit(&histograms[h].buckets[i],
				    memory_order_relaxed);
}

static void write_histogram(buf_t *out, hist_t h)
{
	const char *name = hist_info[h].name;
	uint64_t n = 0;

	buf_printf(out, "# HELP damasklug_%s_seconds %s\n", name,
		   hist_info[h].help);
	buf_printf(out, "# TYPE damasklug_%s_seconds histogram\n", name);
	for (unsigned int i = 0; i < N_BUCKETS; i++) {
		n += get_bucket(h, i);
		buf_printf(out, "damasklug_%s_seconds_bucket{le=\"%g\"} %llu\n",
			   name, (double)upper_bound_us(i) / USEC_PER_SEC,
			   (unsigned long long)n);
	}
	n += get_bucket(h, N_BUCKETS);
	buf_printf(out, "damasklug_%s_seconds_bucket{le=\"+Inf\"} %llu\n", name,
		   (unsigned long long)n);
	buf_printf(out, "damasklug_%s_seconds_sum %.6f\n", name,
		   (double)atomic_load_explicit(&histograms[h].sum_us,
						memory_order_relaxed) /
			   USEC_PER_SEC);
	buf_printf(out, "damasklug_%s_seconds_count %llu\n", name,
		   (unsigned long long)n);
}

void hist_write(buf_t *out)
{
	for (unsigned int h = 0; h < HIST_COUNT; h++)
		write_histogram(out, (hist_t)h);
}
