/* overload.c - long turns of an event loop in a sliding window. */
#include "overload.h"

#include <glib.h>

/* Long enough that one long task, such as reading a manifest, does not count. */
#define OVERLOAD_WINDOW_US (500 * USEC_PER_MSEC)
#define OVERLOAD_TURNS_MIN 2u

bool overload_record_turn(overload_t *o, int64_t now_us, int64_t duration_us)
{
	int64_t sum_us = 0;
	uint32_t n = 0;

	o->turns[o->n++ % OVERLOAD_TURNS_MAX] =
		(overload_turn_t){now_us, duration_us};
	for (uint32_t i = 0; i < MIN(o->n, OVERLOAD_TURNS_MAX); i++) {
		if (now_us - o->turns[i].end_us >= OVERLOAD_WINDOW_US)
			continue;
		sum_us += o->turns[i].duration_us;
		n++;
	}
	return n >= OVERLOAD_TURNS_MIN && sum_us >= OVERLOAD_WINDOW_US / 2;
}
