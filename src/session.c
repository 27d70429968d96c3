/* session.c - the leader's table of sessions. */
#include "session.h"

#include <stdlib.h>
#include <string.h>

#define PPM 1000000

struct sessions {
	int64_t lease_us;
	uint32_t drift_ppm;
	int64_t grace_until_us;
	uint64_t version;
	uint64_t first_version; /* live version at the start of this term */
	uint64_t last_grant;
	/* The change that led to version v is at v % LIVE_CHANGES_KEPT. */
	live_change_t changes[LIVE_CHANGES_KEPT];
	bool live_outdated;
	session_t *rows; /* ascending by host */
	size_t n;
	size_t cap;
	host_id_t *live; /* ascending */
	size_t n_live;
	int64_t next_expiry_us; /* no session expires before this */
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
	s->next_expiry_us = INT64_MAX;
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

/* Index of the host's row, or where to insert it. */
static size_t find_row(const sessions_t *s, host_id_t host)
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

static session_t *get_row(const sessions_t *s, host_id_t host)
{
	size_t i = find_row(s, host);

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
	s->live_outdated = true;
}

static void rebuild_live(sessions_t *s)
{
	s->live_outdated = false;
	s->n_live = 0;
	for (size_t i = 0; i < s->n; i++)
		if (s->rows[i].live)
			s->live[s->n_live++] = s->rows[i].host;
}

static session_t *insert_row(sessions_t *s, host_id_t host)
{
	size_t i = find_row(s, host);

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
	s->last_grant = term << 32;
	s->grace_until_us =
		now_us + lease_granter_us(s->lease_us, s->drift_ppm);
	s->next_expiry_us = INT64_MAX;
}

/* A nonce is offered the same grant again until its session starts. */
static void offer_grant(sessions_t *s, session_t *row, uint64_t nonce)
{
	if (row->offered_nonce == nonce)
		return;
	row->offered_nonce = nonce;
	row->offered_grant = ++s->last_grant;
}

static void start_session(session_t *row, int64_t now_us)
{
	row->nonce = row->offered_nonce;
	row->grant = row->offered_grant;
	row->offered_nonce = 0;
	row->offered_grant = 0;
	row->live_since_us = now_us;
	row->index = 0;
	row->revision = 0;
	row->has_left = false;
}

static void record_renewal(sessions_t *s, session_t *row,
			   const session_renewal_t *r, int64_t now_us)
{
	int64_t end = now_us + lease_granter_us(s->lease_us, s->drift_ppm);

	row->renewed_us = now_us;
	if (r->index > row->index)
		row->index = r->index;
	if (r->revision > row->revision)
		row->revision = r->revision;
	if (end < s->next_expiry_us)
		s->next_expiry_us = end;
	set_live(s, row, true);
}

session_event_t sessions_renew(sessions_t *s, const session_renewal_t *r,
			       int64_t now_us)
{
	session_t *row = get_row(s, r->host);
	session_event_t event = SESSION_RENEWED;

	if (!row)
		row = insert_row(s, r->host);
	if (r->grant && r->grant == row->offered_grant &&
	    r->nonce == row->offered_nonce) {
		start_session(row, now_us);
		event = SESSION_STARTED;
	} else if (!r->grant || r->grant != row->grant) {
		offer_grant(s, row, r->nonce);
		return SESSION_GRANT_OFFERED;
	} else if (row->has_left) {
		return SESSION_ALREADY_LEFT;
	} else if (!row->live) {
		row->live_since_us = now_us;
		event = SESSION_STARTED;
	}
	if (r->leave) {
		set_live(s, row, false);
		row->has_left = true;
		return SESSION_LEFT;
	}
	record_renewal(s, row, r, now_us);
	return event;
}

bool sessions_has_left(const sessions_t *s, host_id_t host)
{
	const session_t *row = get_row((sessions_t *)s, host);

	return row && row->has_left;
}

void sessions_set_open_index(sessions_t *s, host_id_t host, uint64_t index)
{
	session_t *row = get_row(s, host);

	if (row)
		row->open_index = index;
}

bool sessions_expire(sessions_t *s, int64_t now_us)
{
	int64_t max_lease_us = lease_granter_us(s->lease_us, s->drift_ppm);
	bool changed = false;

	if (now_us < s->next_expiry_us)
		return false;
	s->next_expiry_us = INT64_MAX;
	for (size_t i = 0; i < s->n; i++) {
		session_t *row = &s->rows[i];

		if (!row->live)
			continue;
		if (now_us >= row->renewed_us + max_lease_us) {
			set_live(s, row, false);
			changed = true;
		} else if (row->renewed_us + max_lease_us < s->next_expiry_us) {
			s->next_expiry_us = row->renewed_us + max_lease_us;
		}
	}
	return changed;
}

int64_t sessions_next_expiry_us(const sessions_t *s)
{
	return s->next_expiry_us;
}

const session_t *sessions_get(const sessions_t *s, host_id_t host)
{
	return get_row(s, host);
}

bool sessions_is_live(const sessions_t *s, host_id_t host)
{
	const session_t *row = get_row(s, host);

	return row && row->live;
}

bool sessions_lease_is_over(const sessions_t *s, host_id_t host, int64_t now_us)
{
	const session_t *row = get_row(s, host);

	if (row && row->live)
		return false;
	if (row && row->has_left)
		return true;
	return now_us >= s->grace_until_us;
}

int64_t sessions_grace_until_us(const sessions_t *s)
{
	return s->grace_until_us;
}

uint64_t sessions_live_version(const sessions_t *s)
{
	return s->version;
}

const host_id_t *sessions_live(const sessions_t *s, size_t *n)
{
	if (s->live_outdated)
		rebuild_live((sessions_t *)s);
	*n = s->n_live;
	return s->live;
}

bool sessions_live_changes(const sessions_t *s, uint64_t since,
			   live_change_t *out, size_t *n)
{
	*n = 0;
	if (since < s->first_version || since > s->version ||
	    s->version - since > LIVE_CHANGES_KEPT)
		return false;
	for (uint64_t v = since + 1; v <= s->version; v++)
		out[(*n)++] = s->changes[v % LIVE_CHANGES_KEPT];
	return true;
}

size_t sessions_host_revisions(const sessions_t *s, host_revision_t *out,
			       size_t max)
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
