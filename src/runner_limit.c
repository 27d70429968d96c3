/* runner_limit.c - a token bucket of one request. */
#include "runner_limit.h"

#include <string.h>

#include <glib.h>

/*
 * A lower limit counts as this: only an answer tells that it has ended. Requests a
 * second.
 */
#define PER_S_MIN 0.2
/* Most requests that may be sent at once. */
#define ALLOWANCE_MAX 1.0
/* Different allowances with which a limit may begin. */
#define ALLOWANCE_STEPS 1024u

/* Requests a microsecond. */
static double rate(const runner_limit_t *l, double share)
{
	return MAX(l->per_s, PER_S_MIN) * share / (double)USEC_PER_SEC;
}

static double allowance(const runner_limit_t *l, double share, int64_t now_us)
{
	double a = l->allowance + (double)(now_us - l->at_us) * rate(l, share);

	return MIN(a, ALLOWANCE_MAX);
}

void runner_limit_name(runner_limit_t *l, double per_s, uint64_t seed,
		       int64_t at_us, int64_t now_us)
{
	if (at_us < l->named_us || at_us < l->ended_us)
		return;
	if (!l->active) {
		l->active = true;
		l->allowance =
			(double)(seed % ALLOWANCE_STEPS) / ALLOWANCE_STEPS;
	} else {
		l->allowance = allowance(l, 1, now_us);
	}
	l->at_us = now_us;
	l->per_s = per_s;
	l->named_us = at_us;
}

void runner_limit_end(runner_limit_t *l, int64_t sent_us, int64_t now_us)
{
	if (!l->active || sent_us <= l->named_us)
		return;
	l->active = false;
	l->ended_us = now_us;
}

void runner_limit_reset(runner_limit_t *l)
{
	memset(l, 0, sizeof(*l));
}

int64_t runner_limit_wait_us(const runner_limit_t *l, double share,
			     uint32_t n_queued, int64_t now_us)
{
	double a;

	if (!l->active)
		return 0;
	a = allowance(l, share, now_us);
	if (a >= 1)
		return 0;
	return (int64_t)((1 - a + n_queued) / rate(l, share)) + 1;
}

void runner_limit_take(runner_limit_t *l, double share, int64_t now_us)
{
	if (!l->active)
		return;
	l->allowance = allowance(l, share, now_us) - 1;
	l->at_us = now_us;
}
