/*
 * quarantine.c - what crashes runners: parts of prompts, whatever else a prompt holds,
 * and requests that come again alike. The dispatcher finds them by crash_evidence.h and
 * refuses requests with them at once; they are decided, so that no later dispatcher has
 * to find them again. Until a suspected request is answered or found guilty, it runs at
 * one runner at a time.
 */
#include "dispatch_int.h"

#include <stdlib.h>

#include "counter.h"
#include "crash_evidence.h"
#include "log.h"

/* What entries tell together of a crash comes within this time. */
#define EVIDENCE_DELAY_US (100 * USEC_PER_MSEC)
/*
 * A new dispatcher learns in this time which parts are answered, before it judges by
 * what entries have told it of earlier crashes.
 */
#define EVIDENCE_SETTLE_US (1 * USEC_PER_SEC)
/* A proposal without effect is made again after this time. */
#define PROPOSE_AGAIN_US (300 * USEC_PER_MSEC)
/* A cause that no request has had for so long is released. */
#define RELEASE_UNUSED_US (3600 * USEC_PER_SEC)
#define RELEASE_CHECK_US (60 * USEC_PER_SEC)
/*
 * A trial lets one request with the cause pass: if it is answered, the cause is
 * released. Time to the first trial, and how many times longer it is to the next one.
 * Runners with other software are a reason to try at once. A trial may cost a runner,
 * so there are few.
 */
#define TRIAL_FIRST_US (10 * USEC_PER_SEC)
#define TRIAL_FACTOR 60
#define TRIALS_MAX 2u
/*
 * Crashes by a cause from which on a request is not repeated that ended a runner, and
 * is kept away from the last runner of its service and from other suspects.
 */
#define SUSPECT_CRASHES 2u
/* A suspect that has not been answered so long after its grant is not waited for. */
#define SUSPECT_RUNS_US (1 * USEC_PER_SEC)
/* Runners that have ended are back within this time, most often. */
#define RESTART_US (5 * USEC_PER_SEC)
/* Most causes in quarantine; none is added to a full one. */
#define CAUSES_MAX 256u
/* Before the digest of a request in the document; a part's id stands alone. */
#define REQUEST_PREFIX "request:"

/* A cause in quarantine. */
typedef struct quarantined {
	crash_cause_t cause; /* the key */
	uint32_t crashes;
	uint32_t trials;
	int64_t trial_us; /* of the next one */
	int64_t asked_us; /* when a request last had it */
	bool decided;
} quarantined_t;

struct quarantine {
	crash_evidence_t *evidence;
	GHashTable *causes; /* crash_cause_t -> quarantined_t */
	/* Grants of suspected requests that are not answered: grant_t.suspect. */
	struct cds_list_head suspects;
	uint64_t doc_version; /* that was taken in last */
	uint64_t builds;      /* hash of the decided software versions */
	int64_t due_us;
	int64_t proposed_us;
	bool changed; /* causes differs from what is decided */
};

static guint cause_hash(gconstpointer p)
{
	const crash_cause_t *c = p;

	return (guint)c->id ^ (guint)(c->id >> 32) ^ (guint)c->kind;
}

static gboolean cause_equal(gconstpointer a, gconstpointer b)
{
	return crash_cause_equal(*(const crash_cause_t *)a,
				 *(const crash_cause_t *)b);
}

quarantine_t *quarantine_new(void)
{
	quarantine_t *q = xcalloc(1, sizeof(*q));

	q->evidence = crash_evidence_new();
	q->causes = g_hash_table_new_full(cause_hash, cause_equal, NULL, free);
	CDS_INIT_LIST_HEAD(&q->suspects);
	return q;
}

void quarantine_free(quarantine_t *q)
{
	crash_evidence_free(q->evidence);
	g_hash_table_destroy(q->causes);
	free(q);
}

static crash_cause_t part_cause(uint64_t id)
{
	return (crash_cause_t){CAUSE_PART, id};
}

static crash_cause_t request_cause(uint64_t digest)
{
	return (crash_cause_t){CAUSE_REQUEST, digest};
}

static void set_next_trial(quarantined_t *p, int64_t now_us)
{
	int64_t wait_us = TRIAL_FIRST_US;

	for (uint32_t i = 0; i < p->trials; i++)
		wait_us *= TRIAL_FACTOR;
	p->trial_us = p->trials < TRIALS_MAX ? now_us + wait_us : INT64_MAX;
}

void quarantine_begin(dispatch_t *d, int64_t now_us)
{
	quarantine_t *q = d->quarantine;
	GHashTableIter it;
	gpointer value;

	/* What counts now the entries tell, and what was answered meanwhile. */
	crash_evidence_free(q->evidence);
	q->evidence = crash_evidence_new();
	g_hash_table_iter_init(&it, q->causes);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		quarantined_t *p = value;

		/* Other dispatchers may have been asked for it until now. */
		p->asked_us = now_us;
		set_next_trial(p, now_us);
	}
	q->due_us = now_us + EVIDENCE_SETTLE_US;
	q->proposed_us = INT64_MIN / 2;
}

static quarantined_t *find(const quarantine_t *q, crash_cause_t cause)
{
	return g_hash_table_lookup(q->causes, &cause);
}

static quarantined_t *add(quarantine_t *q, crash_cause_t cause,
			  uint32_t crashes, int64_t now_us)
{
	quarantined_t *p = xcalloc(1, sizeof(*p));

	p->cause = cause;
	p->crashes = crashes;
	p->asked_us = now_us;
	set_next_trial(p, now_us);
	g_hash_table_insert(q->causes, &p->cause, p);
	return p;
}

/* As in the document. */
static void write_cause(buf_t *out, crash_cause_t cause)
{
	buf_printf(out, "%s%llx",
		   cause.kind == CAUSE_REQUEST ? REQUEST_PREFIX : "",
		   (unsigned long long)cause.id);
}

static void log_cause(const char *event, crash_cause_t cause, kv_t detail)
{
	AUTO_BUF buf_t text = {0};

	write_cause(&text, cause);
	log_event(LOG_WARNING, event, kv_s("cause", buf_str(&text)), detail);
}

/* What the request has of the quarantine; NULL: nothing. */
static quarantined_t *find_in_request(const quarantine_t *q,
				      const Dispatch__Ask *ask)
{
	quarantined_t *p = NULL;

	if (!g_hash_table_size(q->causes))
		return NULL;
	if (ask->digest)
		p = find(q, request_cause(ask->digest));
	for (size_t i = 0; i < ask->n_parts && !p; i++)
		p = find(q, part_cause(ask->parts[i]->id));
	return p;
}

reason_t quarantine_reason(const dispatch_t *d, const Dispatch__Ask *ask,
			   int64_t now_us)
{
	quarantined_t *p = find_in_request(d->quarantine, ask);

	if (!p)
		return REASON_NONE;
	p->asked_us = MAX(p->asked_us, now_us);
	return p->cause.kind == CAUSE_REQUEST ? REASON_REQUEST_QUARANTINED
					      : REASON_PROMPT_QUARANTINED;
}

bool quarantine_begin_trial(dispatch_t *d, const Dispatch__Ask *ask,
			    int64_t now_us)
{
	quarantined_t *p = find_in_request(d->quarantine, ask);

	if (!p || d->mode != DISPATCH_LEADER || now_us < p->trial_us)
		return false;
	p->trials++;
	set_next_trial(p, now_us);
	log_cause("quarantine_trial", p->cause, kv_u("trials", p->trials));
	/* The next dispatcher is to know of it, too. */
	d->quarantine->changed = true;
	d->quarantine->due_us = now_us;
	return true;
}

void quarantine_on_ask(dispatch_t *d, const Dispatch__Ask *ask)
{
	uint64_t parts[PROMPT_PARTS_MAX];
	size_t n = prompt_shared_parts(ask, parts);

	if (n)
		crash_evidence_note_asked(d->quarantine->evidence, parts, n);
}

/* Suspects. */

/* Crashes that count against requests that are alike to this one. */
static uint32_t request_crashes(const dispatch_t *d, uint64_t digest)
{
	return digest ? crash_evidence_count(d->quarantine->evidence,
					     request_cause(digest))
		      : 0;
}

bool quarantine_suspects(const dispatch_t *d, const Dispatch__Ask *ask)
{
	const quarantine_t *q = d->quarantine;
	uint64_t parts[PROMPT_PARTS_MAX];
	size_t n = prompt_shared_parts(ask, parts);

	if (request_crashes(d, ask->digest) >= SUSPECT_CRASHES)
		return true;
	for (size_t i = 0; i < n; i++)
		if (crash_evidence_count(q->evidence, part_cause(parts[i])) >=
		    SUSPECT_CRASHES)
			return true;
	return false;
}

static bool is_awaited(const grant_t *g, int64_t now_us)
{
	return now_us - g->granted_us < SUSPECT_RUNS_US;
}

bool quarantine_runs_alike(const dispatch_t *d, const Dispatch__Ask *ask,
			   int64_t now_us)
{
	const grant_t *g;

	if (!request_crashes(d, ask->digest))
		return false;
	cds_list_for_each_entry (g, &d->quarantine->suspects, suspect)
		if (g->digest == ask->digest && is_awaited(g, now_us))
			return true;
	return false;
}

/* Runners of its service that serve, this one included. */
static size_t n_serving(const dispatch_t *d, const runner_t *r, int64_t now_us)
{
	const GPtrArray *all = r->fleet->runners;
	size_t n = 0;

	for (guint i = 0; i < all->len; i++) {
		const runner_t *other = g_ptr_array_index(all, i);

		n += runner_usable(other, now_us) &&
		     !crash_evidence_has_ended(d->quarantine->evidence,
					       other->id);
	}
	return n;
}

bool quarantine_spares_last(const dispatch_t *d, const Dispatch__Ask *ask,
			    const runner_t *r, int64_t now_us)
{
	const crash_evidence_t *e = d->quarantine->evidence;
	crash_cause_t cause = request_cause(ask->digest);

	return request_crashes(d, ask->digest) >= SUSPECT_CRASHES &&
	       now_us - crash_evidence_last_us(e, cause) < RESTART_US &&
	       n_serving(d, r, now_us) <= 1;
}

/* Whether a suspect with so many crashes runs at the runner. */
static bool has_suspect(const dispatch_t *d, const runner_t *r,
			uint32_t min_crashes, int64_t now_us)
{
	const grant_t *g;

	cds_list_for_each_entry (g, &d->quarantine->suspects, suspect)
		if (g->runner == r && is_awaited(g, now_us) &&
		    request_crashes(d, g->digest) >= min_crashes)
			return true;
	return false;
}

bool quarantine_keeps_away(const dispatch_t *d, const Dispatch__Ask *ask,
			   const runner_t *r, int64_t now_us)
{
	uint32_t crashes = request_crashes(d, ask->digest);

	if (!crashes)
		return false;
	return has_suspect(
		d, r, crashes < SUSPECT_CRASHES ? SUSPECT_CRASHES : 1, now_us);
}

void quarantine_on_grant(dispatch_t *d, grant_t *g)
{
	if (request_crashes(d, g->digest))
		cds_list_add(&g->suspect, &d->quarantine->suspects);
}

/* Crashes. */

static bool any_in_quarantine(const quarantine_t *q, const Dispatch__Crash *m)
{
	if (m->digest && find(q, request_cause(m->digest)))
		return true;
	for (size_t i = 0; i < m->n_parts; i++)
		if (find(q, part_cause(m->parts[i])))
			return true;
	return false;
}

void quarantine_on_crash(dispatch_t *d, const Dispatch__Crash *m,
			 int64_t now_us)
{
	quarantine_t *q = d->quarantine;
	const runner_t *r = fleet_find(d, pb_str(m->runner));
	const crashed_request_t request = {m->digest, m->parts, m->n_parts,
					   m->own_part};
	int64_t at_us = now_us - m->ago_us;

	/* One that shuts down ends in any case. */
	if (r && runner_is_leaving(r))
		return;
	if (any_in_quarantine(q, m))
		crash_evidence_explain(q->evidence, pb_str(m->runner), at_us);
	else
		crash_evidence_add(q->evidence, pb_str(m->runner), &request,
				   at_us);
	q->due_us = MIN(q->due_us, now_us + EVIDENCE_DELAY_US);
}

static void release(quarantine_t *q, crash_cause_t cause, const char *why)
{
	log_cause("quarantine_ended", cause, KV_C("why", why));
	crash_evidence_forget(q->evidence, cause);
	g_hash_table_remove(q->causes, &cause);
}

void quarantine_on_answered_before(dispatch_t *d, const Dispatch__Answered *m,
				   int64_t now_us)
{
	crash_evidence_t *e = d->quarantine->evidence;

	for (size_t i = 0; i < m->n_parts && i < m->n_ago_us; i++)
		crash_evidence_clear(e, part_cause(m->parts[i]),
				     now_us - m->ago_us[i]);
	for (size_t i = 0; i < m->n_digests && i < m->n_digests_ago_us; i++)
		crash_evidence_clear(e, request_cause(m->digests[i]),
				     now_us - m->digests_ago_us[i]);
}

static void clear_cause(quarantine_t *q, crash_cause_t cause, int64_t now_us)
{
	crash_evidence_clear(q->evidence, cause, now_us);
	if (!find(q, cause))
		return;
	release(q, cause, "answered");
	q->changed = true;
	q->due_us = now_us;
}

void quarantine_on_answered(dispatch_t *d, grant_t *g, int64_t now_us)
{
	quarantine_t *q = d->quarantine;

	for (uint32_t i = 0; i < g->n_shared_parts; i++)
		clear_cause(q, part_cause(g->shared_parts[i]), now_us);
	if (g->digest)
		clear_cause(q, request_cause(g->digest), now_us);
	cds_list_del_init(&g->suspect);
	g->n_shared_parts = 0;
	g->digest = 0;
}

void quarantine_on_sign_of_life(dispatch_t *d, const runner_t *r,
				int64_t now_us)
{
	crash_evidence_withdraw(d->quarantine->evidence, r->id, now_us);
}

/* The document. */

static bool read_cause(str_t text, crash_cause_t *out)
{
	str_t prefix = STR(REQUEST_PREFIX);
	g_autofree char *digits = NULL;

	out->kind = CAUSE_PART;
	if (text.n > prefix.n && str_eq(str_n(text.p, prefix.n), prefix)) {
		out->kind = CAUSE_REQUEST;
		text = str_n(text.p + prefix.n, text.n - prefix.n);
	}
	digits = g_strndup(text.p, text.n);
	return g_ascii_string_to_unsigned(digits, 16, 0, G_MAXUINT64, &out->id,
					  NULL);
}

/*
 * Reads a line of the document: the cause, the numbers of crashes and of trials, with
 * tabs between them.
 */
static bool read_line(str_t line, crash_cause_t *cause, uint64_t *crashes,
		      uint64_t *trials)
{
	str_t id, numbers, n_crashes, n_trials;

	return str_split(line, '\t', &id, &numbers) &&
	       str_split(numbers, '\t', &n_crashes, &n_trials) &&
	       str_to_u64(n_crashes, crashes) == 0 &&
	       str_to_u64(n_trials, trials) == 0 && read_cause(id, cause);
}

static void release_all(quarantine_t *q, const GArray *gone)
{
	for (guint i = 0; i < gone->len; i++)
		release(q, g_array_index(gone, crash_cause_t, i), "operator");
}

/* Causes that were decided, and are not in the document any more. */
static GArray *causes_gone(const quarantine_t *q, GHashTable *in_doc)
{
	GArray *gone = g_array_new(FALSE, FALSE, sizeof(crash_cause_t));
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, q->causes);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const quarantined_t *p = value;

		if (p->decided && !g_hash_table_contains(in_doc, p))
			g_array_append_val(gone, p->cause);
	}
	return gone;
}

static void take_in(quarantine_t *q, str_t body, int64_t now_us)
{
	/* Of quarantined_t. */
	g_autoptr(GHashTable) in_doc = g_hash_table_new(NULL, NULL);
	g_autoptr(GArray) gone = NULL;
	str_t line;

	while (body.n) {
		crash_cause_t cause;
		uint64_t crashes, trials;
		quarantined_t *p;

		str_split(body, '\n', &line, &body);
		if (!read_line(line, &cause, &crashes, &trials))
			continue;
		p = find(q, cause);
		if (!p)
			p = add(q, cause, (uint32_t)crashes, now_us);
		p->decided = true;
		p->trials = MAX(p->trials, (uint32_t)trials);
		g_hash_table_add(in_doc, p);
	}
	gone = causes_gone(q, in_doc);
	release_all(q, gone);
}

/* Other software may not crash on them. */
static void try_at_once(quarantine_t *q)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, q->causes);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		quarantined_t *p = value;

		if (p->trials < TRIALS_MAX)
			p->trial_us = INT64_MIN;
	}
}

static void apply_builds(dispatch_t *d)
{
	quarantine_t *q = d->quarantine;
	const doc_t *doc = dispatch_find_doc(d, STR(DOC_BUILDS));
	uint64_t builds = doc ? hash_bytes(doc->body.p, doc->body.n, 0) : 0;

	if (q->builds && builds != q->builds)
		try_at_once(q);
	q->builds = builds;
}

void quarantine_apply_tables(dispatch_t *d)
{
	quarantine_t *q = d->quarantine;
	const doc_t *doc = dispatch_find_doc(d, STR(DOC_QUARANTINE));

	apply_builds(d);
	if (!doc || doc->version == q->doc_version)
		return;
	q->doc_version = doc->version;
	take_in(q, doc->body, d->began_us);
	pending_refuse_quarantined(d, d->began_us);
	/* What was found since the proposal has to be proposed, too. */
	q->changed = true;
	q->due_us = 0;
}

bool dispatch_release_cause(str_t body, str_t cause, buf_t *out)
{
	bool found = false;

	while (body.n) {
		str_t line, id, crashes;

		str_split(body, '\n', &line, &body);
		str_split(line, '\t', &id, &crashes);
		if (str_eq(id, cause)) {
			found = true;
			continue;
		}
		buf_put(out, line.p, line.n);
		buf_puts(out, "\n");
	}
	return found;
}

/* Returns when to look again. */
static int64_t find_culprits(dispatch_t *d, int64_t now_us)
{
	quarantine_t *q = d->quarantine;
	/*
	 * An isolated daemon does not know what others have seen answered since the
	 * crashes that it was told of.
	 */
	int64_t since_us = d->mode == DISPATCH_LEADER ? INT64_MIN : d->began_us;
	culprit_t g;

	while (crash_evidence_find(q->evidence, since_us, now_us, &g)) {
		if (find(q, g.cause) ||
		    g_hash_table_size(q->causes) >= CAUSES_MAX)
			continue;
		add(q, g.cause, g.crashes, now_us);
		counter_add(g.cause.kind == CAUSE_REQUEST
				    ? CTR_REQUESTS_QUARANTINED
				    : CTR_PARTS_QUARANTINED,
			    1);
		log_cause("quarantine_begun", g.cause,
			  kv_u("crashes", g.crashes));
		q->changed = true;
		pending_refuse_quarantined(d, now_us);
	}
	return g.again_us;
}

static void release_unused(quarantine_t *q, int64_t now_us)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, q->causes);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const quarantined_t *p = value;

		if (now_us - p->asked_us < RELEASE_UNUSED_US)
			continue;
		log_cause("quarantine_ended", p->cause, KV_C("why", "unused"));
		g_hash_table_iter_remove(&it);
		q->changed = true;
	}
}

static int compare_causes(gconstpointer a, gconstpointer b)
{
	const quarantined_t *x = a;
	const quarantined_t *y = b;

	if (x->cause.kind != y->cause.kind)
		return (int)x->cause.kind - (int)y->cause.kind;
	return (x->cause.id > y->cause.id) - (x->cause.id < y->cause.id);
}

static void write_causes(const quarantine_t *q, buf_t *out)
{
	g_autoptr(GList) all =
		g_list_sort(g_hash_table_get_values(q->causes), compare_causes);

	for (const GList *l = all; l; l = l->next) {
		const quarantined_t *p = l->data;

		write_cause(out, p->cause);
		buf_printf(out, "\t%u\t%u\n", p->crashes, p->trials);
	}
}

/* Whether the decided document holds these causes. */
static bool is_decided(const dispatch_t *d, const buf_t *body)
{
	const doc_t *doc = dispatch_find_doc(d, STR(DOC_QUARANTINE));

	return str_eq(doc ? doc->body : str_n(NULL, 0), buf_str(body));
}

static void propose(dispatch_t *d, int64_t now_us)
{
	quarantine_t *q = d->quarantine;
	AUTO_BUF buf_t body = {0};

	write_causes(q, &body);
	q->changed = !is_decided(d, &body);
	if (!q->changed || now_us - q->proposed_us < PROPOSE_AGAIN_US)
		return;
	q->proposed_us = now_us;
	d->ops.propose_doc(d->ctx, STR(DOC_QUARANTINE), buf_str(&body));
}

int64_t quarantine_tick(dispatch_t *d, int64_t now_us)
{
	quarantine_t *q = d->quarantine;

	if (now_us < q->due_us)
		return q->due_us;
	if (now_us < d->began_us + EVIDENCE_SETTLE_US) {
		q->due_us = d->began_us + EVIDENCE_SETTLE_US;
		return q->due_us;
	}
	q->due_us = MIN(find_culprits(d, now_us), now_us + RELEASE_CHECK_US);
	if (d->mode != DISPATCH_LEADER)
		return q->due_us;
	release_unused(q, now_us);
	if (q->changed)
		propose(d, now_us);
	if (q->changed)
		q->due_us = MIN(q->due_us, now_us + PROPOSE_AGAIN_US);
	return q->due_us;
}
