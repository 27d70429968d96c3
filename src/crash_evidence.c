/* crash_evidence.c - crashes of runners, and the causes that they count against. */
#include "crash_evidence.h"

#include <stdlib.h>
#include <string.h>

#include <glib.h>

/*
 * Prompts whose crashes are needed to name a part: if it stands out, and if another
 * one is in all of them.
 */
#define PROMPTS_NEEDED 4u
#define PROMPTS_NEEDED_TIED 6u
/* The same for a part that more than half of the last prompts had. */
#define PROMPTS_NEEDED_COMMON 12u
/* Crashes that are needed to name a request, alone and as above. */
#define REQUEST_CRASHES_NEEDED 3u
#define REQUEST_CRASHES_NEEDED_TIED 5u
/* Runners that end within this time end together, of one cause elsewhere. */
#define ENDED_TOGETHER_US (20 * USEC_PER_MSEC)
/* Prompts asked for last, of which so many parts are kept. */
#define ASKED_SIZE 128u
#define ASKED_PARTS_MAX 8u
/* With fewer prompts so far no part is common. */
#define ASKED_MIN 8u
/* Crashes remembered, the last ones, and suspects of each. */
#define CRASHES_MAX 128u
#define SUSPECTS_PER_CRASH_MAX 64u
/* A crash counts for so long. */
#define CRASH_VALID_US (600 * USEC_PER_SEC)
/*
 * What a runner sent before it ended may arrive so long after the end: it does not
 * show that the runner lives.
 */
#define ANSWERS_IN_FLIGHT_US (300 * USEC_PER_MSEC)
/* An answer that clears a suspect has this time to come. */
#define CLEAR_WAIT_US (700 * USEC_PER_MSEC)
/*
 * Cleared causes remembered of each kind, in a direct-mapped table: there are far more
 * requests than parts, and they must not displace these.
 */
#define CLEARED_SIZE 4096u
/* Counters by which a cause that no crash counts against is told fast. */
#define FILTER_SIZE 16384u
/* A cause that was answered so lately is not suspected. */
#define CLEARED_FOR_US (2 * USEC_PER_SEC)

typedef struct suspect {
	crash_cause_t cause;
	uint64_t own_part; /* of the prompt that had it */
} suspect_t;

typedef struct crash {
	uint64_t runner; /* hash of its id; 0: empty */
	int64_t at_us;
	bool explained; /* by a cause that was found to be the culprit */
	uint32_t n;
	suspect_t suspects[SUSPECTS_PER_CRASH_MAX];
} crash_t;

typedef struct cleared_cause {
	uint64_t id;
	int64_t until_us;
} cleared_cause_t;

/* Shared parts of a prompt that was asked for. */
typedef struct asked_prompt {
	uint32_t n;
	uint64_t parts[ASKED_PARTS_MAX];
} asked_prompt_t;

struct crash_evidence {
	crash_t crashes[CRASHES_MAX];
	uint32_t n_crashes; /* not empty */
	uint32_t next;	    /* entry to be used next */
	cleared_cause_t cleared[CAUSE_KIND_COUNT][CLEARED_SIZE];
	asked_prompt_t asked[ASKED_SIZE];
	uint64_t n_asked; /* so far, also those overwritten */
	/* At id % FILTER_SIZE: how often such causes stand in crashes. */
	uint16_t filter[FILTER_SIZE];
};

crash_evidence_t *crash_evidence_new(void)
{
	return xcalloc(1, sizeof(crash_evidence_t));
}

void crash_evidence_free(crash_evidence_t *e)
{
	free(e);
}

bool crash_cause_equal(crash_cause_t a, crash_cause_t b)
{
	return a.kind == b.kind && a.id == b.id;
}

static crash_cause_t part_cause(uint64_t id)
{
	return (crash_cause_t){CAUSE_PART, id};
}

static uint64_t runner_key(str_t runner)
{
	return hash_bytes(runner.p, runner.n, 0) | 1;
}

static bool is_cleared(const crash_evidence_t *e, crash_cause_t cause,
		       int64_t at_us)
{
	const cleared_cause_t *a =
		&e->cleared[cause.kind][cause.id % CLEARED_SIZE];

	return a->id == cause.id && at_us < a->until_us;
}

void crash_evidence_note_asked(crash_evidence_t *e, const uint64_t *parts,
			       size_t n)
{
	asked_prompt_t *a = &e->asked[e->n_asked++ % ASKED_SIZE];

	a->n = (uint32_t)MIN(n, ASKED_PARTS_MAX);
	memcpy(a->parts, parts, a->n * sizeof(a->parts[0]));
}

static bool was_asked_with(const asked_prompt_t *a, uint64_t part)
{
	for (uint32_t i = 0; i < a->n; i++)
		if (a->parts[i] == part)
			return true;
	return false;
}

static bool is_common(const crash_evidence_t *e, crash_cause_t cause)
{
	uint64_t n_kept = MIN(e->n_asked, ASKED_SIZE);
	uint64_t n = 0;

	if (cause.kind != CAUSE_PART)
		return false;
	for (uint64_t i = 0; i < n_kept; i++)
		n += was_asked_with(&e->asked[i], cause.id);
	return n_kept >= ASKED_MIN && n * 2 > n_kept;
}

/* Index of the cause among the suspects of the crash; c->n: it is not there. */
static uint32_t index_of(const crash_t *c, crash_cause_t cause)
{
	uint32_t i = 0;

	while (i < c->n && !crash_cause_equal(c->suspects[i].cause, cause))
		i++;
	return i;
}

static bool counts_against(const crash_t *c, crash_cause_t cause)
{
	return !c->explained && index_of(c, cause) < c->n;
}

static crash_t *find_crash(crash_evidence_t *e, uint64_t runner)
{
	for (size_t i = 0; i < CRASHES_MAX; i++)
		if (e->crashes[i].runner == runner)
			return &e->crashes[i];
	return NULL;
}

static void add_suspect(crash_evidence_t *e, crash_t *c, crash_cause_t cause,
			uint64_t own_part)
{
	if (c->n == SUSPECTS_PER_CRASH_MAX || is_cleared(e, cause, c->at_us) ||
	    index_of(c, cause) < c->n)
		return;
	c->suspects[c->n++] = (suspect_t){cause, own_part};
	e->filter[cause.id % FILTER_SIZE]++;
}

static void remove_suspect(crash_evidence_t *e, crash_t *c, uint32_t at)
{
	e->filter[c->suspects[at].cause.id % FILTER_SIZE]--;
	c->suspects[at] = c->suspects[--c->n];
}

static void drop_crash(crash_evidence_t *e, crash_t *c)
{
	while (c->n)
		remove_suspect(e, c, 0);
	e->n_crashes -= c->runner != 0;
	memset(c, 0, sizeof(*c));
}

static crash_t *get_crash(crash_evidence_t *e, uint64_t runner, int64_t at_us)
{
	crash_t *c = find_crash(e, runner);

	if (c)
		return c;
	c = &e->crashes[e->next];
	e->next = (e->next + 1) % CRASHES_MAX;
	drop_crash(e, c);
	c->runner = runner;
	c->at_us = at_us;
	e->n_crashes++;
	return c;
}

void crash_evidence_add(crash_evidence_t *e, str_t runner,
			const crashed_request_t *request, int64_t at_us)
{
	crash_t *c = get_crash(e, runner_key(runner), at_us);

	if (request->digest)
		add_suspect(e, c,
			    (crash_cause_t){CAUSE_REQUEST, request->digest},
			    request->own_part);
	for (size_t i = 0; i < request->n; i++)
		add_suspect(e, c, part_cause(request->parts[i]),
			    request->own_part);
}

void crash_evidence_explain(crash_evidence_t *e, str_t runner, int64_t at_us)
{
	get_crash(e, runner_key(runner), at_us)->explained = true;
}

bool crash_evidence_has_ended(const crash_evidence_t *e, str_t runner)
{
	uint64_t key = runner_key(runner);

	for (size_t i = 0; i < CRASHES_MAX; i++)
		if (e->crashes[i].runner == key)
			return true;
	return false;
}

void crash_evidence_withdraw(crash_evidence_t *e, str_t runner, int64_t now_us)
{
	crash_t *c;

	if (!e->n_crashes)
		return;
	c = find_crash(e, runner_key(runner));
	if (c && now_us - c->at_us > ANSWERS_IN_FLIGHT_US)
		drop_crash(e, c);
}

/* Whether no crash counts against the cause, told without looking at them. */
static bool is_surely_unsuspected(const crash_evidence_t *e,
				  crash_cause_t cause)
{
	return !e->filter[cause.id % FILTER_SIZE];
}

/* Crashes before this time do not count against the cause any more. */
static void forget_before(crash_evidence_t *e, crash_cause_t cause,
			  int64_t before_us)
{
	if (is_surely_unsuspected(e, cause))
		return;
	for (size_t i = 0; i < CRASHES_MAX; i++) {
		crash_t *c = &e->crashes[i];
		uint32_t at = index_of(c, cause);

		if (at < c->n && c->at_us < before_us)
			remove_suspect(e, c, at);
	}
}

void crash_evidence_forget(crash_evidence_t *e, crash_cause_t cause)
{
	forget_before(e, cause, INT64_MAX);
}

void crash_evidence_clear(crash_evidence_t *e, crash_cause_t cause,
			  int64_t at_us)
{
	int64_t until_us = at_us + CLEARED_FOR_US;
	cleared_cause_t *a = &e->cleared[cause.kind][cause.id % CLEARED_SIZE];

	if (a->until_us < until_us)
		*a = (cleared_cause_t){cause.id, until_us};
	forget_before(e, cause, until_us);
}

/* Whether the prompt is in a crash before this one that counts against the part. */
static bool counts_already(const crash_evidence_t *e, const crash_t *before,
			   const suspect_t *p)
{
	for (const crash_t *c = e->crashes; c < before; c++)
		if (counts_against(c, p->cause) &&
		    c->suspects[index_of(c, p->cause)].own_part == p->own_part)
			return true;
	return false;
}

/* Whether a crash before this one in the table ended together with it. */
static bool ended_together(const crash_evidence_t *e, const crash_t *crash,
			   crash_cause_t cause)
{
	for (const crash_t *c = e->crashes; c < crash; c++)
		if (counts_against(c, cause) &&
		    llabs(c->at_us - crash->at_us) <= ENDED_TOGETHER_US)
			return true;
	return false;
}

uint32_t crash_evidence_count(const crash_evidence_t *e, crash_cause_t cause)
{
	uint32_t n = 0;

	if (is_surely_unsuspected(e, cause))
		return 0;
	for (size_t i = 0; i < CRASHES_MAX; i++) {
		const crash_t *c = &e->crashes[i];

		if (!counts_against(c, cause))
			continue;
		if (cause.kind == CAUSE_PART)
			n += !counts_already(e, c,
					     &c->suspects[index_of(c, cause)]);
		else
			n += !ended_together(e, c, cause);
	}
	return n;
}

/*
 * Whether the other suspect of the same crash may explain it as well. A part is not
 * explained by a request, which stands in few crashes, nor a request by its own parts.
 */
static bool is_rival(const suspect_t *s, const suspect_t *other)
{
	if (crash_cause_equal(s->cause, other->cause))
		return false;
	if (s->cause.kind == CAUSE_PART)
		return other->cause.kind == CAUSE_PART;
	return other->cause.kind == CAUSE_REQUEST ||
	       other->own_part != s->own_part;
}

/* Stores the rivals of the suspect in this crash; returns their number. */
static uint32_t list_rivals(const crash_t *c, const suspect_t *s,
			    crash_cause_t *out)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < c->n; i++)
		if (is_rival(s, &c->suspects[i]))
			out[n++] = c->suspects[i].cause;
	return n;
}

/* Keeps those that the crash counts against, too; returns their number. */
static uint32_t keep_those_in(const crash_t *c, crash_cause_t *causes,
			      uint32_t n)
{
	uint32_t kept = 0;

	for (uint32_t i = 0; i < n; i++)
		if (counts_against(c, causes[i]))
			causes[kept++] = causes[i];
	return kept;
}

/*
 * Whether a rival, which is not common, is in all crashes that count against the
 * cause.
 */
static bool has_companion(const crash_evidence_t *e, crash_cause_t cause)
{
	crash_cause_t rivals[SUSPECTS_PER_CRASH_MAX];
	uint32_t n = 0;
	bool first = true;

	for (size_t i = 0; i < CRASHES_MAX; i++) {
		const crash_t *c = &e->crashes[i];

		if (!counts_against(c, cause))
			continue;
		n = first ? list_rivals(c, &c->suspects[index_of(c, cause)],
					rivals)
			  : keep_those_in(c, rivals, n);
		first = false;
	}
	for (uint32_t k = 0; k < n; k++)
		if (!is_common(e, rivals[k]))
			return true;
	return false;
}

static uint32_t crashes_needed(const crash_evidence_t *e, crash_cause_t cause)
{
	if (cause.kind == CAUSE_REQUEST)
		return REQUEST_CRASHES_NEEDED;
	return is_common(e, cause) ? PROMPTS_NEEDED_COMMON : PROMPTS_NEEDED;
}

static uint32_t crashes_needed_tied(crash_cause_t cause)
{
	return cause.kind == CAUSE_REQUEST ? REQUEST_CRASHES_NEEDED_TIED
					   : PROMPTS_NEEDED_TIED;
}

/* Whether so many crashes are enough to name the cause. */
static bool are_enough(const crash_evidence_t *e, crash_cause_t cause,
		       uint32_t crashes)
{
	if (crashes < crashes_needed(e, cause))
		return false;
	return crashes >= crashes_needed_tied(cause) ||
	       !has_companion(e, cause);
}

/*
 * The cause that most crashes count against, if they are enough and one of them was
 * since since_us; sets their number, 0 if there is none.
 */
static crash_cause_t most_suspect(const crash_evidence_t *e, int64_t since_us,
				  uint32_t *crashes)
{
	crash_cause_t best = {CAUSE_PART, 0};

	*crashes = 0;
	for (size_t i = 0; i < CRASHES_MAX; i++) {
		const crash_t *c = &e->crashes[i];

		if (c->explained || c->at_us < since_us)
			continue;
		for (uint32_t k = 0; k < c->n; k++) {
			crash_cause_t cause = c->suspects[k].cause;
			uint32_t n;

			if (e->filter[cause.id % FILTER_SIZE] <
			    REQUEST_CRASHES_NEEDED)
				continue;
			n = crash_evidence_count(e, cause);
			if (n <= *crashes || !are_enough(e, cause, n))
				continue;
			*crashes = n;
			best = cause;
		}
	}
	return best;
}

static void forget_old(crash_evidence_t *e, int64_t now_us)
{
	for (size_t i = 0; i < CRASHES_MAX; i++)
		if (e->crashes[i].runner &&
		    now_us - e->crashes[i].at_us > CRASH_VALID_US)
			drop_crash(e, &e->crashes[i]);
}

int64_t crash_evidence_last_us(const crash_evidence_t *e, crash_cause_t cause)
{
	int64_t last = INT64_MIN;

	for (size_t i = 0; i < CRASHES_MAX; i++)
		if (counts_against(&e->crashes[i], cause))
			last = MAX(last, e->crashes[i].at_us);
	return last;
}

static int64_t first_crash_us(const crash_evidence_t *e, crash_cause_t cause)
{
	int64_t first = INT64_MAX;

	for (size_t i = 0; i < CRASHES_MAX; i++)
		if (counts_against(&e->crashes[i], cause))
			first = MIN(first, e->crashes[i].at_us);
	return first;
}

/*
 * The request has crashed the runner. Of the other suspects only the parts of its own
 * prompt remain: one of them may be what crashes runners in other prompts, too.
 */
static void keep_own_parts(crash_evidence_t *e, crash_t *c, crash_cause_t cause)
{
	uint64_t own_part = c->suspects[index_of(c, cause)].own_part;

	for (uint32_t i = c->n; i > 0; i--) {
		const suspect_t *s = &c->suspects[i - 1];

		if (s->cause.kind != CAUSE_PART || !own_part ||
		    s->own_part != own_part)
			remove_suspect(e, c, i - 1);
	}
}

static void explain_by(crash_evidence_t *e, crash_cause_t cause)
{
	for (size_t i = 0; i < CRASHES_MAX; i++) {
		crash_t *c = &e->crashes[i];

		if (!counts_against(c, cause))
			continue;
		if (cause.kind == CAUSE_REQUEST)
			keep_own_parts(e, c, cause);
		else
			c->explained = true;
	}
}

bool crash_evidence_find(crash_evidence_t *e, int64_t since_us, int64_t now_us,
			 culprit_t *out)
{
	int64_t ripe_us;

	out->again_us = INT64_MAX;
	forget_old(e, now_us);
	if (e->n_crashes < REQUEST_CRASHES_NEEDED)
		return false;
	out->cause = most_suspect(e, since_us, &out->crashes);
	if (!out->crashes)
		return false;
	ripe_us = first_crash_us(e, out->cause) + CLEAR_WAIT_US;
	if (now_us < ripe_us) {
		out->again_us = ripe_us;
		return false;
	}
	explain_by(e, out->cause);
	return true;
}
