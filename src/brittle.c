/* brittle.c - the room at runners that fall over if they reject too much. */
#include "brittle.h"

#include <glib.h>

/* A runner that has not said so for this long is not brittle any more. */
#define BRITTLE_FORGET_US (5 * USEC_PER_SEC)
/*
 * At most one request more in the time of so many allowed rejections: others may be
 * on their way when the first is rejected.
 */
#define REJECTIONS_PER_STEP 2
/* A runner that allows many rejections is still not tried more often. */
#define STEP_MIN_US (100 * USEC_PER_MSEC)

static bool is_active(const brittle_t *b, int64_t now_us)
{
	return b->rejections_max && now_us - b->named_us < BRITTLE_FORGET_US;
}

static int64_t step_us(const brittle_t *b)
{
	int64_t us = REJECTIONS_PER_STEP * USEC_PER_SEC / b->rejections_max;

	return MAX(us, STEP_MIN_US);
}

void brittle_name(brittle_t *b, uint32_t rejections_max, int64_t now_us)
{
	if (!rejections_max)
		return;
	if (!is_active(b, now_us))
		b->cap = 0;
	b->rejections_max = rejections_max;
	b->named_us = now_us;
}

int64_t brittle_on_rejected(brittle_t *b, uint32_t n, int64_t now_us)
{
	if (!is_active(b, now_us))
		return 0;
	b->cap = MAX(n, 1);
	b->rejected_us = now_us;
	return now_us + step_us(b);
}

bool brittle_has_room(const brittle_t *b, uint32_t n, double slots,
		      int64_t now_us)
{
	if (!is_active(b, now_us))
		return true;
	if (n >= MAX(slots, 1))
		return false;
	return !b->cap || n < b->cap + (now_us - b->rejected_us) / step_us(b);
}
