/* settings.c - reads and checks the settings of a daemon. */
#include "settings.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "log.h"
#include "toml.h"

#define TOKEN_MIN_BYTES 16
#define ADDR_TEXT_MAX 64
#define VOTERS_SECTION "cluster.voters"

typedef enum setting_type {
	SET_STR,
	SET_ADDR,
	SET_INT,
	SET_NUM,
} setting_type_t;

/* One row of the table of keys. */
typedef struct setting {
	const char *section;
	const char *key;
	setting_type_t type;
	bool need;
	double lo;
	double hi;
	const char *dflt;
	const char *help;
	size_t offset; /* of the field in settings_t */
} setting_t;

static const setting_t rows[] = {
#define X(section, key, type, need, lo, hi, dflt, help) \
	{#section, #key, SET_##type,                    \
	 need,	   lo,	 hi,                            \
	 dflt,	   help, offsetof(settings_t, section##_##key)},
	SETTINGS(X)
#undef X
};

/* A load in progress. */
typedef struct loader {
	settings_t *s;
	const char *path;
	const toml_doc_t *doc;
	buf_t *errors;
	uint32_t faults;
	uint32_t line[ARRAY_SIZE(rows)]; /* where given; 0: not given */
} loader_t;

static void fault(loader_t *ld, uint32_t line, const char *section,
		  const char *key, const char *expected)
{
	buf_printf(ld->errors, "%s:%u: %s.%s: %s\n", ld->path, line, section,
		   key, expected);
	ld->faults++;
}

bool settings_addr_valid(str_t addr)
{
	char ip[ADDR_TEXT_MAX];
	struct in_addr parsed;
	uint64_t port;
	str_t head;
	str_t tail;

	if (!str_split(addr, ':', &head, &tail) || head.n >= sizeof(ip))
		return false;
	memcpy(ip, head.p, head.n);
	ip[head.n] = '\0';
	if (inet_pton(AF_INET, ip, &parsed) != 1)
		return false;
	return str_to_u64(tail, &port) == 0 && port >= 1 && port <= 65535;
}

static void *field(loader_t *ld, const setting_t *row)
{
	return (char *)ld->s + row->offset;
}

static void set_text(void *at, str_t text)
{
	str_t *s = at;

	str_free(s);
	*s = str_copy(text);
}

static void set_default(loader_t *ld, const setting_t *row)
{
	switch (row->type) {
	case SET_STR:
	case SET_ADDR:
		set_text(field(ld, row), str_c(row->dflt));
		break;
	case SET_INT:
		*(int64_t *)field(ld, row) = strtoll(row->dflt, NULL, 10);
		break;
	case SET_NUM:
		*(double *)field(ld, row) = strtod(row->dflt, NULL);
		break;
	}
}

/* Appends lead and what a row expects, e.g. "an integer from 1 to 64". */
static void describe(buf_t *out, const setting_t *row, const char *lead)
{
	buf_puts(out, lead);
	switch (row->type) {
	case SET_STR:
		buf_printf(out, "a string of %.0f to %.0f bytes", row->lo,
			   row->hi);
		break;
	case SET_ADDR:
		buf_puts(out, "\"ip:port\" with a port from 1 to "
			      "65535");
		break;
	case SET_INT:
		buf_printf(out, "an integer from %.0f to %.0f", row->lo,
			   row->hi);
		break;
	case SET_NUM:
		buf_printf(out, "a number from %g to %g", row->lo, row->hi);
		break;
	}
}

static bool in_range(const setting_t *row, double v)
{
	return v >= row->lo && v <= row->hi;
}

static bool value_fits(const setting_t *row, const toml_item_t *item)
{
	if (item->element_index)
		return false;
	switch (row->type) {
	case SET_STR:
		return item->kind == TOML_STRING &&
		       in_range(row, (double)item->string.n);
	case SET_ADDR:
		return item->kind == TOML_STRING &&
		       settings_addr_valid(item->string);
	case SET_INT:
		return item->kind == TOML_INTEGER &&
		       in_range(row, item->number);
	case SET_NUM:
		return (item->kind == TOML_INTEGER ||
			item->kind == TOML_FLOAT) &&
		       in_range(row, item->number);
	}
	return false;
}

static void set_value(loader_t *ld, const setting_t *row,
		      const toml_item_t *item)
{
	AUTO_BUF buf_t expected = {0};

	if (!value_fits(row, item)) {
		describe(&expected, row, "expected ");
		fault(ld, item->line, row->section, row->key, expected.p);
		return;
	}
	if (row->type == SET_INT)
		*(int64_t *)field(ld, row) = item->integer;
	else if (row->type == SET_NUM)
		*(double *)field(ld, row) = item->number;
	else
		set_text(field(ld, row), item->string);
}

static settings_voter_t *voter_at(settings_t *s, uint32_t index)
{
	if (index > s->n_voters) {
		s->voters = xrealloc(s->voters, index * sizeof(*s->voters));
		memset(s->voters + s->n_voters, 0,
		       (index - s->n_voters) * sizeof(*s->voters));
		s->n_voters = index;
	}
	return &s->voters[index - 1];
}

static void voter_addr(loader_t *ld, const toml_item_t *item, str_t *out)
{
	AUTO_FREE char *key = str_dup(item->key);

	if (item->kind != TOML_STRING || !settings_addr_valid(item->string))
		fault(ld, item->line, VOTERS_SECTION, key,
		      "expected \"ip:port\" with a port from 1 to 65535");
	else
		set_text(out, item->string);
}

static void voter_value(loader_t *ld, const toml_item_t *item)
{
	settings_voter_t *v = voter_at(ld->s, item->table_index);
	AUTO_FREE char *key = str_dup(item->key);

	if (str_eq(item->key, STR("addr"))) {
		voter_addr(ld, item, &v->peer_addr);
	} else if (str_eq(item->key, STR("operators"))) {
		voter_addr(ld, item, &v->operators_addr);
	} else if (!str_eq(item->key, STR("id"))) {
		fault(ld, item->line, VOTERS_SECTION, key,
		      "unknown key; expected id, addr or operators");
	} else if (item->kind != TOML_INTEGER || item->integer < 1 ||
		   item->integer > 1000000) {
		fault(ld, item->line, VOTERS_SECTION, key,
		      "expected an integer from 1 to 1000000");
	} else {
		v->id = (host_id_t)item->integer;
	}
}

static const setting_t *find_row(const toml_item_t *item)
{
	if (item->table_index)
		return NULL;
	for (size_t i = 0; i < ARRAY_SIZE(rows); i++)
		if (str_eq(item->section, str_c(rows[i].section)) &&
		    str_eq(item->key, str_c(rows[i].key)))
			return &rows[i];
	return NULL;
}

static void unknown_key(loader_t *ld, const toml_item_t *item)
{
	AUTO_FREE char *section = str_dup(item->section);
	AUTO_FREE char *key = str_dup(item->key);
	AUTO_BUF buf_t expected = {0};

	buf_puts(&expected, "unknown key");
	for (size_t i = 0; i < ARRAY_SIZE(rows); i++)
		if (str_eq(item->section, str_c(rows[i].section)))
			buf_printf(&expected, "%s%s",
				   expected.n > 11 ? ", " : "; expected ",
				   rows[i].key);
	if (expected.n == 11)
		buf_puts(&expected, " in an unknown section");
	fault(ld, item->line, section, key, expected.p);
}

static void read_items(loader_t *ld)
{
	for (size_t i = 0; i < toml_item_count(ld->doc); i++) {
		const toml_item_t *item = toml_item_at(ld->doc, i);
		const setting_t *row = find_row(item);

		if (row) {
			ld->line[row - rows] = item->line;
			set_value(ld, row, item);
		} else if (str_eq(item->section, STR(VOTERS_SECTION)) &&
			   item->table_index) {
			voter_value(ld, item);
		} else {
			unknown_key(ld, item);
		}
	}
}

static uint32_t line_of(const loader_t *ld, const char *section,
			const char *key)
{
	for (size_t i = 0; i < ARRAY_SIZE(rows); i++)
		if (strcmp(rows[i].section, section) == 0 &&
		    strcmp(rows[i].key, key) == 0)
			return ld->line[i];
	return 0;
}

/* Line of a voter's key; 0 where it is not given. */
static uint32_t voter_line(const loader_t *ld, size_t pos, const char *key)
{
	for (size_t i = 0; i < toml_item_count(ld->doc); i++) {
		const toml_item_t *item = toml_item_at(ld->doc, i);

		if (str_eq(item->section, STR(VOTERS_SECTION)) &&
		    item->table_index == pos + 1 &&
		    (!key || str_eq(item->key, str_c(key))))
			return item->line;
	}
	return 0;
}

static void check_needed(loader_t *ld)
{
	AUTO_BUF buf_t expected = {0};

	for (size_t i = 0; i < ARRAY_SIZE(rows); i++) {
		if (!rows[i].need || ld->line[i])
			continue;
		buf_reset(&expected);
		buf_puts(&expected, "missing; ");
		describe(&expected, &rows[i], "expected ");
		fault(ld, 0, rows[i].section, rows[i].key, expected.p);
	}
}

static void check_listen(loader_t *ld)
{
	const struct {
		const char *key;
		str_t addr;
	} used[] = {
		{"callers", ld->s->listen_callers},
		{"operators", ld->s->listen_operators},
		{"peers", ld->s->listen_peers},
	};

	for (size_t i = 1; i < ARRAY_SIZE(used); i++)
		for (size_t j = 0; j < i; j++)
			if (used[i].addr.n &&
			    str_eq(used[i].addr, used[j].addr))
				fault(ld, line_of(ld, "listen", used[i].key),
				      "listen", used[i].key,
				      "address used twice; expected one that "
				      "no other key has");
}

static void check_voter(loader_t *ld, size_t pos)
{
	const settings_voter_t *v = &ld->s->voters[pos];

	if (!voter_line(ld, pos, "id"))
		fault(ld, voter_line(ld, pos, NULL), VOTERS_SECTION, "id",
		      "missing; expected the number of the voter's host");
	if (!voter_line(ld, pos, "addr"))
		fault(ld, voter_line(ld, pos, NULL), VOTERS_SECTION, "addr",
		      "missing; expected \"ip:port\" of the voter's peer link");
	for (size_t i = 0; i < pos; i++) {
		const settings_voter_t *o = &ld->s->voters[i];

		if (v->id && v->id == o->id)
			fault(ld, voter_line(ld, pos, "id"), VOTERS_SECTION,
			      "id", "id used twice; expected a unique one");
		if (v->peer_addr.n && str_eq(v->peer_addr, o->peer_addr))
			fault(ld, voter_line(ld, pos, "addr"), VOTERS_SECTION,
			      "addr",
			      "address used twice; expected a unique one");
	}
	if (v->id != (host_id_t)ld->s->host_id) {
		if (v->peer_addr.n && str_eq(v->peer_addr, ld->s->listen_peers))
			fault(ld, voter_line(ld, pos, "addr"), VOTERS_SECTION,
			      "addr",
			      "address used twice; listen.peers of this host "
			      "has it");
		return;
	}
	if (!ld->s->host_data.n)
		fault(ld, line_of(ld, "host", "id"), "host", "data",
		      "missing; expected a folder, for this host is a voter");
}

static void check_voters(loader_t *ld)
{
	if (!ld->s->n_voters)
		fault(ld, 0, "cluster", "voters",
		      "missing; expected at least one [[cluster.voters]]");
	for (size_t i = 0; i < ld->s->n_voters; i++)
		check_voter(ld, i);
}

static void check_timing(loader_t *ld)
{
	const settings_t *s = ld->s;

	if (s->timing_election_ms < 2 * s->timing_heartbeat_ms)
		fault(ld, line_of(ld, "timing", "election_ms"), "timing",
		      "election_ms",
		      "expected at least twice timing.heartbeat_ms");
	if (s->timing_lease_ms < 2 * s->timing_heartbeat_ms)
		fault(ld, line_of(ld, "timing", "lease_ms"), "timing",
		      "lease_ms",
		      "expected at least twice timing.heartbeat_ms");
	if (s->timing_stale_ms < 2 * s->timing_heartbeat_ms)
		fault(ld, line_of(ld, "timing", "stale_ms"), "timing",
		      "stale_ms",
		      "expected at least twice timing.heartbeat_ms");
}

/* Reads the first line of the token file into operators.token. */
static void read_token(loader_t *ld)
{
	char line[512];
	FILE *f = fopen(ld->s->operators_token_file.p, "r");

	if (!f || !fgets(line, sizeof(line), f))
		line[0] = '\0';
	if (f)
		fclose(f);
	line[strcspn(line, "\r\n")] = '\0';
	if (strlen(line) < TOKEN_MIN_BYTES)
		fault(ld, line_of(ld, "operators", "token_file"), "operators",
		      "token_file",
		      "expected a readable file with at least 16 bytes in its "
		      "first line");
	else
		set_text(&ld->s->operators_token, str_c(line));
}

static void check_token(loader_t *ld)
{
	bool token = line_of(ld, "operators", "token");
	bool file = line_of(ld, "operators", "token_file");

	if (token && file)
		fault(ld, line_of(ld, "operators", "token_file"), "operators",
		      "token_file", "expected either token or token_file");
	else if (file)
		read_token(ld);
	else if (!token)
		fault(ld, 0, "operators", "token",
		      "missing; expected token or token_file");
}

static void check_log_level(loader_t *ld)
{
	if (log_level_parse(ld->s->host_log_level) < 0)
		fault(ld, line_of(ld, "host", "log_level"), "host", "log_level",
		      "expected err, warning, notice, info or debug");
}

static void check_host_list(loader_t *ld)
{
	str_t url = ld->s->platform_host_list;

	if (url.n && (url.n < 8 || memcmp(url.p, "http://", 7) != 0))
		fault(ld, line_of(ld, "platform", "host_list"), "platform",
		      "host_list", "expected an http:// URL");
}

int settings_load(settings_t *s, const char *path, buf_t *errors)
{
	loader_t ld = {.s = s, .path = path, .errors = errors};
	toml_doc_t *doc = toml_parse_file(path, errors);

	memset(s, 0, sizeof(*s));
	if (!doc)
		return -1;
	ld.doc = doc;
	for (size_t i = 0; i < ARRAY_SIZE(rows); i++)
		set_default(&ld, &rows[i]);
	read_items(&ld);
	check_needed(&ld);
	check_listen(&ld);
	check_voters(&ld);
	check_timing(&ld);
	check_token(&ld);
	check_log_level(&ld);
	check_host_list(&ld);
	toml_free(doc);
	if (!ld.faults)
		return 0;
	settings_free(s);
	return -1;
}

void settings_free(settings_t *s)
{
#define X(section, key, type, need, lo, hi, dflt, help) \
	FREE_##type(section##_##key)
#define FREE_STR(f) str_free(&s->f);
#define FREE_ADDR(f) str_free(&s->f);
#define FREE_INT(f)
#define FREE_NUM(f)
	SETTINGS(X)
#undef X
	for (size_t i = 0; i < s->n_voters; i++) {
		str_free(&s->voters[i].peer_addr);
		str_free(&s->voters[i].operators_addr);
	}
	free(s->voters);
	s->voters = NULL;
	s->n_voters = 0;
}

int settings_check_file(const char *path, buf_t *errors)
{
	settings_t s;

	if (settings_load(&s, path, errors) < 0)
		return -1;
	settings_free(&s);
	return 0;
}

void settings_manual(buf_t *out)
{
	const char *section = "";

	buf_puts(
		out,
		"# Settings of a daemon\n\nMade by `damasklug serve --manual`. "
		"`damasklug check FILE` checks a file offline; each fault is "
		"told as `file:line: key: what is expected`. Examples of a "
		"voter and of a learner: `examples/*/host-*.toml`.\n");
	for (size_t i = 0; i < ARRAY_SIZE(rows); i++) {
		const setting_t *row = &rows[i];

		if (strcmp(section, row->section) != 0)
			buf_printf(out,
				   "\n### [%s]\n\n| Key | Expected | Default | "
				   "Meaning |\n|---|---|---|---|\n",
				   row->section);
		section = row->section;
		buf_printf(out, "| `%s` | ", row->key);
		describe(out, row, "");
		buf_printf(out, " | %s | %s |\n",
			   row->need	  ? "must be given"
			   : row->dflt[0] ? row->dflt
					  : "none",
			   row->help);
	}
	buf_puts(out, "\n### [[cluster.voters]]\n\n`id`, `addr` (peer link) "
		      "and, optionally, `operators` of each first voter.\n");
}
