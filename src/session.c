/* session.c - the leader's table of sessions. */
#include "session.h"

#include <stdlib.h>
#include <string.h>

#define PPM 1000000

struct sessions {
	int64_t lease_us;
	uint32_t drift_ppm;
	int64_t grace_us;
	uint64_t version;
	uint64_t first_version; /* of this term */
	uint64_t next_grant;
	live_change_t changes[LIVE_CHANGES_KEPT]; /* by version */
	bool live_stale;
	session_t *rows; /* ascending by host */
	size_t n;
	size_t cap;
	host_id_t *live; /* ascending */
	size_t n_live;
	int64_t due_us; /* not later than the first end of a session */
};

int64_t lease_holder_us(int64_t lease_us, uint32_t drift_ppm)
{
	return lease_us - lease_us * drift_ppm / PPM;
}

int64_t lease_granter_us(int64_t lease_us, uint32_t drift_ppm)
{
	return lease_us + lease_us * drift_ppm / PPM + 1;
}

sessions_t *sessions_new(int64_t lease_us, uint32_t drift_ppm)
{
	sessions_t *s = xcalloc(1, sizeof(*s));

	s->lease_us = lease_us;
	s->drift_ppm = drift_ppm;
	s->due_us = INT64_MAX;
	return s;
}

void sessions_free(sessions_t *s)
{
	if (!s)
		return;
	free(s->rows);
	free(s->live);
	free(s);
}

/* Position of host, or where it would be inserted. */
static size_t find(const sessions_t *s, host_id_t host)
{
	size_t lo = 0;
	size_t hi = s->n;

	while (lo < hi) {
		size_t mid = lo + (hi - lo) / 2;

		if (s->rows[mid].host < host)
			lo = mid + 1;
		else
			hi = mid;
	}
	return lo;
}

static session_t *get(const sessions_t *s, host_id_t host)
{
	size_t i = find(s, host);

	return i < s->n && s->rows[i].host == host ? &s->rows[i] : NULL;
}

static void set_live(sessions_t *s, session_t *row, bool live)
{
	live_change_t *change;

	if (row->live == live)
		return;
	row->live = live;
	s->version++;
	change = &s->changes[s->version % LIVE_CHANGES_KEPT];
	change->host = row->host;
	change->live = live;
	s->live_stale = true;
}

static void rebuild_live(sessions_t *s)
{
	s->live_stale = false;
	s->n_live = 0;
	for (size_t i = 0; i < s->n; i++)
		if (s->rows[i].live)
			s->live[s->n_live++] = s->rows[i].host;
}

static session_t *insert(sessions_t *s, host_id_t host)
{
	size_t i = find(s, host);

	if (s->n == s->cap) {
		s->cap = s->cap ? s->cap * 2 : 32;
		s->rows = xrealloc(s->rows, s->cap * sizeof(*s->rows));
		s->live = xrealloc(s->live, s->cap * sizeof(*s->live));
	}
	memmove(&s->rows[i + 1], &s->rows[i], (s->n - i) * sizeof(*s->rows));
	memset(&s->rows[i], 0, sizeof(s->rows[i]));
	s->rows[i].host = host;
	s->n++;
	return &s->rows[i];
}

void sessions_reset(sessions_t *s, uint64_t term, int64_t now_us)
{
	s->n = 0;
	s->n_live = 0;
	s->version = term << 32;
	s->first_version = s->version;
	s->next_grant = term << 32;
	s->grace_us = now_us + lease_granter_us(s->lease_us, s->drift_ppm);
	s->due_us = INT64_MAX;
}

/* Offers the same grant to a nonce until it is taken up. */
static void offer(sessions_t *s, session_t *row, uint64_t nonce)
{
	if (row->offered_nonce == nonce)
		return;
	row->offered_nonce = nonce;
	row->offered_grant = ++s->next_grant;
}

static void begin(session_t *row, int64_t now_us)
{
	row->nonce = row->offered_nonce;
	row->grant = row->offered_grant;
	row->offered_nonce = 0;
	row->offered_grant = 0;
	row->opened_us = now_us;
	row->index = 0;
	row->revision = 0;
	row->left = false;
}

static void note_renewal(sessions_t *s, session_t *row,
			 const session_renewal_t *r, int64_t now_us)
{
	int64_t end = now_us + lease_granter_us(s->lease_us, s->drift_ppm);

	row->renewed_us = now_us;
	if (r->index > row->index)
		row->index = r->index;
	if (r->revision > row->revision)
		row->revision = r->revision;
	if (end < s->due_us)
		s->due_us = end;
	set_live(s, row, true);
}

session_event_t sessions_renew(sessions_t *s, const session_renewal_t *r,
			       int64_t now_us)
{
	session_t *row = get(s, r->host);
	session_event_t event = SESSION_RENEWED;

	if (!row)
		row = insert(s, r->host);
	if (r->grant && r->grant == row->offered_grant &&
	    r->nonce == row->offered_nonce) {
		begin(row, now_us);
		event = SESSION_BEGUN;
	} else if (!r->grant || r->grant != row->grant) {
		offer(s, row, r->nonce);
		return SESSION_OFFERED;
	} else if (row->left) {
		return SESSION_ENDED;
	} else if (!row->live) {
		row->opened_us = now_us;
		event = SESSION_BEGUN;
	}
	if (r->leave) {
		set_live(s, row, false);
		row->left = true;
		return SESSION_LEFT;
	}
	note_renewal(s, row, r, now_us);
	return event;
}

void sessions_set_open_index(sessions_t *s, host_id_t host, uint64_t index)
{
	session_t *row = get(s, host);

	if (row)
		row->open_index = index;
}

bool sessions_expire(sessions_t *s, int64_t now_us)
{
	int64_t wait = lease_granter_us(s->lease_us, s->drift_ppm);
	bool changed = false;

	if (now_us < s->due_us)
		return false;
	s->due_us = INT64_MAX;
	for (size_t i = 0; i < s->n; i++) {
		session_t *row = &s->rows[i];

		if (!row->live)
			continue;
		if (now_us >= row->renewed_us + wait) {
			set_live(s, row, false);
			changed = true;
		} else if (row->renewed_us + wait < s->due_us) {
			s->due_us = row->renewed_us + wait;
		}
	}
	return changed;
}

int64_t sessions_due(const sessions_t *s)
{
	return s->due_us;
}

const session_t *sessions_get(const sessions_t *s, host_id_t host)
{
	return get(s, host);
}

bool sessions_is_live(const sessions_t *s, host_id_t host)
{
	const session_t *row = get(s, host);

	return row && row->live;
}

bool sessions_is_over(const sessions_t *s, host_id_t host, int64_t now_us)
{
	const session_t *row = get(s, host);

	if (row && row->live)
		return false;
	if (row && row->left)
		return true;
	return now_us >= s->grace_us;
}

int64_t sessions_grace_us(const sessions_t *s)
{
	return s->grace_us;
}

uint64_t sessions_version(const sessions_t *s)
{
	return s->version;
}

const host_id_t *sessions_live(const sessions_t *s, size_t *n)
{
	if (s->live_stale)
		rebuild_live((sessions_t *)s);
	*n = s->n_live;
	return s->live;
}

bool sessions_changes(const sessions_t *s, uint64_t since, live_change_t *out,
		      size_t *n)
{
	*n = 0;
	if (since < s->first_version || since > s->version ||
	    s->version - since > LIVE_CHANGES_KEPT)
		return false;
	for (uint64_t v = since + 1; v <= s->version; v++)
		out[(*n)++] = s->changes[v % LIVE_CHANGES_KEPT];
	return true;
}

size_t sessions_revisions(const sessions_t *s, host_revision_t *out, size_t max)
{
	size_t n = 0;

	for (size_t i = 0; i < s->n; i++) {
		if (!s->rows[i].live)
			continue;
		if (n < max) {
			out[n].host = s->rows[i].host;
			out[n].revision = s->rows[i].revision;
			out[n].index = s->rows[i].index;
		}
		n++;
	}
	return n;
}
