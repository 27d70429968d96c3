/* reject_limit.c - the room at runners that end if they reject too much. */
#include "reject_limit.h"

#include <glib.h>

/* A limit that no answer has stated for this long does not hold any more. */
#define LIMIT_FORGET_US (5 * USEC_PER_SEC)
/*
 * After a rejection the bound grows by one request in the time of so many allowed
 * rejections: the request that exceeds it, and one that was on its way.
 */
#define REJECTIONS_PER_STEP 2
/* A runner that allows many rejections is still not tried more often. */
#define STEP_MIN_US (100 * USEC_PER_MSEC)

static bool is_active(const reject_limit_t *b, int64_t now_us)
{
	return b->rejections_max && now_us - b->set_us < LIMIT_FORGET_US;
}

static int64_t step_us(const reject_limit_t *b)
{
	int64_t us = REJECTIONS_PER_STEP * USEC_PER_SEC / b->rejections_max;

	return MAX(us, STEP_MIN_US);
}

void reject_limit_set(reject_limit_t *b, uint32_t rejections_max,
		      int64_t now_us)
{
	if (!rejections_max)
		return;
	if (!is_active(b, now_us))
		b->requests_max = 0;
	b->rejections_max = rejections_max;
	b->set_us = now_us;
}

int64_t reject_limit_on_rejected(reject_limit_t *b, uint32_t n, int64_t now_us)
{
	if (!is_active(b, now_us))
		return 0;
	b->requests_max = MAX(n, 1);
	b->rejected_us = now_us;
	return now_us + step_us(b);
}

bool reject_limit_has_room(const reject_limit_t *b, uint32_t n, double slots,
			   int64_t now_us)
{
	if (!is_active(b, now_us))
		return true;
	if (n >= MAX(slots, 1))
		return false;
	return !b->requests_max ||
	       n < b->requests_max + (now_us - b->rejected_us) / step_us(b);
}
