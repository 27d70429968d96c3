/* settings.c - reads and checks the settings file of a daemon. */
#include "settings.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "log.h"
#include "toml.h"

#define TOKEN_MIN_BYTES 16
#define ADDR_TEXT_MAX 64
#define HOST_ID_MAX 1000000
#define UNKNOWN_KEY_BYTES 11 /* length of "unknown key" */
#define VOTERS_SECTION "cluster.voters"

typedef enum setting_type {
	SETTING_STR,
	SETTING_ADDR,
	SETTING_INT,
	SETTING_NUM,
} setting_type_t;

/* One key of SETTINGS. */
typedef struct setting {
	const char *section;
	const char *key;
	setting_type_t type;
	bool required;
	double min; /* of the value, or of the length of a string */
	double max;
	const char *dflt; /* default, in text form */
	const char *help;
	size_t offset; /* of the field in settings_t */
} setting_t;

static const setting_t all_settings[] = {
#define X(section, key, type, required, min, max, dflt, help) \
	{#section, #key, SETTING_##type,                      \
	 required, min,	 max,                                 \
	 dflt,	   help, offsetof(settings_t, section##_##key)},
	SETTINGS(X)
#undef X
};

/* State of one settings_load(). */
typedef struct loader {
	settings_t *settings;
	const char *path;
	const toml_doc_t *doc;
	buf_t *errors;
	uint32_t n_faults;
	/* Line at which each key of the table is given; 0: not given. */
	uint32_t given_at[ARRAY_SIZE(all_settings)];
} loader_t;

/* Appends one line to the errors. */
static void add_fault(loader_t *loader, uint32_t line, const char *section,
		      const char *key, const char *expected)
{
	buf_printf(loader->errors, "%s:%u: %s.%s: %s\n", loader->path, line,
		   section, key, expected);
	loader->n_faults++;
}

bool settings_addr_valid(str_t addr)
{
	char ip[ADDR_TEXT_MAX];
	struct in_addr parsed;
	uint64_t port;
	str_t ip_part;
	str_t port_part;

	if (!str_split(addr, ':', &ip_part, &port_part) ||
	    ip_part.n >= sizeof(ip))
		return false;
	memcpy(ip, ip_part.p, ip_part.n);
	ip[ip_part.n] = '\0';
	if (inet_pton(AF_INET, ip, &parsed) != 1)
		return false;
	return str_to_u64(port_part, &port) == 0 && port >= 1 && port <= 65535;
}

/* Address of the field of settings_t that belongs to a key. */
static void *field_of(loader_t *loader, const setting_t *setting)
{
	return (char *)loader->settings + setting->offset;
}

/* Replaces the str_t at dest by a copy of text. */
static void set_string(void *dest, str_t text)
{
	str_t *string = dest;

	str_free(string);
	*string = str_copy(text);
}

static void set_default(loader_t *loader, const setting_t *setting)
{
	switch (setting->type) {
	case SETTING_STR:
	case SETTING_ADDR:
		set_string(field_of(loader, setting), str_c(setting->dflt));
		break;
	case SETTING_INT:
		*(int64_t *)field_of(loader, setting) =
			strtoll(setting->dflt, NULL, 10);
		break;
	case SETTING_NUM:
		*(double *)field_of(loader, setting) =
			strtod(setting->dflt, NULL);
		break;
	}
}

/* Appends prefix and what a key expects, e.g. "an integer from 1 to 64". */
static void append_expectation(buf_t *out, const setting_t *setting,
			       const char *prefix)
{
	buf_puts(out, prefix);
	switch (setting->type) {
	case SETTING_STR:
		buf_printf(out, "a string of %.0f to %.0f bytes", setting->min,
			   setting->max);
		break;
	case SETTING_ADDR:
		buf_puts(out, "\"ip:port\" with a port from 1 to "
			      "65535");
		break;
	case SETTING_INT:
		buf_printf(out, "an integer from %.0f to %.0f", setting->min,
			   setting->max);
		break;
	case SETTING_NUM:
		buf_printf(out, "a number from %g to %g", setting->min,
			   setting->max);
		break;
	}
}

static bool in_range(const setting_t *setting, double value)
{
	return value >= setting->min && value <= setting->max;
}

static bool is_valid_value(const setting_t *setting, const toml_item_t *item)
{
	if (item->element_index)
		return false;
	switch (setting->type) {
	case SETTING_STR:
		return item->kind == TOML_STRING &&
		       in_range(setting, (double)item->string.n);
	case SETTING_ADDR:
		return item->kind == TOML_STRING &&
		       settings_addr_valid(item->string);
	case SETTING_INT:
		return item->kind == TOML_INTEGER &&
		       in_range(setting, item->number);
	case SETTING_NUM:
		return (item->kind == TOML_INTEGER ||
			item->kind == TOML_FLOAT) &&
		       in_range(setting, item->number);
	}
	return false;
}

static void set_value(loader_t *loader, const setting_t *setting,
		      const toml_item_t *item)
{
	AUTO_BUF buf_t message = {0};

	if (!is_valid_value(setting, item)) {
		append_expectation(&message, setting, "expected ");
		add_fault(loader, item->line, setting->section, setting->key,
			  message.p);
		return;
	}
	if (setting->type == SETTING_INT)
		*(int64_t *)field_of(loader, setting) = item->integer;
	else if (setting->type == SETTING_NUM)
		*(double *)field_of(loader, setting) = item->number;
	else
		set_string(field_of(loader, setting), item->string);
}

/* The voter at a 1-based index; adds voters up to it where there are fewer. */
static settings_voter_t *voter_at(settings_t *settings, uint32_t index)
{
	if (index > settings->n_voters) {
		settings->voters = xrealloc(settings->voters,
					    index * sizeof(*settings->voters));
		memset(settings->voters + settings->n_voters, 0,
		       (index - settings->n_voters) *
			       sizeof(*settings->voters));
		settings->n_voters = index;
	}
	return &settings->voters[index - 1];
}

static void read_voter_addr(loader_t *loader, const toml_item_t *item,
			    str_t *addr)
{
	AUTO_FREE char *key = str_dup(item->key);

	if (item->kind != TOML_STRING || !settings_addr_valid(item->string))
		add_fault(loader, item->line, VOTERS_SECTION, key,
			  "expected \"ip:port\" with a port from 1 to 65535");
	else
		set_string(addr, item->string);
}

static void read_voter_value(loader_t *loader, const toml_item_t *item)
{
	settings_voter_t *voter = voter_at(loader->settings, item->table_index);
	AUTO_FREE char *key = str_dup(item->key);

	if (str_eq(item->key, STR("addr"))) {
		read_voter_addr(loader, item, &voter->peer_addr);
	} else if (str_eq(item->key, STR("operators"))) {
		read_voter_addr(loader, item, &voter->operators_addr);
	} else if (!str_eq(item->key, STR("id"))) {
		add_fault(loader, item->line, VOTERS_SECTION, key,
			  "unknown key; expected id, addr or operators");
	} else if (item->kind != TOML_INTEGER || item->integer < 1 ||
		   item->integer > HOST_ID_MAX) {
		add_fault(loader, item->line, VOTERS_SECTION, key,
			  "expected an integer from 1 to 1000000");
	} else {
		voter->id = (host_id_t)item->integer;
	}
}

/* The key that a value is for; NULL where there is none. */
static const setting_t *find_setting(const toml_item_t *item)
{
	if (item->table_index)
		return NULL;
	for (size_t i = 0; i < ARRAY_SIZE(all_settings); i++)
		if (str_eq(item->section, str_c(all_settings[i].section)) &&
		    str_eq(item->key, str_c(all_settings[i].key)))
			return &all_settings[i];
	return NULL;
}

static void report_unknown_key(loader_t *loader, const toml_item_t *item)
{
	AUTO_FREE char *section = str_dup(item->section);
	AUTO_FREE char *key = str_dup(item->key);
	AUTO_BUF buf_t message = {0};

	buf_puts(&message, "unknown key");
	for (size_t i = 0; i < ARRAY_SIZE(all_settings); i++)
		if (str_eq(item->section, str_c(all_settings[i].section)))
			buf_printf(&message, "%s%s",
				   message.n > UNKNOWN_KEY_BYTES
					   ? ", "
					   : "; expected ",
				   all_settings[i].key);
	if (message.n == UNKNOWN_KEY_BYTES)
		buf_puts(&message, " in an unknown section");
	add_fault(loader, item->line, section, key, message.p);
}

static void read_items(loader_t *loader)
{
	for (size_t i = 0; i < toml_item_count(loader->doc); i++) {
		const toml_item_t *item = toml_item_at(loader->doc, i);
		const setting_t *setting = find_setting(item);

		if (setting) {
			loader->given_at[setting - all_settings] = item->line;
			set_value(loader, setting, item);
		} else if (str_eq(item->section, STR(VOTERS_SECTION)) &&
			   item->table_index) {
			read_voter_value(loader, item);
		} else {
			report_unknown_key(loader, item);
		}
	}
}

/* Line of a key; 0 where it is not given. */
static uint32_t line_of_key(const loader_t *loader, const char *section,
			    const char *key)
{
	for (size_t i = 0; i < ARRAY_SIZE(all_settings); i++)
		if (strcmp(all_settings[i].section, section) == 0 &&
		    strcmp(all_settings[i].key, key) == 0)
			return loader->given_at[i];
	return 0;
}

/*
 * Line of a key of voters[pos], or of its first key where key is NULL; 0 where
 * it is not given.
 */
static uint32_t voter_line(const loader_t *loader, size_t pos, const char *key)
{
	for (size_t i = 0; i < toml_item_count(loader->doc); i++) {
		const toml_item_t *item = toml_item_at(loader->doc, i);

		if (str_eq(item->section, STR(VOTERS_SECTION)) &&
		    item->table_index == pos + 1 &&
		    (!key || str_eq(item->key, str_c(key))))
			return item->line;
	}
	return 0;
}

static void check_required(loader_t *loader)
{
	AUTO_BUF buf_t message = {0};

	for (size_t i = 0; i < ARRAY_SIZE(all_settings); i++) {
		if (!all_settings[i].required || loader->given_at[i])
			continue;
		buf_reset(&message);
		buf_puts(&message, "missing; ");
		append_expectation(&message, &all_settings[i], "expected ");
		add_fault(loader, 0, all_settings[i].section,
			  all_settings[i].key, message.p);
	}
}

static void check_listen(loader_t *loader)
{
	const struct {
		const char *key;
		str_t addr;
	} addrs[] = {
		{"callers", loader->settings->listen_callers},
		{"operators", loader->settings->listen_operators},
		{"peers", loader->settings->listen_peers},
	};

	for (size_t i = 1; i < ARRAY_SIZE(addrs); i++)
		for (size_t j = 0; j < i; j++)
			if (addrs[i].addr.n &&
			    str_eq(addrs[i].addr, addrs[j].addr))
				add_fault(
					loader,
					line_of_key(loader, "listen",
						    addrs[i].key),
					"listen", addrs[i].key,
					"address used twice; expected one that "
					"no other key has");
}

static void check_voter(loader_t *loader, size_t pos)
{
	const settings_voter_t *voter = &loader->settings->voters[pos];

	if (!voter_line(loader, pos, "id"))
		add_fault(loader, voter_line(loader, pos, NULL), VOTERS_SECTION,
			  "id",
			  "missing; expected the number of the voter's host");
	if (!voter_line(loader, pos, "addr"))
		add_fault(loader, voter_line(loader, pos, NULL), VOTERS_SECTION,
			  "addr",
			  "missing; expected \"ip:port\" of the voter's peer "
			  "link");
	for (size_t i = 0; i < pos; i++) {
		const settings_voter_t *other = &loader->settings->voters[i];

		if (voter->id && voter->id == other->id)
			add_fault(loader, voter_line(loader, pos, "id"),
				  VOTERS_SECTION, "id",
				  "id used twice; expected a unique one");
		if (voter->peer_addr.n &&
		    str_eq(voter->peer_addr, other->peer_addr))
			add_fault(loader, voter_line(loader, pos, "addr"),
				  VOTERS_SECTION, "addr",
				  "address used twice; expected a unique one");
	}
	if (voter->id != (host_id_t)loader->settings->host_id) {
		if (voter->peer_addr.n &&
		    str_eq(voter->peer_addr, loader->settings->listen_peers))
			add_fault(
				loader, voter_line(loader, pos, "addr"),
				VOTERS_SECTION, "addr",
				"address used twice; listen.peers of this host "
				"has it");
		return;
	}
	if (!loader->settings->host_data.n)
		add_fault(loader, line_of_key(loader, "host", "id"), "host",
			  "data",
			  "missing; expected a folder, because this host is a "
			  "voter");
}

static void check_voters(loader_t *loader)
{
	if (!loader->settings->n_voters)
		add_fault(loader, 0, "cluster", "voters",
			  "missing; expected at least one [[cluster.voters]]");
	for (size_t i = 0; i < loader->settings->n_voters; i++)
		check_voter(loader, i);
}

static void check_timing(loader_t *loader)
{
	const settings_t *s = loader->settings;

	if (s->timing_election_ms < 2 * s->timing_heartbeat_ms)
		add_fault(loader, line_of_key(loader, "timing", "election_ms"),
			  "timing", "election_ms",
			  "expected at least twice timing.heartbeat_ms");
	if (s->timing_lease_ms < 2 * s->timing_heartbeat_ms)
		add_fault(loader, line_of_key(loader, "timing", "lease_ms"),
			  "timing", "lease_ms",
			  "expected at least twice timing.heartbeat_ms");
	if (s->timing_stale_ms < 2 * s->timing_heartbeat_ms)
		add_fault(loader, line_of_key(loader, "timing", "stale_ms"),
			  "timing", "stale_ms",
			  "expected at least twice timing.heartbeat_ms");
}

/* Reads the first line of the token file into operators.token. */
static void read_token(loader_t *loader)
{
	char token[512];
	FILE *file = fopen(loader->settings->operators_token_file.p, "r");

	if (!file || !fgets(token, sizeof(token), file))
		token[0] = '\0';
	if (file)
		fclose(file);
	token[strcspn(token, "\r\n")] = '\0';
	if (strlen(token) < TOKEN_MIN_BYTES)
		add_fault(loader,
			  line_of_key(loader, "operators", "token_file"),
			  "operators", "token_file",
			  "expected a readable file with at least 16 bytes in "
			  "its first line");
	else
		set_string(&loader->settings->operators_token, str_c(token));
}

static void check_token(loader_t *loader)
{
	bool token_given = line_of_key(loader, "operators", "token");
	bool file_given = line_of_key(loader, "operators", "token_file");

	if (token_given && file_given)
		add_fault(loader,
			  line_of_key(loader, "operators", "token_file"),
			  "operators", "token_file",
			  "expected either token or token_file");
	else if (file_given)
		read_token(loader);
	else if (!token_given)
		add_fault(loader, 0, "operators", "token",
			  "missing; expected token or token_file");
}

static void check_log_level(loader_t *loader)
{
	if (log_level_parse(loader->settings->host_log_level) < 0)
		add_fault(loader, line_of_key(loader, "host", "log_level"),
			  "host", "log_level",
			  "expected err, warning, notice, info or debug");
}

static void check_host_list(loader_t *loader)
{
	str_t url = loader->settings->platform_host_list;

	if (url.n && (url.n < 8 || memcmp(url.p, "http://", 7) != 0))
		add_fault(loader, line_of_key(loader, "platform", "host_list"),
			  "platform", "host_list", "expected an http:// URL");
}

int settings_load(settings_t *s, const char *path, buf_t *errors)
{
	loader_t loader = {.settings = s, .path = path, .errors = errors};
	toml_doc_t *doc = toml_parse_file(path, errors);

	memset(s, 0, sizeof(*s));
	if (!doc)
		return -1;
	loader.doc = doc;
	for (size_t i = 0; i < ARRAY_SIZE(all_settings); i++)
		set_default(&loader, &all_settings[i]);
	read_items(&loader);
	check_required(&loader);
	check_listen(&loader);
	check_voters(&loader);
	check_timing(&loader);
	check_token(&loader);
	check_log_level(&loader);
	check_host_list(&loader);
	toml_free(doc);
	if (!loader.n_faults)
		return 0;
	settings_free(s);
	return -1;
}

void settings_free(settings_t *s)
{
#define X(section, key, type, required, min, max, dflt, help) \
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
		"reported as `file:line: section.key: what is expected`. "
		"Examples of a voter and of a learner: "
		"`examples/*/host-*.toml`.\n");
	for (size_t i = 0; i < ARRAY_SIZE(all_settings); i++) {
		const setting_t *setting = &all_settings[i];

		if (strcmp(section, setting->section) != 0)
			buf_printf(out,
				   "\n### [%s]\n\n| Key | Expected | Default | "
				   "Meaning |\n|---|---|---|---|\n",
				   setting->section);
		section = setting->section;
		buf_printf(out, "| `%s` | ", setting->key);
		append_expectation(out, setting, "");
		buf_printf(out, " | %s | %s |\n",
			   setting->required  ? "required"
			   : setting->dflt[0] ? setting->dflt
					      : "none",
			   setting->help);
	}
	buf_puts(out, "\n### [[cluster.voters]]\n\n`id`, `addr` (peer link) "
		      "and, optionally, `operators` (operators' port) "
		      "of each initial voter.\n");
}
