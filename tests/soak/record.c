/* record.c - what was sent, run and answered, and the rules it must follow. */
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "soak.h"

/* Details are printed of so many breaks of each rule. */
#define DETAILS_MAX 5u
/* Arrivals within a pause that a runner asked for that are not judged. */
#define PAUSE_ARRIVALS_MAX 2u
/* A pause is judged from so long after the runner asked for it. */
#define PAUSE_GRACE_US (500 * USEC_PER_MSEC)
/* Fewer streams taken up again are not judged. */
#define TAKEN_UP_MIN 12u

static const struct {
	const char *name;
	const char *meaning;
} rules[] = {
#define X(name, text, meaning) {text, meaning},
	SOAK_RULES(X) SOAK_LATE(X)
#undef X
};

enum {
	/* The first rule that depends on time. */
	FIRST_LATE = RULE_CRASHES_GO_ON,
};

const req_class_t req_classes[CLASS_COUNT] = {
	{"talk", "streaming", "llm", true, false, 1, 4000, 0.4},
	{"tell", "streaming", "llm", true, true, 2, 4000, 0.15},
	{"post", "non_idempotent", "app", false, false, 2, 1500, 0.3},
	{"look", "idempotent", "app", false, true, 2, 1500, 0.15},
};

/* What a host was told by a runner. */
typedef struct told {
	int64_t leaving_us; /* passed on its word that it leaves; 0: not yet */
	int64_t pause_from_us;
	int64_t pause_until_us;
	uint32_t n_in_pause; /* arrivals */
	uint32_t n_sent_in_pause;
} told_t;

struct record {
	soak_t *s;
	GHashTable *attempts; /* id -> attempt_t */
	GHashTable *told;     /* "host runner" -> told_t */
	uint64_t n_ids;
	uint64_t last_serial;
	uint32_t broken[RULE_COUNT];
	uint32_t n_served;
	uint32_t n_runs;
	uint32_t n_answers[6]; /* by hundreds of the status */
	uint32_t n_promises;
	uint32_t n_cut;
	uint32_t served_since;
	/* Judged streams that were taken up, or new; and that brought events. */
	uint32_t n_taken_up, n_went_on, n_new, n_began;
	/* Of all hosts and versions. */
	uint32_t n_all_taken_up, n_all_went_on;
};

static void attempt_free(void *p)
{
	attempt_t *a = p;

	g_array_free(a->runs, TRUE);
	free(a);
}

record_t *record_new(soak_t *s)
{
	record_t *r = xcalloc(1, sizeof(*r));

	r->s = s;
	r->attempts = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					    attempt_free);
	r->told =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return r;
}

void record_free(record_t *r)
{
	g_hash_table_destroy(r->attempts);
	g_hash_table_destroy(r->told);
	free(r);
}

void record_broken(record_t *r, rule_t rule, const char *fmt, ...)
{
	va_list ap;

	if (++r->broken[rule] > DETAILS_MAX)
		return;
	printf("%9.3f s BROKEN %s: ",
	       (double)(soak_now(r->s) - r->s->began_us) / USEC_PER_SEC,
	       rules[rule].name);
	va_start(ap, fmt);
	vprintf(fmt, ap);
	va_end(ap);
	printf("\n");
	fflush(stdout);
}

/*
 * A stream that is taken up counts while two runners of its software version
 * serve, a new one beside it; both only at hosts in touch.
 */
static bool is_judged_stream(const record_t *r, const attempt_t *a)
{
	if (!a->cls->is_stream || !a->cls->repeatable || !a->host_was_in_touch)
		return false;
	return a->origin == a ||
	       platform_n_serving(r->s->platform, a->first_build) >= 2;
}

static void count_stream(record_t *r, const attempt_t *a, bool has_events)
{
	bool is_new = a->origin == a;

	if (!a->cls->is_stream || a->traits.crash_cause)
		return;
	if (is_new)
		crashes_note_sound(r->s->crashes, a, has_events);
	if (!a->cls->repeatable)
		return;
	if (!is_new) {
		r->n_all_taken_up++;
		r->n_all_went_on += has_events;
	}
	if (!a->is_judged)
		return;
	if (is_new) {
		r->n_new++;
		r->n_began += has_events;
	} else {
		r->n_taken_up++;
		r->n_went_on += has_events;
	}
}

void record_end(record_t *r)
{
	/* n_went_on / n_taken_up is under half of n_began / n_new. */
	if (r->n_taken_up >= TAKEN_UP_MIN &&
	    (uint64_t)r->n_went_on * r->n_new * 2 <
		    (uint64_t)r->n_began * r->n_taken_up)
		record_broken(r, RULE_STREAMS_DROPPED,
			      "%u of %u went on, %u of %u began", r->n_went_on,
			      r->n_taken_up, r->n_began, r->n_new);
}

static uint32_t draw_n_events(const req_class_t *cls, uint64_t n)
{
	/* Long ones meet more faults, and can be taken up again. */
	return cls->repeatable ? 20 + (uint32_t)(n % 40)
			       : 4 + (uint32_t)(n % 12);
}

attempt_t *record_sent(record_t *r, const req_class_t *cls, uint32_t request,
		       unsigned int host, attempt_t *origin,
		       uint32_t resume_after)
{
	attempt_t *a = xcalloc(1, sizeof(*a));
	uint64_t n = ++r->n_ids;

	snprintf(a->id, sizeof(a->id), "%016llx",
		 (unsigned long long)hash_bytes(&n, sizeof(n), r->s->cfg.seed));
	a->cls = cls;
	a->request = request;
	a->host = host;
	a->origin = origin ? origin : a;
	a->resume_after = resume_after;
	a->n_events = origin ? origin->n_events : draw_n_events(cls, n);
	a->first_build = origin ? origin->first_build : 0;
	a->sent_us = soak_now(r->s);
	a->runs = g_array_new(FALSE, FALSE, sizeof(run_t));
	a->host_was_in_touch = host_in_touch(r->s->hosts, host);
	a->is_judged = is_judged_stream(r, a);
	g_hash_table_insert(r->attempts, a->id, a);
	return a;
}

attempt_t *record_find(record_t *r, str_t id)
{
	char text[20];

	if (id.n >= sizeof(text))
		return NULL;
	memcpy(text, id.p, id.n);
	text[id.n] = '\0';
	return g_hash_table_lookup(r->attempts, text);
}

static void check_refused(record_t *r, const attempt_t *a)
{
	if (a->promised && a->runs->len)
		record_broken(r, RULE_REFUSED_RAN,
			      "%s %s by host-%u, status %d, ran at %s",
			      a->cls->name, a->id, a->host, a->status,
			      g_array_index(a->runs, run_t, 0).runner);
}

uint64_t record_run(record_t *r, attempt_t *a, const char *runner,
		    unsigned int build)
{
	run_t run = {.serial = ++r->last_serial, .build = build};

	r->n_runs++;
	snprintf(run.runner, sizeof(run.runner), "%s", runner);
	g_array_append_val(a->runs, run);
	if (!a->cls->repeatable && a->runs->len > 1)
		record_broken(r, RULE_RAN_TWICE, "%s %s by host-%u, at %s, %s",
			      a->cls->name, a->id, a->host,
			      g_array_index(a->runs, run_t, 0).runner, runner);
	if (a->runs->len > a->cls->attempts)
		record_broken(r, RULE_TOO_MANY_RUNS, "%s %s by host-%u: %u",
			      a->cls->name, a->id, a->host, a->runs->len);
	check_refused(r, a);
	return run.serial;
}

static run_t *find_run(const attempt_t *a, uint64_t serial)
{
	for (guint i = 0; i < a->runs->len; i++) {
		run_t *run = &g_array_index(a->runs, run_t, i);

		if (run->serial == serial)
			return run;
	}
	return NULL;
}

void record_run_status(attempt_t *a, uint64_t serial, int status)
{
	run_t *run = find_run(a, serial);

	if (run)
		run->status = status;
}

/* Texts. */

void write_request_name(buf_t *out, const attempt_t *a)
{
	if (a->traits.alike)
		buf_printf(out, "alike%u", a->traits.alike);
	else
		buf_puts(out, a->id);
}

void write_request_body(buf_t *out, const attempt_t *a)
{
	if (a->traits.alike)
		buf_printf(out, "request alike to %u", a->traits.alike);
	else
		buf_printf(out, "request %s of %u", a->id, a->request);
}

void write_answer(buf_t *out, const attempt_t *a, uint64_t serial)
{
	buf_printf(out, "answer %s %llu\n", a->id, (unsigned long long)serial);
	for (int i = 0; i < 20; i++)
		buf_puts(out, "................................\n");
}

void write_event(buf_t *out, const attempt_t *a, uint64_t serial, uint32_t n)
{
	buf_printf(out, "id: %u\ndata: %s %llu\n\n", n, a->id,
		   (unsigned long long)serial);
}

uint32_t count_events(str_t body)
{
	uint32_t n = 0;

	for (size_t i = 1; i < body.n; i++)
		n += body.p[i] == '\n' && body.p[i - 1] == '\n';
	return n;
}

/* Answers. */

static void check_plain(record_t *r, const attempt_t *a, const answer_t *ans,
			uint64_t serial)
{
	AUTO_BUF buf_t expected = {0};

	write_answer(&expected, a, serial);
	if (!find_run(a, serial) || !str_eq(ans->body, buf_str(&expected)))
		record_broken(r, RULE_WRONG_ANSWER,
			      "%s %s by host-%u, %zu bytes: %.*s", a->cls->name,
			      a->id, a->host, ans->body.n,
			      ans->body.n < 80 ? (int)ans->body.n : 80,
			      ans->body.p);
}

/* Whether the run's software version is that of the stream's first event. */
static bool fits_build(attempt_t *a, const run_t *run)
{
	attempt_t *origin = a->origin;

	if (!origin->first_build)
		origin->first_build = run->build;
	return origin->first_build == run->build;
}

/*
 * Each event has to be the next one, and of a run of this attempt; only a stream
 * that may be resumed changes to another run.
 */
static void check_stream(record_t *r, attempt_t *a, const answer_t *ans)
{
	str_t rest = ans->body;
	uint64_t first = 0;
	uint32_t n = a->resume_after;
	bool mixed = false;

	while (rest.n) {
		AUTO_BUF buf_t expected = {0};
		unsigned long long serial = 0;
		char id[20] = "";
		unsigned int number = 0;
		const run_t *run;

		if (sscanf(rest.p, "id: %u data: %19s %llu", &number, id,
			   &serial) != 3)
			break;
		write_event(&expected, a, serial, n + 1);
		run = find_run(a, serial);
		if (rest.n < expected.n ||
		    memcmp(rest.p, expected.p, expected.n) || !run ||
		    (first && serial != first && !a->cls->repeatable))
			break;
		mixed |= !fits_build(a, run);
		if (!first)
			first = serial;
		n++;
		rest = str_n(rest.p + expected.n, rest.n - expected.n);
	}
	if (rest.n && ans->complete)
		record_broken(r, RULE_STREAM_ORDER,
			      "%s %s by host-%u, after event %u: %.40s",
			      a->cls->name, a->id, a->host, n, rest.p);
	if (ans->complete && !rest.n && n != a->n_events)
		record_broken(r, RULE_STREAM_ORDER,
			      "%s %s by host-%u: %u of %u events, complete",
			      a->cls->name, a->id, a->host, n, a->n_events);
	if (mixed)
		record_broken(r, RULE_STREAM_BUILDS,
			      "%s %s by host-%u, stream %s of v%u",
			      a->cls->name, a->id, a->host, a->origin->id,
			      a->origin->first_build);
}

static void check_failure(record_t *r, const attempt_t *a, const answer_t *ans,
			  uint64_t serial)
{
	const run_t *run = find_run(a, serial);

	if (ans->signature.n && (!run || run->status != ans->status))
		record_broken(r, RULE_WRONG_ANSWER,
			      "%s %s by host-%u: status %d with the proof of "
			      "another",
			      a->cls->name, a->id, a->host, ans->status);
}

static told_t *told_by(record_t *r, unsigned int host, const char *runner)
{
	g_autofree char *key = g_strdup_printf("%u %s", host, runner);
	told_t *t = g_hash_table_lookup(r->told, key);

	if (t)
		return t;
	t = g_new0(told_t, 1);
	g_hash_table_insert(r->told, g_steal_pointer(&key), t);
	return t;
}

static void note_leaving(record_t *r, const attempt_t *a, uint64_t serial)
{
	const run_t *run = find_run(a, serial);
	told_t *t;

	if (!run)
		return;
	t = told_by(r, a->host, run->runner);
	if (!t->leaving_us)
		t->leaving_us = soak_now(r->s);
}

/* Whether the daemon refused it as a request that crashes runners. */
static bool blames_request(const answer_t *ans)
{
	return ans->status == 503 && ans->body.n &&
	       memmem(ans->body.p, ans->body.n, "quarantined", 11);
}

void record_answer(record_t *r, attempt_t *a, const answer_t *ans)
{
	uint64_t serial = 0;

	str_to_u64(ans->signature, &serial);
	a->answered = true;
	a->status = ans->status;
	a->promised = ans->complete && answer_promises_not_run(ans->status);
	if (ans->status > 0 && ans->status < 600)
		r->n_answers[ans->status / 100]++;
	r->n_promises += a->promised;
	r->n_cut += !ans->complete;
	check_refused(r, a);
	count_stream(r, a, ans->status == 200 && count_events(ans->body) > 0);
	cuts_note_end(r->s->cuts, a, ans->complete && ans->status == 200);
	if (ans->leaving)
		note_leaving(r, a, serial);
	if (blames_request(ans))
		crashes_note_refused(r->s->crashes, a);
	if (ans->status >= 300) {
		check_failure(r, a, ans, serial);
		return;
	}
	if (!ans->status)
		return;
	if (a->cls->is_stream)
		check_stream(r, a, ans);
	else if (ans->complete)
		check_plain(r, a, ans, serial);
	if (ans->complete) {
		r->n_served++;
		r->served_since++;
	}
}

static void break_in_pause(record_t *r, rule_t rule, const attempt_t *a,
			   const char *runner, const told_t *t)
{
	record_broken(r, rule, "%s %s by host-%u to %s, %lld ms left",
		      a->cls->name, a->id, a->host, runner,
		      (long long)(t->pause_until_us - soak_now(r->s)) /
			      USEC_PER_MSEC);
}

void record_arrival(record_t *r, const attempt_t *a, const char *runner)
{
	told_t *t = told_by(r, a->host, runner);
	int64_t now = soak_now(r->s);

	if (a->traits.crash_cause)
		crashes_note_arrival(r->s->crashes, a, runner);
	if (t->leaving_us && a->sent_us > t->leaving_us + DRAIN_US)
		record_broken(r, RULE_SENT_TO_LEAVING,
			      "%s %s by host-%u to %s, %lld ms after",
			      a->cls->name, a->id, a->host, runner,
			      (long long)(a->sent_us - t->leaving_us) /
				      USEC_PER_MSEC);
	if (now < t->pause_from_us || now >= t->pause_until_us)
		return;
	if (++t->n_in_pause == PAUSE_ARRIVALS_MAX + 1)
		break_in_pause(r, RULE_ARRIVED_IN_PAUSE, a, runner, t);
	if (a->sent_us >= t->pause_from_us &&
	    ++t->n_sent_in_pause == PAUSE_ARRIVALS_MAX + 1)
		break_in_pause(r, RULE_SENT_IN_PAUSE, a, runner, t);
}

void record_pause(record_t *r, unsigned int host, const char *runner,
		  int64_t for_us)
{
	told_t *t = told_by(r, host, runner);
	int64_t now = soak_now(r->s);

	t->pause_from_us = now + PAUSE_GRACE_US;
	t->pause_until_us = now + for_us;
	t->n_in_pause = 0;
	t->n_sent_in_pause = 0;
}

void record_host_disturbed(record_t *r, unsigned int host)
{
	g_autofree char *prefix = g_strdup_printf("%u ", host);
	GHashTableIter it;
	gpointer key;

	limits_host_disturbed(r->s->limits, host);
	g_hash_table_iter_init(&it, r->told);
	while (g_hash_table_iter_next(&it, &key, NULL))
		if (g_str_has_prefix(key, prefix))
			g_hash_table_iter_remove(&it);
}

uint32_t record_take_served(record_t *r)
{
	uint32_t n = r->served_since;

	r->served_since = 0;
	return n;
}

void record_print(const record_t *r, FILE *out)
{
	fprintf(out,
		"attempts %llu, runs %u, served %u, 3xx/4xx/5xx %u/%u/%u, "
		"promises %u, cut %u, taken up %u of %u, in touch %u of %u, "
		"new %u of %u\n",
		(unsigned long long)r->n_ids, r->n_runs, r->n_served,
		r->n_answers[3], r->n_answers[4], r->n_answers[5],
		r->n_promises, r->n_cut, r->n_all_went_on, r->n_all_taken_up,
		r->n_went_on, r->n_taken_up, r->n_began, r->n_new);
	for (unsigned int i = 0; i < RULE_COUNT; i++)
		if (r->broken[i])
			fprintf(out, "%s %s: %u (%s)\n",
				i < FIRST_LATE ? "broken" : "late",
				rules[i].name, r->broken[i], rules[i].meaning);
}

uint32_t record_n_broken(const record_t *r, bool with_late)
{
	uint32_t n = 0;

	for (unsigned int i = 0; i < (with_late ? RULE_COUNT : FIRST_LATE); i++)
		n += r->broken[i];
	return n;
}
