/*
 * speeds.c - what messages of entries tell of the speed of model runners, and which
 * pauses their streams allow.
 */
#include "dispatch_int.h"

#include "counter.h"
#include "log.h"

/* A pause with fewer prompt tokens in it may have another cause. */
#define PAUSE_TOKENS_MIN 400.0
/* The prompts of an older pause may have left the ring of prefills. */
#define PAUSE_AGO_MAX_US (8 * USEC_PER_SEC)

const runner_speed_t *runner_speed_find(const runner_t *r, uint64_t model_key)
{
	for (size_t i = 0; i < RUNNER_SPEEDS_MAX; i++)
		if (r->speeds[i].model_key == model_key)
			return &r->speeds[i];
	return NULL;
}

runner_speed_t *runner_speed_of(runner_t *r, uint64_t model_key, int64_t now_us)
{
	runner_speed_t *oldest = &r->speeds[0];

	for (size_t i = 0; i < RUNNER_SPEEDS_MAX; i++) {
		runner_speed_t *s = &r->speeds[i];

		if (s->model_key == model_key)
			return s;
		if (s->observed_us < oldest->observed_us)
			oldest = s;
	}
	runner_speed_init(oldest, model_key, now_us);
	return oldest;
}

/* Sets the smallest pause of the streams whose pauses are not expected too long. */
static void update_pause_allowed(runner_t *r)
{
	const grant_t *g;

	r->pause_allowed_us = 0;
	r->n_spared = 0;
	cds_list_for_each_entry (g, &r->grants, node) {
		if (!g->event_gap_us || g->pause_expected)
			continue;
		r->n_spared++;
		if (!r->pause_allowed_us ||
		    g->event_gap_us < r->pause_allowed_us)
			r->pause_allowed_us = g->event_gap_us;
	}
}

/* Streams of the runner that pause too long for the prompt of g. */
static void expect_pauses(grant_t *g, double pause_us)
{
	grant_t *other;
	uint32_t n = 0;

	cds_list_for_each_entry (other, &g->runner->grants, node) {
		if (other == g || !other->started || other->pause_expected ||
		    !other->event_gap_us ||
		    pause_us <= (double)other->event_gap_us)
			continue;
		other->pause_expected = true;
		n++;
	}
	if (!n)
		return;
	counter_add(CTR_PAUSES_EXPECTED, n);
	log_event(LOG_INFO, "pauses_expected", kv_s("runner", g->runner->id),
		  kv_u("prefill_tokens", g->prefill_tokens),
		  kv_i("pause_ms", (int64_t)pause_us / USEC_PER_MSEC),
		  kv_u("streams", n));
}

void speeds_on_grant(grant_t *g, const Dispatch__Ask *ask, double share,
		     int64_t now_us)
{
	runner_t *r = g->runner;
	runner_speed_t *s;
	prefill_plan_t plan;

	if (!ask->model.len)
		return;
	g->model_key = copy_key(pb_str(ask->model), str_n(NULL, 0));
	s = runner_speed_of(r, g->model_key, now_us);
	prefill_plan(&r->prefills, s, g->prefill_tokens, r->pause_allowed_us,
		     share, now_us, &plan);
	expect_pauses(g, plan.pause_us_now);
	g->prefill_ahead_tokens = prefills_open_tokens(&r->prefills, s, now_us);
	g->prefill_seq =
		prefills_add(&r->prefills, s, g->prefill_tokens, now_us);
	g->event_gap_us = ask->event_gap_us;
	r->n_pause_limited += g->event_gap_us > 0;
	update_pause_allowed(r);
}

static void log_speed(const runner_t *r, runner_speed_t *s)
{
	if (!runner_speed_log_due(s))
		return;
	log_event(LOG_INFO, "runner_speed", kv_s("runner", r->id),
		  kv_i("gap_us", (int64_t)s->mean[SPEED_GAP]),
		  kv_i("token_ns", (int64_t)(s->mean[SPEED_TOKEN] * 1000)),
		  kv_i("first_us", (int64_t)s->mean[SPEED_FIRST]),
		  kv_u("observed", s->n_observed));
}

void speeds_on_started(grant_t *g, int64_t waited_us, int64_t now_us)
{
	runner_t *r = g->runner;
	runner_speed_t *s;
	double later;

	if (!g->model_key)
		return;
	s = runner_speed_of(r, g->model_key, now_us);
	later = prefills_later_tokens(&r->prefills, g->prefill_seq, now_us);
	runner_speed_on_first(s, waited_us,
			      g->prefill_ahead_tokens + g->prefill_tokens,
			      later, now_us);
	prefills_end(&r->prefills, s, g->prefill_seq, true, now_us);
	log_speed(r, s);
}

void speeds_on_done(grant_t *g, const Dispatch__Done *m, int64_t now_us)
{
	runner_t *r = g->runner;
	int64_t end_us = now_us - m->pause_ago_us;
	runner_speed_t *s;
	double tokens;

	counter_add(CTR_STREAMS_PAUSED, m->pause_permille > 1000);
	if (!g->model_key || m->event_gap_us <= 0)
		return;
	s = runner_speed_of(r, g->model_key, now_us);
	runner_speed_on_gap(s, m->event_gap_us, now_us);
	if (m->pause_ago_us < 0 || m->pause_ago_us > PAUSE_AGO_MAX_US)
		return;
	tokens = prefills_between(&r->prefills, end_us - m->longest_pause_us,
				  end_us);
	if (tokens >= PAUSE_TOKENS_MIN)
		runner_speed_on_pause(s, m->longest_pause_us, tokens, now_us);
	log_speed(r, s);
}

void speeds_on_grant_freed(grant_t *g, int64_t now_us)
{
	runner_t *r = g->runner;
	const runner_speed_t *s =
		g->model_key ? runner_speed_find(r, g->model_key) : NULL;

	if (!g->model_key)
		return;
	if (s && now_us)
		prefills_end(&r->prefills, s, g->prefill_seq, false, now_us);
	if (!g->event_gap_us)
		return;
	g->event_gap_us = 0;
	r->n_pause_limited--;
	update_pause_allowed(r);
}
