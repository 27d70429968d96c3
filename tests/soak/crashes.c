/*
 * crashes.c - what crashes runners, each in a share of the seeds: parts of prompts,
 * which crash the runner that begins to answer on them, and requests that come again
 * alike. Which there are, and the rules on them.
 */
#include <stdio.h>
#include <stdlib.h>

#include "soak.h"

#define PARTS_MAX 2u
#define REQUESTS_MAX 2u
#define CAUSES_MAX (PARTS_MAX + REQUESTS_MAX)
/* Share of the seeds with such parts, and with such requests. */
#define SEEDS_SHARE 0.5
/* The first ones come so long after the callers' start. */
#define BEGIN_MIN_MS 2500
#define BEGIN_MAX_MS 4500
/* Share of the requests for streams that have one of the parts. */
#define PART_SHARE 0.04
/* Share of the requests of its kind that are one which crashes runners. */
#define REQUEST_SHARE 0.06
/* Of all kinds, those that many send alike and that crash nothing. */
#define POPULAR_SHARE 0.1
/* Numbers of those, one for each kind. */
#define POPULAR_FIRST 10u
/* Crashes after which a cause may come to MORE_MAX runners more. */
#define PART_CRASHES 5u
#define REQUEST_CRASHES 3u
#define MORE_MAX 3u
/* Sound requests before and after; fewer are not judged. */
#define SOUND_MIN 20u

typedef struct crash_cause {
	bool is_part;		/* else a request */
	const req_class_t *cls; /* of the request */
	int64_t begins_us;
	uint32_t n_crashes;
	int64_t settled_us; /* the last crash that is free; 0: it has not come */
	int64_t last_us;
	uint32_t n_more; /* requests that came too late */
} crash_cause_t;

struct crashes {
	soak_t *s;
	GRand *part_rng;
	GRand *alike_rng;
	/* Parts first; cause N is causes[N - 1]. */
	crash_cause_t causes[CAUSES_MAX];
	unsigned int n_parts;
	unsigned int n_requests;
	bool has_popular;
	/* Sound streams: sent before the first crash, or long after. */
	uint32_t n_before, n_began_before, n_after, n_began_after;
	uint32_t n_blamed; /* sound requests */
};

static unsigned int n_causes(const crashes_t *c)
{
	return c->n_parts + c->n_requests;
}

static int64_t draw_begin_us(GRand *rng)
{
	return g_rand_int_range(rng, BEGIN_MIN_MS, BEGIN_MAX_MS) *
	       USEC_PER_MSEC;
}

static void draw_parts(crashes_t *c)
{
	if (!chance(c->part_rng, SEEDS_SHARE))
		return;
	c->n_parts =
		(unsigned int)g_rand_int_range(c->part_rng, 1, PARTS_MAX + 1);
	for (unsigned int i = 0; i < c->n_parts; i++) {
		c->causes[i].is_part = true;
		c->causes[i].begins_us = draw_begin_us(c->part_rng);
	}
}

static void draw_requests(crashes_t *c)
{
	if (!chance(c->alike_rng, SEEDS_SHARE))
		return;
	c->has_popular = true;
	c->n_requests = (unsigned int)g_rand_int_range(c->alike_rng, 1,
						       REQUESTS_MAX + 1);
	for (unsigned int i = 0; i < c->n_requests; i++) {
		crash_cause_t *cause = &c->causes[c->n_parts + i];

		cause->cls = &req_classes[g_rand_int_range(c->alike_rng, 0,
							   CLASS_COUNT)];
		cause->begins_us = draw_begin_us(c->alike_rng);
	}
}

crashes_t *crashes_new(soak_t *s)
{
	crashes_t *c = xcalloc(1, sizeof(*c));

	c->s = s;
	c->part_rng = soak_rand(s, "crashes");
	c->alike_rng = soak_rand(s, "alike");
	draw_parts(c);
	draw_requests(c);
	return c;
}

void crashes_free(crashes_t *c)
{
	g_rand_free(c->part_rng);
	g_rand_free(c->alike_rng);
	free(c);
}

void crashes_start(crashes_t *c)
{
	for (unsigned int i = 0; i < n_causes(c); i++)
		c->causes[i].begins_us += soak_now(c->s);
}

static bool has_begun(const crashes_t *c, unsigned int cause)
{
	return soak_now(c->s) >= c->causes[cause - 1].begins_us;
}

static void draw_part(crashes_t *c, request_traits_t *t)
{
	unsigned int part;

	if (!c->n_parts || !chance(c->part_rng, PART_SHARE))
		return;
	part = 1 +
	       (unsigned int)g_rand_int_range(c->part_rng, 0, (gint)c->n_parts);
	if (has_begun(c, part))
		t->crash_part = t->crash_cause = part;
}

static void draw_alike(crashes_t *c, const req_class_t *cls,
		       request_traits_t *t)
{
	if (t->crash_cause || !c->has_popular)
		return;
	for (unsigned int i = 0; i < c->n_requests; i++) {
		unsigned int cause = c->n_parts + i + 1;

		if (c->causes[cause - 1].cls == cls && has_begun(c, cause) &&
		    chance(c->alike_rng, REQUEST_SHARE)) {
			t->alike = i + 1;
			t->crash_cause = cause;
			return;
		}
	}
	if (chance(c->alike_rng, POPULAR_SHARE))
		t->alike = POPULAR_FIRST + (unsigned int)(cls - req_classes);
}

request_traits_t crashes_draw(crashes_t *c, const req_class_t *cls)
{
	request_traits_t t = {0};

	if (cls->is_stream)
		draw_part(c, &t);
	draw_alike(c, cls, &t);
	return t;
}

static uint32_t crashes_allowed(const crash_cause_t *cause)
{
	return cause->is_part ? PART_CRASHES : REQUEST_CRASHES;
}

void crashes_note_crash(crashes_t *c, unsigned int cause)
{
	crash_cause_t *k = &c->causes[cause - 1];

	k->last_us = soak_now(c->s);
	if (++k->n_crashes == crashes_allowed(k))
		k->settled_us = k->last_us;
}

void crashes_note_arrival(crashes_t *c, const attempt_t *a, const char *runner)
{
	unsigned int cause = a->traits.crash_cause;
	crash_cause_t *k = &c->causes[cause - 1];

	if (!k->settled_us || soak_now(c->s) < k->settled_us + CONTACT_US ||
	    !host_in_touch(c->s->hosts, a->host))
		return;
	if (++k->n_more == MORE_MAX + 1)
		record_broken(c->s->record, RULE_CRASHES_GO_ON,
			      "%s %s by host-%u to %s, cause %u, %u crashes",
			      a->cls->name, a->id, a->host, runner, cause,
			      k->n_crashes);
}

void crashes_note_refused(crashes_t *c, const attempt_t *a)
{
	if (a->traits.crash_cause)
		return;
	c->n_blamed++;
	record_broken(c->s->record, RULE_SOUND_BLAMED, "%s %s by host-%u",
		      a->cls->name, a->id, a->host);
}

/* Whether the stream was sent before any crash by a cause, or long after. */
static bool is_before(const crashes_t *c, const attempt_t *a)
{
	for (unsigned int i = 0; i < n_causes(c); i++)
		if (c->causes[i].n_crashes)
			return false;
	return a->host_was_in_touch;
}

static bool is_after(const crashes_t *c, const attempt_t *a)
{
	for (unsigned int i = 0; i < n_causes(c); i++) {
		const crash_cause_t *k = &c->causes[i];
		int64_t from = k->settled_us ? k->settled_us : k->last_us;

		if (!k->n_crashes || a->sent_us < from + 2 * CONTACT_US)
			return false;
	}
	return n_causes(c) && a->host_was_in_touch;
}

void crashes_note_sound(crashes_t *c, const attempt_t *a, bool began)
{
	if (is_before(c, a)) {
		c->n_before++;
		c->n_began_before += began;
	} else if (is_after(c, a)) {
		c->n_after++;
		c->n_began_after += began;
	}
}

void crashes_end(crashes_t *c)
{
	if (c->n_before < SOUND_MIN || c->n_after < SOUND_MIN)
		return;
	/* n_began_after / n_after is under half of n_began_before / n_before. */
	if ((uint64_t)c->n_began_after * c->n_before * 2 <
	    (uint64_t)c->n_began_before * c->n_after)
		record_broken(c->s->record, RULE_SOUND_DROPPED,
			      "%u of %u began, %u of %u before",
			      c->n_began_after, c->n_after, c->n_began_before,
			      c->n_before);
}

void crashes_print(const crashes_t *c, FILE *out)
{
	for (unsigned int i = 0; i < n_causes(c); i++)
		fprintf(out,
			"crash cause %u (%s): %u crashes, %u requests too "
			"late\n",
			i + 1,
			c->causes[i].is_part ? "part" : c->causes[i].cls->name,
			c->causes[i].n_crashes, c->causes[i].n_more);
	if (n_causes(c))
		fprintf(out,
			"sound streams: %u of %u began before, %u of %u "
			"after; %u sound requests blamed\n",
			c->n_began_before, c->n_before, c->n_began_after,
			c->n_after, c->n_blamed);
}
