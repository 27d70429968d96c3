/*
 * plan.c - the faults of a run: drawn from the seed alone, in series that
 * overlap.
 */
#include <stdio.h>
#include <stdlib.h>

#include "soak.h"

/* Time between the starts of two faults; they overlap. */
#define GAP_MIN_MS 20
#define GAP_MAX_MS 500
/* Faults end so long before the callers stop. */
#define CALM_END_US (3 * USEC_PER_SEC)
/* A lone voter is killed so long before the other voters wake. */
#define LONE_VOTER_KILL_US (50 * USEC_PER_MSEC)
/* The hosts of a failure domain start so long after they have ended. */
#define ZONE_DOWN_US (700 * USEC_PER_MSEC)
/* Longest that one fault lasts. */
#define FAULT_MAX_MS 5000
/* In a plan of losses of power: between two of them, and until hosts come back. */
#define POWER_PERIOD_US (5 * USEC_PER_SEC)
#define POWER_BACK_MAX_MS 1000
/* Between two hosts that are replaced: catchup_s of the settings, and a little more. */
#define REPLACE_GAP_MIN_MS 4100
#define REPLACE_GAP_MAX_MS 4600
/* Share of the seeds whose faults leave the voters alone. */
#define SPARE_VOTERS_SHARE 0.4

/* X(NAME, "name", weight) */
#define PLAN_FAULTS(X)                     \
	X(KILL, "kill", 8)                 \
	X(TERM, "term", 8)                 \
	X(TERM_TWICE, "term_twice", 3)     \
	X(TERM_ZONE, "term_zone", 2)       \
	X(FREEZE, "freeze", 8)             \
	X(RELOAD, "reload", 4)             \
	X(KILL_ALL, "kill_all", 1)         \
	X(WIPE, "wipe", 3)                 \
	X(LONE_VOTER, "lone_voter", 2)     \
	X(REPLACE, "replace", 0)           \
	X(RUNNER, "runner", 40)            \
	X(RUNNER_CRASH, "runner_crash", 6) \
	X(RUNNER_LEAVE, "runner_leave", 6)

typedef enum plan_kind {
#define X(name, text, weight) PLAN_##name,
	PLAN_FAULTS(X)
#undef X
	PLAN_KIND_COUNT,
} plan_kind_t;

static const struct {
	const char *name;
	int weight;
} kinds[] = {
#define X(name, text, weight) {text, weight},
	PLAN_FAULTS(X)
#undef X
};

typedef struct fault {
	int64_t at_us; /* from the start of the plan */
	plan_kind_t kind;
	unsigned int host;
	unsigned int runner;
	runner_fault_t runner_fault;
	double share;
	int64_t for_us;
	bool signal;
	bool staggered; /* hosts come back one after the other, until for_us */
} fault_t;

struct plan {
	soak_t *s;
	GArray *faults; /* fault_t, in order of at_us */
	size_t next;
	int64_t began_us;
	uint32_t n_injected[PLAN_KIND_COUNT];
	timer_sub_t timer;
};

static plan_kind_t draw_kind(GRand *rng)
{
	int total = 0;
	int x;

	for (int i = 0; i < PLAN_KIND_COUNT; i++)
		total += kinds[i].weight;
	x = g_rand_int_range(rng, 0, total);
	for (int i = 0; i < PLAN_KIND_COUNT; i++) {
		x -= kinds[i].weight;
		if (x < 0)
			return (plan_kind_t)i;
	}
	return PLAN_RUNNER;
}

static fault_t draw_fault(const soak_t *s, GRand *rng, int64_t at_us)
{
	fault_t f = {.at_us = at_us, .kind = draw_kind(rng)};

	f.host = (unsigned int)g_rand_int_range(rng, 0, (gint)s->cfg.n_hosts);
	f.runner = (unsigned int)g_rand_int_range(
		rng, 0, (gint)platform_n_runners(s->platform));
	f.runner_fault = (runner_fault_t)g_rand_int_range(rng, 1, FAULT_COUNT);
	f.share = g_rand_double_range(rng, 0.05, 0.6);
	f.for_us = g_rand_int_range(rng, 100, FAULT_MAX_MS) * USEC_PER_MSEC;
	f.signal = chance(rng, 0.5);
	if (f.kind == PLAN_WIPE || f.kind == PLAN_LONE_VOTER)
		f.host %= s->cfg.n_voters;
	return f;
}

/* Turns the fault into one that meets no voter. */
static void spare_voters(const soak_t *s, fault_t *f)
{
	unsigned int n_others = s->cfg.n_hosts - s->cfg.n_voters;

	f->host = s->cfg.n_voters + f->host % n_others;
	if (f->kind == PLAN_TERM_ZONE || f->kind == PLAN_KILL_ALL ||
	    f->kind == PLAN_WIPE || f->kind == PLAN_LONE_VOTER)
		f->kind = PLAN_KILL;
}

/* All daemons are killed; each comes back by itself within POWER_BACK_MAX_MS. */
static void add_power_losses(plan_t *p)
{
	int64_t at_us = POWER_PERIOD_US;

	while (at_us < p->s->cfg.duration_us - CALM_END_US) {
		const fault_t f = {.at_us = at_us,
				   .kind = PLAN_KILL_ALL,
				   .for_us = POWER_BACK_MAX_MS * USEC_PER_MSEC,
				   .staggered = true};

		g_array_append_val(p->faults, f);
		at_us += POWER_PERIOD_US;
	}
}

/* Hosts with a disk in turn; each is told to stop, or killed. */
static void add_replacements(plan_t *p)
{
	GRand *rng = soak_rand(p->s, "replace");
	int64_t at_us = 0;

	for (unsigned int i = 0;; i++) {
		fault_t f = {.kind = PLAN_REPLACE,
			     .host = i % p->s->cfg.n_voters,
			     .signal = chance(rng, 0.5)};

		at_us += g_rand_int_range(rng, REPLACE_GAP_MIN_MS,
					  REPLACE_GAP_MAX_MS) *
			 USEC_PER_MSEC;
		if (at_us >= p->s->cfg.duration_us - CALM_END_US)
			break;
		f.at_us = at_us;
		g_array_append_val(p->faults, f);
	}
	g_rand_free(rng);
}

static gint compare_faults(gconstpointer a, gconstpointer b)
{
	int64_t x = ((const fault_t *)a)->at_us;
	int64_t y = ((const fault_t *)b)->at_us;

	return (x > y) - (x < y);
}

/*
 * The lone voter is killed shortly before the others wake: what it alone had
 * decided would be lost.
 */
static void add_kill_of_lone_voter(plan_t *p, const fault_t *lone)
{
	fault_t f = *lone;

	f.kind = PLAN_KILL;
	f.at_us += lone->for_us - LONE_VOTER_KILL_US;
	g_array_append_val(p->faults, f);
}

plan_t *plan_new(soak_t *s)
{
	plan_t *p = xcalloc(1, sizeof(*p));
	GRand *rng = soak_rand(s, "plan");
	int64_t at_us = 0;
	bool spares = s->cfg.n_hosts > s->cfg.n_voters &&
		      (chance(rng, SPARE_VOTERS_SHARE) || s->cfg.replacements);

	p->s = s;
	p->faults = g_array_new(FALSE, FALSE, sizeof(fault_t));
	if (s->cfg.power_losses)
		add_power_losses(p);
	if (s->cfg.replacements)
		add_replacements(p);
	while (!s->cfg.power_losses &&
	       at_us < s->cfg.duration_us - CALM_END_US) {
		fault_t f = draw_fault(s, rng, at_us);

		if (spares)
			spare_voters(s, &f);
		g_array_append_val(p->faults, f);
		if (f.kind == PLAN_LONE_VOTER)
			add_kill_of_lone_voter(p, &f);
		at_us += g_rand_int_range(rng, GAP_MIN_MS, GAP_MAX_MS) *
			 USEC_PER_MSEC;
	}
	g_rand_free(rng);
	g_array_sort(p->faults, compare_faults);
	return p;
}

void plan_free(plan_t *p)
{
	if (!p)
		return;
	timer_svc_cancel(p->s->timers, &p->timer);
	g_array_free(p->faults, TRUE);
	free(p);
}

static void print_fault(const fault_t *f, FILE *out)
{
	fprintf(out, "%9.3f s %s", (double)f->at_us / USEC_PER_SEC,
		kinds[f->kind].name);
	if (f->kind >= PLAN_RUNNER)
		fprintf(out, " runner %u", f->runner);
	else if (f->kind != PLAN_KILL_ALL)
		fprintf(out, " host-%u", f->host);
	if (f->kind == PLAN_RUNNER)
		fprintf(out, " %s %.2f", runner_fault_name(f->runner_fault),
			f->share);
	fprintf(out, " %lld ms\n", (long long)f->for_us / USEC_PER_MSEC);
}

void plan_print(const plan_t *p, FILE *out)
{
	for (guint i = 0; i < p->faults->len; i++)
		print_fault(&g_array_index(p->faults, fault_t, i), out);
}

void plan_print_injected(const plan_t *p, FILE *out)
{
	fprintf(out, "faults:");
	for (unsigned int i = 0; i < PLAN_KIND_COUNT; i++)
		fprintf(out, " %s %u", kinds[i].name, p->n_injected[i]);
	fprintf(out, "\n");
}

static void kill_all(plan_t *p, const fault_t *f)
{
	unsigned int n = p->s->cfg.n_hosts;

	for (unsigned int i = 0; i < n; i++)
		host_kill(p->s->hosts, i,
			  f->staggered ? f->for_us * (i + 1) / n : f->for_us);
}

/* Ends all hosts of the failure domain of this one. */
static void terminate_zone(plan_t *p, const fault_t *f)
{
	for (unsigned int i = f->host % ZONES; i < p->s->cfg.n_hosts;
	     i += ZONES)
		host_terminate(p->s->hosts, i, 1, ZONE_DOWN_US);
}

static void freeze_other_voters(plan_t *p, const fault_t *f)
{
	for (unsigned int i = 0; i < p->s->cfg.n_voters; i++)
		if (i != f->host)
			host_freeze(p->s->hosts, i, f->for_us);
}

static void inject(plan_t *p, const fault_t *f)
{
	soak_t *s = p->s;

	switch (f->kind) {
	case PLAN_KILL:
		host_kill(s->hosts, f->host, f->for_us);
		break;
	case PLAN_TERM:
	case PLAN_TERM_TWICE:
		host_terminate(s->hosts, f->host, f->kind == PLAN_TERM ? 1 : 2,
			       f->for_us);
		break;
	case PLAN_TERM_ZONE:
		terminate_zone(p, f);
		break;
	case PLAN_KILL_ALL:
		kill_all(p, f);
		break;
	case PLAN_FREEZE:
		host_freeze(s->hosts, f->host, f->for_us);
		break;
	case PLAN_RELOAD:
		host_reload(s->hosts, f->host, f->signal);
		break;
	case PLAN_WIPE:
		host_wipe(s->hosts, f->host, f->for_us);
		break;
	case PLAN_REPLACE:
		host_replace(s->hosts, f->host, f->signal);
		break;
	case PLAN_LONE_VOTER:
		freeze_other_voters(p, f);
		break;
	case PLAN_RUNNER:
		platform_set_fault(s->platform, f->runner, f->runner_fault,
				   f->share, f->for_us);
		break;
	case PLAN_RUNNER_CRASH:
		platform_crash(s->platform, f->runner, f->for_us);
		break;
	case PLAN_RUNNER_LEAVE:
		platform_leave(s->platform, f->runner);
		break;
	default:
		break;
	}
}

static void on_timer(void *ctx, int64_t now)
{
	plan_t *p = ctx;

	while (p->next < p->faults->len) {
		const fault_t *f = &g_array_index(p->faults, fault_t, p->next);

		if (now < p->began_us + f->at_us) {
			timer_svc_arm(p->s->timers, &p->timer,
				      p->began_us + f->at_us);
			return;
		}
		p->next++;
		p->n_injected[f->kind]++;
		inject(p, f);
	}
}

void plan_start(plan_t *p)
{
	p->began_us = soak_now(p->s);
	timer_sub_init(&p->timer, on_timer, p);
	timer_svc_arm(p->s->timers, &p->timer, p->began_us);
}
