/*
 * strain.c - runners that are in need without being ill, each in a share of the seeds:
 * brittle services, whose runners let fewer requests run and fall over if they have to
 * reject too many, and runners that fall silent for a second and go on. And the rules.
 */
#include <stdio.h>
#include <stdlib.h>

#include "soak.h"

#define SEEDS_SHARE 0.5
#define BEGIN_MIN_MS 3000
#define BEGIN_MAX_MS 6000
#define LENGTH_MIN_MS 6000
#define LENGTH_MAX_MS 9000
/* Requests that a brittle runner rejects within WINDOW_US without falling over. */
#define REJECTS_MIN 2
#define REJECTS_MAX 8
#define WINDOW_US (1 * USEC_PER_SEC)
/* Requests that it runs at once, from CONTACT_US after it first said so. */
#define BRITTLE_SLOTS 2u
/* It is back after so long. */
#define DOWN_US (2 * USEC_PER_SEC)
#define SILENCE_MIN_MS 800
#define SILENCE_MAX_MS 1300
#define SILENCE_GAP_MAX_MS 2500
/* Runs that may end for another reason than the silence of their runner. */
#define CUT_IN_SILENCE_MAX 3u

typedef struct brittle {
	bool is_on; /* drawn for this seed */
	bool of_models;
	uint32_t rejects_max;
	int64_t begin_us, end_us;
	uint32_t n_falls;
	uint32_t n_rejects[RUNNERS_MAX]; /* in the window */
	int64_t window_us[RUNNERS_MAX];	 /* when it began */
	bool told_in_touch
		[RUNNERS_MAX]; /* most in it came from hosts in touch */
} brittle_t;

struct strain {
	soak_t *s;
	GRand *rng;
	brittle_t brittle;
	bool has_silence;
	uint32_t n_silences, n_cut;
	timer_sub_t timer;
};

strain_t *strain_new(soak_t *s)
{
	strain_t *t = xcalloc(1, sizeof(*t));
	brittle_t *b = &t->brittle;

	t->s = s;
	t->rng = soak_rand(s, "strain");
	b->is_on = chance(t->rng, SEEDS_SHARE);
	b->of_models = chance(t->rng, 0.5);
	b->rejects_max =
		(uint32_t)g_rand_int_range(t->rng, REJECTS_MIN, REJECTS_MAX);
	b->begin_us = g_rand_int_range(t->rng, BEGIN_MIN_MS, BEGIN_MAX_MS) *
		      USEC_PER_MSEC;
	b->end_us = b->begin_us +
		    g_rand_int_range(t->rng, LENGTH_MIN_MS, LENGTH_MAX_MS) *
			    USEC_PER_MSEC;
	t->has_silence = chance(t->rng, SEEDS_SHARE);
	return t;
}

void strain_free(strain_t *t)
{
	timer_svc_cancel(t->s->timers, &t->timer);
	g_rand_free(t->rng);
	free(t);
}

static void arm_silence(strain_t *t)
{
	timer_svc_arm(t->s->timers, &t->timer,
		      soak_now(t->s) + g_rand_int_range(t->rng, SILENCE_MAX_MS,
							SILENCE_GAP_MAX_MS) *
					       USEC_PER_MSEC);
}

static void on_timer(void *ctx, int64_t now)
{
	strain_t *t = ctx;
	unsigned int runner = (unsigned int)g_rand_int_range(
		t->rng, 0, (gint)platform_n_runners(t->s->platform));

	(void)now;
	t->n_silences++;
	platform_silence(t->s->platform, runner,
			 g_rand_int_range(t->rng, SILENCE_MIN_MS,
					  SILENCE_MAX_MS) *
				 USEC_PER_MSEC);
	arm_silence(t);
}

void strain_start(strain_t *t)
{
	t->brittle.begin_us += soak_now(t->s);
	t->brittle.end_us += soak_now(t->s);
	timer_sub_init(&t->timer, on_timer, t);
	if (t->has_silence)
		arm_silence(t);
}

static bool is_brittle(const strain_t *t, bool is_model)
{
	const brittle_t *b = &t->brittle;
	int64_t now = soak_now(t->s);

	return b->is_on && b->of_models == is_model && now >= b->begin_us &&
	       now < b->end_us;
}

uint32_t strain_named(const strain_t *t, bool is_model)
{
	return is_brittle(t, is_model) ? t->brittle.rejects_max : 0;
}

uint32_t strain_slots(const strain_t *t, bool is_model, uint32_t usual)
{
	if (!is_brittle(t, is_model) ||
	    soak_now(t->s) < t->brittle.begin_us + CONTACT_US)
		return usual;
	return BRITTLE_SLOTS;
}

bool strain_falls(strain_t *t, bool is_model, unsigned int runner,
		  unsigned int host)
{
	brittle_t *b = &t->brittle;
	int64_t now = soak_now(t->s);

	if (!is_brittle(t, is_model))
		return false;
	if (now - b->window_us[runner] >= WINDOW_US) {
		b->window_us[runner] = now;
		b->n_rejects[runner] = 0;
		b->told_in_touch[runner] = true;
	}
	b->told_in_touch[runner] &= host_in_touch(t->s->hosts, host);
	if (++b->n_rejects[runner] <= b->rejects_max)
		return false;
	b->n_falls += b->told_in_touch[runner];
	return true;
}

int64_t strain_down_us(void)
{
	return DOWN_US;
}

void strain_note_cut(strain_t *t, const attempt_t *a)
{
	if (++t->n_cut == CUT_IN_SILENCE_MAX + 1)
		record_broken(t->s->record, RULE_SILENCE_PUNISHED,
			      "%s %s by host-%u and %u before", a->cls->name,
			      a->id, a->host, CUT_IN_SILENCE_MAX);
}

void strain_end(strain_t *t)
{
	uint32_t n = platform_n_of_kind(t->s->platform, t->brittle.of_models);

	if (t->brittle.n_falls > 2 + n / 10)
		record_broken(t->s->record, RULE_BRITTLE_FALLS,
			      "%u runners fell over %u times, %u rejected a "
			      "second are borne",
			      n, t->brittle.n_falls, t->brittle.rejects_max);
}

void strain_print(const strain_t *t, FILE *out)
{
	if (t->brittle.is_on)
		fprintf(out, "brittle runners (%s, %u a second): %u falls\n",
			t->brittle.of_models ? "models" : "plain",
			t->brittle.rejects_max, t->brittle.n_falls);
	if (t->has_silence)
		fprintf(out, "silences of runners: %u, runs cut in them %u\n",
			t->n_silences, t->n_cut);
}
