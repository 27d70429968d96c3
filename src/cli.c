/* cli.c - subcommands of the operators' client. */
#include "cli.h"

#include <limits.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <glib.h>
#include <sodium.h>

#include "change.h"
#include "change_json.h"
#include "client.h"
#include "counter.h"
#include "settings.h"
#include "template_file.h"

#define RESEND_MS 30000L
#define WAIT_ROUND_MS 5000
#define NOT_SET INT_MIN
#define ROOT "/v1/admin/"
#define CHANGE_ID_BYTES 12u
#define TOKEN_BYTES 24u
#define PAGE_ROWS "5000"

/* Values of all options; each command takes some of them. */
static struct {
	gchar **server;
	gchar *token_file;
	gboolean json;
	gchar *change_id;
	gint64 base;
	gchar *author;
	gboolean dry_run;
	gint wait_s;
	gchar *prefix;
	gint limit;
	gchar *template_name;
	gchar **set;
	gchar **unset;
	gint priority, rate, burst, concurrency, retry_percent;
	gchar *org_token;
	gboolean new_token;
	gchar *base_model;
	gchar *org;
	gint load_ms;
	gboolean keep_current;
	gchar *from;
	gchar *url, *zone, *region;
	gint slots, max_batch;
	gboolean service, checks_fence, repeatable;
	gint id;
	gchar *caller_addr, *peer_addr;
	gboolean voter, learner;
} opt;

static GOptionEntry common_options[] = {
	{"server", 's', 0, G_OPTION_ARG_STRING_ARRAY, &opt.server,
	 "Operators' address of a daemon; repeat for more "
	 "(default: DAMASKLUG_SERVER, parted by commas)",
	 "IP:PORT"},
	{"token-file", 't', 0, G_OPTION_ARG_FILENAME, &opt.token_file,
	 "File with the operators' token (default: DAMASKLUG_TOKEN)", "FILE"},
	{"json", 'j', 0, G_OPTION_ARG_NONE, &opt.json, "Print JSON", NULL},
	{NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL},
};

static GOptionEntry change_options[] = {
	{"change-id", 0, 0, G_OPTION_ARG_STRING, &opt.change_id,
	 "Id of the change; the same id is never applied twice "
	 "(default: random)",
	 "ID"},
	{"base", 0, 0, G_OPTION_ARG_INT64, &opt.base,
	 "Revision that the change is based on (default: the current one)",
	 "REVISION"},
	{"author", 0, 0, G_OPTION_ARG_STRING, &opt.author,
	 "Author of the change (default: USER)", "NAME"},
	{"dry-run", 'n', 0, G_OPTION_ARG_NONE, &opt.dry_run,
	 "Show what would change, decide nothing", NULL},
	{"wait", 'w', 0, G_OPTION_ARG_INT, &opt.wait_s,
	 "Wait until it is in force on all live hosts, at most so long",
	 "SECONDS"},
	{NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL},
};

static GOptionEntry list_options[] = {
	{"prefix", 0, 0, G_OPTION_ARG_STRING, &opt.prefix,
	 "Only names that start with this", "TEXT"},
	{"limit", 0, 0, G_OPTION_ARG_INT, &opt.limit, "At most so many rows",
	 "N"},
	{NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL},
};

static GOptionEntry org_options[] = {
	{"template", 0, 0, G_OPTION_ARG_STRING, &opt.template_name,
	 "Template of the organisation", "NAME"},
	{"set", 0, 0, G_OPTION_ARG_STRING_ARRAY, &opt.set,
	 "Value of a parameter; repeat for more", "PARAM=VALUE"},
	{"unset", 0, 0, G_OPTION_ARG_STRING_ARRAY, &opt.unset,
	 "Parameter or setting that follows the template again", "NAME"},
	{"priority", 0, 0, G_OPTION_ARG_INT, &opt.priority,
	 "Priority, higher is more urgent", "N"},
	{"rate", 0, 0, G_OPTION_ARG_INT, &opt.rate,
	 "Requests a second; 0: no limit", "N"},
	{"burst", 0, 0, G_OPTION_ARG_INT, &opt.burst,
	 "Requests at once above the rate", "N"},
	{"concurrency", 0, 0, G_OPTION_ARG_INT, &opt.concurrency,
	 "Requests in progress; 0: no limit", "N"},
	{"retry-percent", 0, 0, G_OPTION_ARG_INT, &opt.retry_percent,
	 "Retry budget in percent of requests", "N"},
	{"org-token", 0, 0, G_OPTION_ARG_STRING, &opt.org_token,
	 "Bearer token of its callers; only the hash is sent", "TOKEN"},
	{"new-token", 0, 0, G_OPTION_ARG_NONE, &opt.new_token,
	 "Make a random token for its callers and print it", NULL},
	{NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL},
};

static GOptionEntry publish_options[] = {
	{"base-model", 0, 0, G_OPTION_ARG_STRING, &opt.base_model,
	 "Base model; needed for new adapters", "NAME"},
	{"org", 0, 0, G_OPTION_ARG_STRING, &opt.org,
	 "Organisation of new adapters (default: every one may use them)",
	 "NAME"},
	{"load-ms", 0, 0, G_OPTION_ARG_INT, &opt.load_ms,
	 "Expected time to load it", "MS"},
	{"keep-current", 0, 0, G_OPTION_ARG_NONE, &opt.keep_current,
	 "Publish without making it the current version", NULL},
	{"from", 0, 0, G_OPTION_ARG_FILENAME, &opt.from,
	 "Also all NAME[@VERSION] in this file, one a line", "FILE"},
	{"prefix", 0, 0, G_OPTION_ARG_STRING, &opt.prefix,
	 "Also the next version of all adapters with this prefix", "TEXT"},
	{NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL},
};

static GOptionEntry target_options[] = {
	{"url", 0, 0, G_OPTION_ARG_STRING, &opt.url, "http://ip:port", "URL"},
	{"zone", 0, 0, G_OPTION_ARG_STRING, &opt.zone, "Failure domain",
	 "NAME"},
	{"base-model", 0, 0, G_OPTION_ARG_STRING, &opt.base_model,
	 "Base model of a runner, name of a service", "NAME"},
	{"slots", 0, 0, G_OPTION_ARG_INT, &opt.slots,
	 "Adapter slots of a runner", "N"},
	{"max-batch", 0, 0, G_OPTION_ARG_INT, &opt.max_batch,
	 "Requests that run at once", "N"},
	{"service", 0, 0, G_OPTION_ARG_NONE, &opt.service,
	 "A plain service, not a runner", NULL},
	{"checks-fence", 0, 0, G_OPTION_ARG_NONE, &opt.checks_fence,
	 "It refuses orders with an old fencing number", NULL},
	{"repeatable", 0, 0, G_OPTION_ARG_NONE, &opt.repeatable,
	 "Calls of the service may be repeated", NULL},
	{NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL},
};

static GOptionEntry host_options[] = {
	{"id", 0, 0, G_OPTION_ARG_INT, &opt.id,
	 "Number of the host, as in its settings", "N"},
	{"zone", 0, 0, G_OPTION_ARG_STRING, &opt.zone, "Failure domain",
	 "NAME"},
	{"region", 0, 0, G_OPTION_ARG_STRING, &opt.region, "Region", "NAME"},
	{"caller-addr", 0, 0, G_OPTION_ARG_STRING, &opt.caller_addr,
	 "Address that callers connect to", "IP:PORT"},
	{"peer-addr", 0, 0, G_OPTION_ARG_STRING, &opt.peer_addr,
	 "Address of its peer link", "IP:PORT"},
	{"voter", 0, 0, G_OPTION_ARG_NONE, &opt.voter,
	 "It has a disk and votes in the log", NULL},
	{"learner", 0, 0, G_OPTION_ARG_NONE, &opt.learner,
	 "It no longer votes in the log", NULL},
	{NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL},
};

static void options_reset(void)
{
	memset(&opt, 0, sizeof(opt));
	opt.base = -1;
	opt.limit = NOT_SET;
	opt.priority = opt.rate = opt.burst = NOT_SET;
	opt.concurrency = opt.retry_percent = opt.load_ms = NOT_SET;
	opt.slots = opt.max_batch = opt.id = NOT_SET;
}

typedef struct cli cli_t;
typedef struct command {
	const char *noun;
	const char *verb; /* NULL: the noun alone */
	const char *args;
	const char *help;
	GOptionEntry *options[3]; /* besides the common ones */
	bool local;		  /* needs no server */
	int (*run)(cli_t *cli, int argc, char **argv);
} command_t;

struct cli {
	const command_t *cmd;
	client_t http;
};

static int usage(const cli_t *cli, const char *what)
{
	const command_t *c = cli->cmd;

	fprintf(stderr, "damasklug: %s\nusage: damasklug %s%s%s %s\n", what,
		c->noun, c->verb ? " " : "", c->verb ? c->verb : "", c->args);
	return CLI_USAGE;
}

/* Replies. */

static const char *text_of(const json_t *j, const char *key)
{
	const char *s = json_string_value(json_object_get(j, key));

	return s ? s : "";
}

static void print_json(const json_t *j)
{
	json_dumpf(j, stdout, JSON_INDENT(2) | JSON_PRESERVE_ORDER);
	putchar('\n');
}

/* Exit code of an answer that is no success; prints why. */
static int refused(const cli_t *cli, const json_t *reply)
{
	const json_t *error = json_object_get(reply, "error");
	const char *detail = json_is_string(error) ? json_string_value(error)
						   : text_of(error, "detail");

	fprintf(stderr, "damasklug: %s%s%s (status %ld)\n",
		text_of(error, "reason"), detail[0] ? ": " : "", detail,
		cli->http.http_status);
	switch (cli->http.http_status) {
	case 400:
	case 422:
		return CLI_REFUSED;
	case 401:
	case 403:
		return CLI_NOT_ALLOWED;
	case 404:
		return CLI_NOT_FOUND;
	case 409:
		return CLI_CONFLICT;
	case 503:
		return CLI_NOT_DECIDED;
	case 504:
		return CLI_UNKNOWN;
	default:
		return CLI_FAILED;
	}
}

static int unreachable(const cli_t *cli)
{
	fprintf(stderr, "damasklug: no server could be reached: %s\n",
		cli->http.error);
	return CLI_UNREACHABLE;
}

/* GET below /v1/admin/; an exit code, and *reply where it is CLI_OK. */
static int get(cli_t *cli, const char *path, json_t **reply)
{
	AUTO_BUF buf_t full = {0};
	int rc;

	buf_printf(&full, ROOT "%s", path);
	if (client_get(&cli->http, full.p, reply) != CLIENT_OK)
		return unreachable(cli);
	if (cli->http.http_status == 200)
		return CLI_OK;
	rc = refused(cli, *reply);
	json_decref(*reply);
	*reply = NULL;
	return rc;
}

static void url_escape(const cli_t *cli, const char *s, buf_t *out)
{
	char *escaped = curl_easy_escape(cli->http.curl, s, 0);

	buf_puts(out, escaped ? escaped : "");
	curl_free(escaped);
}

/* Tables. */

static void cell_text(const json_t *v, buf_t *out)
{
	const json_t *each;
	size_t i;

	if (json_is_string(v)) {
		buf_puts(out, json_string_value(v));
	} else if (json_is_integer(v)) {
		buf_printf(out, "%lld", (long long)json_integer_value(v));
	} else if (json_is_boolean(v)) {
		buf_puts(out, json_is_true(v) ? "yes" : "no");
	} else if (json_is_array(v)) {
		json_array_foreach(v, i, each)
		{
			buf_puts(out, i ? "," : "");
			cell_text(each, out);
		}
	} else if (json_is_object(v)) {
		AUTO_FREE char *text = json_dumps(v, JSON_COMPACT);

		buf_puts(out, text ? text : "");
	}
	if (!out->p)
		buf_puts(out, "");
}

/* Prints the columns, parted by spaces, of an array of objects. */
static void print_table(const json_t *rows, const char *columns)
{
	gchar **cols = g_strsplit(columns, " ", -1);
	guint n = g_strv_length(cols);
	AUTO_FREE size_t *width = xcalloc(n, sizeof(*width));
	size_t i;
	const json_t *row;

	for (guint c = 0; c < n; c++)
		width[c] = strlen(cols[c]);
	json_array_foreach(rows, i, row)
	{
		for (guint c = 0; c < n; c++) {
			AUTO_BUF buf_t cell = {0};

			cell_text(json_object_get(row, cols[c]), &cell);
			if (cell.n > width[c])
				width[c] = cell.n;
		}
	}
	for (guint c = 0; c < n; c++)
		printf("%-*s%s", c + 1 < n ? (int)width[c] : 0, cols[c],
		       c + 1 < n ? "  " : "\n");
	json_array_foreach(rows, i, row)
	{
		for (guint c = 0; c < n; c++) {
			AUTO_BUF buf_t cell = {0};

			cell_text(json_object_get(row, cols[c]), &cell);
			printf("%-*s%s", c + 1 < n ? (int)width[c] : 0, cell.p,
			       c + 1 < n ? "  " : "\n");
		}
	}
	g_strfreev(cols);
}

static const struct {
	const char *noun;
	const char *path;
	const char *columns;
} nouns[] = {
	{"template", "templates", "name priority rate_per_s adapters"},
	{"org", "orgs",
	 "name template priority rate_per_s burst concurrency retry_percent "
	 "has_token"},
	{"adapter", "adapters", "name base org current_version versions"},
	{"target", "targets",
	 "name kind state base zone slots max_batch owner fence url"},
	{"host", "hosts",
	 "name id zone region voter draining caller_addr peer_addr"},
};

static size_t noun_of(const cli_t *cli)
{
	size_t i = 0;

	while (strcmp(nouns[i].noun, cli->cmd->noun))
		i++;
	return i;
}

/* All pages of a list in one array, or at most limit rows. */
static int get_rows(cli_t *cli, const char *path, const char *prefix,
		    size_t limit, json_t **rows)
{
	json_int_t after = 0;
	json_t *page;
	int rc;

	*rows = json_array();
	do {
		AUTO_BUF buf_t query = {0};

		buf_printf(&query, "%s?limit=%s&after=%lld&prefix=", path,
			   PAGE_ROWS, (long long)after);
		url_escape(cli, prefix ? prefix : "", &query);
		rc = get(cli, query.p, &page);
		if (rc)
			return rc;
		json_array_extend(*rows, json_object_get(page, path));
		after = json_integer_value(json_object_get(page, "next"));
		json_decref(page);
	} while (after && json_array_size(*rows) < limit);
	while (json_array_size(*rows) > limit)
		json_array_remove(*rows, json_array_size(*rows) - 1);
	return CLI_OK;
}

static int cmd_list(cli_t *cli, int argc, char **argv)
{
	size_t i = noun_of(cli);
	size_t limit = opt.limit >= 0 ? (size_t)opt.limit : SIZE_MAX;
	json_t *rows = NULL;
	int rc;

	if (argc)
		return usage(cli, "too many arguments");
	rc = get_rows(cli, nouns[i].path, opt.prefix, limit, &rows);
	if (rc == CLI_OK && opt.json)
		print_json(rows);
	else if (rc == CLI_OK)
		print_table(rows, nouns[i].columns);
	json_decref(rows);
	return rc;
}

static void print_members(const json_t *j)
{
	const char *key;
	json_t *value;

	json_object_foreach((json_t *)j, key, value)
	{
		AUTO_BUF buf_t cell = {0};

		cell_text(value, &cell);
		printf("%-16s %s\n", key, cell.p);
	}
}

static int show(cli_t *cli, const char *path, const char *name)
{
	AUTO_BUF buf_t full = {0};
	json_t *row;
	int rc;

	buf_printf(&full, "%s/", path);
	url_escape(cli, name, &full);
	rc = get(cli, full.p, &row);
	if (rc)
		return rc;
	if (opt.json)
		print_json(row);
	else
		print_members(row);
	json_decref(row);
	return CLI_OK;
}

static int cmd_show(cli_t *cli, int argc, char **argv)
{
	if (argc != 1)
		return usage(cli, "one name is needed");
	return show(cli, nouns[noun_of(cli)].path, argv[0]);
}

/* Changes. */

static void random_hex(size_t bytes, char *out)
{
	unsigned char raw[64];

	randombytes_buf(raw, bytes);
	sodium_bin2hex(out, 2 * bytes + 1, raw, bytes);
}

static void print_differences(const json_t *list)
{
	const json_t *d;
	size_t i;

	json_array_foreach(list, i, d)
	{
		const char *field;
		json_t *pair;

		printf("%s %s %s\n", text_of(d, "table"), text_of(d, "name"),
		       text_of(d, "kind"));
		json_object_foreach(json_object_get(d, "fields"), field, pair)
		{
			AUTO_BUF buf_t before = {0};
			AUTO_BUF buf_t after = {0};

			cell_text(json_array_get(pair, 0), &before);
			cell_text(json_array_get(pair, 1), &after);
			printf("  %-16s %s -> %s\n", field, before.p, after.p);
		}
	}
}

/* Revision that a change starts from; an exit code. */
static int read_base(cli_t *cli, json_int_t *base)
{
	json_t *j;
	int rc;

	*base = opt.base;
	if (opt.base >= 0)
		return CLI_OK;
	rc = get(cli, "changes?limit=1", &j);
	if (rc)
		return rc;
	*base = json_integer_value(json_object_get(j, "revision"));
	json_decref(j);
	return CLI_OK;
}

static void print_not_in_force(const json_t *reply)
{
	AUTO_BUF buf_t lacking = {0};

	cell_text(json_object_get(reply, "lacking"), &lacking);
	fprintf(stderr, "damasklug: not in force on: %s\n",
		lacking.n ? lacking.p : "(the leader cannot be reached)");
}

static int64_t now_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

/* One question to the leader, found by way of any server. */
static json_t *ask_leader(cli_t *cli, const char *path, char **leader)
{
	json_t *reply = NULL;
	const char *addr;

	if (*leader &&
	    client_get_at(&cli->http, *leader, path, &reply) == CLIENT_OK &&
	    cli->http.http_status == 200)
		return reply;
	json_decref(reply);
	reply = NULL;
	if (client_get(&cli->http, path, &reply) == CLIENT_OK &&
	    cli->http.http_status == 200)
		return reply;
	addr = text_of(json_object_get(reply, "error"), "leader");
	free(*leader);
	*leader = addr[0] ? str_dup(str_c(addr)) : NULL;
	json_decref(reply);
	return NULL;
}

static int wait_in_force(cli_t *cli, json_int_t revision)
{
	const struct timespec pause = {0, 50 * 1000000L};
	int64_t end = now_ms() + opt.wait_s * 1000LL;
	AUTO_FREE char *leader = NULL;
	json_t *last = NULL;

	for (;;) {
		int64_t left = end - now_ms();
		AUTO_BUF buf_t path = {0};
		json_t *reply;

		buf_printf(&path, ROOT "revisions?revision=%lld&wait_ms=%lld",
			   (long long)revision,
			   (long long)(left < 0		      ? 0
				       : left < WAIT_ROUND_MS ? left
							      : WAIT_ROUND_MS));
		reply = ask_leader(cli, path.p, &leader);
		if (reply) {
			json_decref(last);
			last = reply;
		}
		if (reply && json_is_true(json_object_get(reply, "in_force")))
			break;
		if (left <= 0) {
			print_not_in_force(last);
			json_decref(last);
			return CLI_NOT_IN_FORCE;
		}
		if (!reply)
			nanosleep(&pause, NULL);
	}
	if (!opt.json)
		printf("in force on %zu live hosts\n",
		       json_array_size(json_object_get(last, "hosts")));
	json_decref(last);
	return CLI_OK;
}

static int report(cli_t *cli, const json_t *reply, const char *change_id)
{
	json_int_t revision =
		json_integer_value(json_object_get(reply, "revision"));

	if (opt.json)
		print_json(reply);
	if (cli->http.http_status != 200)
		return refused(cli, reply);
	if (opt.dry_run) {
		if (!opt.json)
			print_differences(
				json_object_get(reply, "differences"));
		return CLI_OK;
	}
	if (!opt.json)
		printf("accepted%s: revision %lld, change %s\n",
		       json_is_true(json_object_get(reply, "resent"))
			       ? " before"
			       : "",
		       (long long)revision, change_id);
	return opt.wait_s > 0 ? wait_in_force(cli, revision) : CLI_OK;
}

static int post(cli_t *cli, const json_t *body, const char *change_id)
{
	AUTO_FREE char *text = json_dumps(body, JSON_COMPACT);
	json_t *reply = NULL;
	int rc;

	switch (client_post(&cli->http, ROOT "change", text, RESEND_MS,
			    &reply)) {
	case CLIENT_UNREACHABLE:
		return unreachable(cli);
	case CLIENT_LOST:
		fprintf(stderr,
			"damasklug: the reply was lost (%s); run again with "
			"--change-id %s\n",
			cli->http.error, change_id);
		json_decref(reply);
		return CLI_UNKNOWN;
	case CLIENT_OK:
		break;
	}
	rc = report(cli, reply, change_id);
	json_decref(reply);
	return rc;
}

/* Sends operations as one change; takes the reference to ops. */
static int submit(cli_t *cli, json_t *ops)
{
	char random_id[2 * CHANGE_ID_BYTES + 1];
	const char *author = opt.author ? opt.author : g_get_user_name();
	const char *id = opt.change_id ? opt.change_id : random_id;
	json_int_t base;
	json_t *body;
	int rc = read_base(cli, &base);

	if (rc) {
		json_decref(ops);
		return rc;
	}
	random_hex(CHANGE_ID_BYTES, random_id);
	body = json_pack("{s:s, s:I, s:s, s:b, s:o}", "change_id", id,
			 "base_revision", base, "author", author, "dry_run",
			 opt.dry_run, "ops", ops);
	rc = post(cli, body, id);
	json_decref(body);
	return rc;
}

/* Appends {name: value}; takes the reference to value. */
static void add_op(json_t *ops, const char *name, json_t *value)
{
	json_array_append_new(ops, json_pack("{s:o}", name, value));
}

/* One operation NOUN_VERB for each name. */
static int cmd_named(cli_t *cli, int argc, char **argv)
{
	AUTO_BUF buf_t name = {0};
	json_t *ops;

	if (!argc)
		return usage(cli, "a name is needed");
	buf_printf(&name, "%s_%s", cli->cmd->noun, cli->cmd->verb);
	ops = json_array();
	for (int i = 0; i < argc; i++)
		add_op(ops, name.p, json_text(str_c(argv[i])));
	return submit(cli, ops);
}

static int cmd_template_put(cli_t *cli, int argc, char **argv)
{
	json_t *ops = json_array();

	for (int i = 0; i < argc; i++) {
		AUTO_BUF buf_t errors = {0};
		json_t *t = template_file_load(argv[i], &errors);

		if (!t) {
			fputs(errors.p, stderr);
			json_decref(ops);
			return CLI_USAGE;
		}
		add_op(ops, "template_put", t);
	}
	if (argc)
		return submit(cli, ops);
	json_decref(ops);
	return usage(cli, "a file is needed");
}

static void set_int(json_t *j, const char *key, gint v)
{
	if (v != NOT_SET)
		json_object_set_new(j, key, json_integer(v));
}

static void set_text(json_t *j, const char *key, const gchar *v)
{
	if (v)
		json_object_set_new(j, key, json_text(str_c(v)));
}

static void set_flag(json_t *j, const char *key, gboolean v)
{
	if (v)
		json_object_set_new(j, key, json_true());
}

/* --set PARAM=VALUE; -1 on one without '='. */
static int add_params(json_t *params)
{
	for (gchar **s = opt.set; s && *s; s++) {
		str_t key, value;
		AUTO_FREE char *name = NULL;

		if (!str_split(str_c(*s), '=', &key, &value))
			return -1;
		name = str_dup(key);
		json_object_set_new(params, name, json_text(value));
	}
	return 0;
}

static void add_token(json_t *org, const char *token)
{
	uint8_t hash[TOKEN_HASH_BYTES];
	char hex[2 * TOKEN_HASH_BYTES + 1];

	token_hash(str_c(token), hash);
	sodium_bin2hex(hex, sizeof(hex), hash, sizeof(hash));
	json_object_set_new(org, "token_hash", json_string(hex));
}

/* The organisation as the options give it; NULL on a bad --set. */
static json_t *org_json(const char *name)
{
	json_t *params = json_object();
	json_t *settings = json_pack("{s:o}", "params", params);
	json_t *org =
		json_pack("{s:s, s:o}", "name", name, "settings", settings);

	set_text(org, "template", opt.template_name);
	set_int(settings, "priority", opt.priority);
	set_int(settings, "rate_per_s", opt.rate);
	set_int(settings, "burst", opt.burst);
	set_int(settings, "concurrency", opt.concurrency);
	set_int(settings, "retry_percent", opt.retry_percent);
	if (opt.unset)
		json_object_set_new(org, "unset", json_array());
	for (gchar **s = opt.unset; s && *s; s++)
		json_array_append_new(json_object_get(org, "unset"),
				      json_text(str_c(*s)));
	if (add_params(params) == 0)
		return org;
	json_decref(org);
	return NULL;
}

static int cmd_org_put(cli_t *cli, int argc, char **argv)
{
	bool create = strcmp(cli->cmd->verb, "create") == 0;
	char token[2 * TOKEN_BYTES + 1] = "";
	json_t *ops, *org;
	int rc;

	if (argc != 1)
		return usage(cli, "one name is needed");
	org = org_json(argv[0]);
	if (!org)
		return usage(cli, "--set needs PARAM=VALUE");
	if (opt.org_token)
		add_token(org, opt.org_token);
	if (opt.new_token) {
		random_hex(TOKEN_BYTES, token);
		add_token(org, token);
	}
	ops = json_array();
	add_op(ops, create ? "org_create" : "org_set", org);
	rc = submit(cli, ops);
	/* Also after an unknown outcome: the token may be in use. */
	if (token[0] && !opt.dry_run &&
	    (rc == CLI_OK || rc == CLI_UNKNOWN || rc == CLI_NOT_IN_FORCE))
		printf("token: %s\n", token);
	return rc;
}

/* The publish operation that the options give, without names. */
static json_t *publish_json(uint64_t version)
{
	json_t *p = json_pack("{s:[]}", "names");

	set_text(p, "base", opt.base_model);
	set_text(p, "org", opt.org);
	set_int(p, "load_ms", opt.load_ms);
	set_flag(p, "keep_current", opt.keep_current);
	if (version)
		json_object_set_new(p, "version",
				    json_integer((json_int_t)version));
	return p;
}

/* Adds NAME[@VERSION], to the last operation where that has its version. */
static int add_publish(json_t *ops, str_t spec)
{
	json_t *last = json_array_get(ops, json_array_size(ops) - 1);
	json_t *p = json_object_get(last, "adapter_publish");
	uint64_t version = 0;
	str_t name, tail;

	if (str_split(spec, '@', &name, &tail) &&
	    (str_to_u64(tail, &version) || !version || version > UINT32_MAX))
		return -1;
	if (!p || (uint64_t)json_integer_value(json_object_get(p, "version")) !=
			  version) {
		p = publish_json(version);
		add_op(ops, "adapter_publish", p);
	}
	json_array_append_new(json_object_get(p, "names"), json_text(name));
	return 0;
}

static int add_publish_file(json_t *ops, const char *path)
{
	gchar *data = NULL;
	gsize n = 0;
	str_t rest, line;
	int rc = 0;

	if (!g_file_get_contents(path, &data, &n, NULL)) {
		fprintf(stderr, "damasklug: %s cannot be read\n", path);
		return -1;
	}
	rest = str_n(data, n);
	for (unsigned int at = 1; rest.n && !rc; at++) {
		str_split(rest, '\n', &line, &rest);
		if (line.n && add_publish(ops, line)) {
			fprintf(stderr, "%s:%u: expected NAME[@VERSION]\n",
				path, at);
			rc = -1;
		}
	}
	g_free(data);
	return rc;
}

static int add_publish_prefix(cli_t *cli, json_t *ops, const char *prefix)
{
	json_t *rows = NULL;
	const json_t *row;
	size_t i;
	int rc = get_rows(cli, "adapters", prefix, SIZE_MAX, &rows);

	json_array_foreach(rows, i, row)
		add_publish(ops, str_c(text_of(row, "name")));
	json_decref(rows);
	return rc;
}

static int cmd_publish(cli_t *cli, int argc, char **argv)
{
	json_t *ops = json_array();
	int rc = CLI_OK;

	for (int i = 0; i < argc && !rc; i++)
		if (add_publish(ops, str_c(argv[i])))
			rc = usage(cli, "expected NAME[@VERSION]");
	if (!rc && opt.from && add_publish_file(ops, opt.from))
		rc = CLI_USAGE;
	if (!rc && opt.prefix)
		rc = add_publish_prefix(cli, ops, opt.prefix);
	if (!rc && !json_array_size(ops))
		rc = usage(cli, "an adapter is needed");
	if (!rc)
		return submit(cli, ops);
	json_decref(ops);
	return rc;
}

/* adapter retire|pin NAME@VERSION... */
static int cmd_version(cli_t *cli, int argc, char **argv)
{
	AUTO_BUF buf_t op = {0};
	json_t *ops = json_array();

	buf_printf(&op, "adapter_%s", cli->cmd->verb);
	for (int i = 0; i < argc; i++) {
		str_t name, tail;
		uint64_t version;

		if (!str_split(str_c(argv[i]), '@', &name, &tail) ||
		    str_to_u64(tail, &version) || version > UINT32_MAX) {
			json_decref(ops);
			return usage(cli, "expected NAME@VERSION");
		}
		add_op(ops, op.p,
		       json_pack("{s:o, s:I}", "name", json_text(name),
				 "version", (json_int_t)version));
	}
	if (argc)
		return submit(cli, ops);
	json_decref(ops);
	return usage(cli, "an adapter is needed");
}

static int cmd_target_put(cli_t *cli, int argc, char **argv)
{
	json_t *ops, *t;

	if (argc != 1)
		return usage(cli, "one name is needed");
	t = json_pack("{s:s}", "name", argv[0]);
	set_text(t, "url", opt.url);
	set_text(t, "zone", opt.zone);
	set_text(t, "base", opt.base_model);
	set_int(t, "slots", opt.slots);
	set_int(t, "max_batch", opt.max_batch);
	set_flag(t, "service", opt.service);
	set_flag(t, "checks_fence", opt.checks_fence);
	set_flag(t, "repeatable", opt.repeatable);
	ops = json_array();
	add_op(ops, "target_put", t);
	return submit(cli, ops);
}

static int cmd_host_put(cli_t *cli, int argc, char **argv)
{
	json_t *ops, *h;

	if (argc != 1)
		return usage(cli, "one name is needed");
	if (opt.voter && opt.learner)
		return usage(cli, "--voter and --learner exclude each other");
	h = json_pack("{s:s}", "name", argv[0]);
	set_int(h, "id", opt.id);
	set_text(h, "zone", opt.zone);
	set_text(h, "region", opt.region);
	set_text(h, "caller_addr", opt.caller_addr);
	set_text(h, "peer_addr", opt.peer_addr);
	if (opt.voter || opt.learner)
		json_object_set_new(h, "voter", json_boolean(opt.voter));
	ops = json_array();
	add_op(ops, "host_put", h);
	return submit(cli, ops);
}

static int cmd_change_apply(cli_t *cli, int argc, char **argv)
{
	json_error_t where;
	json_t *j, *ops;

	if (argc != 1)
		return usage(cli, "one file is needed");
	j = json_load_file(argv[0], JSON_REJECT_DUPLICATES, &where);
	ops = json_is_array(j) ? j : json_object_get(j, "ops");
	if (!json_is_array(ops)) {
		fprintf(stderr, "%s:%d: %s\n", argv[0], j ? 1 : where.line,
			j ? "expected an array of operations" : where.text);
		json_decref(j);
		return CLI_USAGE;
	}
	json_incref(ops);
	json_decref(j);
	return submit(cli, ops);
}

static int cmd_change_list(cli_t *cli, int argc, char **argv)
{
	AUTO_BUF buf_t path = {0};
	json_t *j;
	int rc;

	if (argc)
		return usage(cli, "too many arguments");
	buf_printf(&path, "changes?limit=%d", opt.limit >= 0 ? opt.limit : 50);
	rc = get(cli, path.p, &j);
	if (rc)
		return rc;
	if (opt.json)
		print_json(j);
	else
		print_table(json_object_get(j, "changes"),
			    "revision change_id author summary");
	json_decref(j);
	return CLI_OK;
}

static int cmd_change_show(cli_t *cli, int argc, char **argv)
{
	if (argc != 1)
		return usage(cli, "one revision or change id is needed");
	return show(cli, "changes", argv[0]);
}

static int cmd_change_diff(cli_t *cli, int argc, char **argv)
{
	AUTO_BUF buf_t path = {0};
	uint64_t from, to;
	json_t *j;
	int rc;

	if (argc != 2 || str_to_u64(str_c(argv[0]), &from) ||
	    str_to_u64(str_c(argv[1]), &to))
		return usage(cli, "two revisions are needed");
	buf_printf(&path, "diff?from=%llu&to=%llu", (unsigned long long)from,
		   (unsigned long long)to);
	rc = get(cli, path.p, &j);
	if (rc)
		return rc;
	if (opt.json)
		print_json(j);
	else
		print_table(json_object_get(j, "changes"),
			    "revision change_id author summary ops");
	if (!json_is_true(json_object_get(j, "whole")))
		fprintf(stderr, "damasklug: some are kept no longer\n");
	json_decref(j);
	return CLI_OK;
}

/* Status and the like. */

static void print_status(const json_t *j)
{
	const json_t *in_force = json_object_get(j, "in_force");
	AUTO_BUF buf_t absent = {0};

	printf("revision %lld\n",
	       (long long)json_integer_value(json_object_get(j, "revision")));
	for (size_t i = 0; i < ARRAY_SIZE(nouns); i++)
		printf("%s %lld\n", nouns[i].path,
		       (long long)json_integer_value(
			       json_object_get(j, nouns[i].path)));
	if (json_object_get(in_force, "leader")) {
		printf("leader %s (ask it for the hosts' revisions)\n",
		       text_of(in_force, "leader"));
	} else {
		print_table(json_object_get(in_force, "hosts"),
			    "host id revision index");
		cell_text(json_object_get(in_force, "absent"), &absent);
		if (absent.n)
			printf("absent: %s\n", absent.p);
	}
	print_json(json_object_get(j, "daemon"));
}

static int cmd_status(cli_t *cli, int argc, char **argv)
{
	json_t *j, *at_leader = NULL;
	const char *leader;
	int rc;

	if (argc)
		return usage(cli, "too many arguments");
	rc = get(cli, "status", &j);
	if (rc)
		return rc;
	leader = text_of(json_object_get(j, "in_force"), "leader");
	if (leader[0] &&
	    client_get_at(&cli->http, leader, ROOT "revisions", &at_leader) ==
		    CLIENT_OK &&
	    cli->http.http_status == 200)
		json_object_set(j, "in_force", at_leader);
	json_decref(at_leader);
	if (opt.json)
		print_json(j);
	else
		print_status(j);
	json_decref(j);
	return CLI_OK;
}

static int cmd_explain(cli_t *cli, int argc, char **argv)
{
	AUTO_BUF buf_t path = {0};
	json_t *j;
	int rc;

	if (argc != 1)
		return usage(cli, "one adapter is needed");
	buf_puts(&path, "explain?model=");
	url_escape(cli, argv[0], &path);
	rc = get(cli, path.p, &j);
	if (rc)
		return rc;
	print_json(j);
	json_decref(j);
	return CLI_OK;
}

/* Without a host: the daemon that is asked drains and ends. */
static int cmd_drain(cli_t *cli, int argc, char **argv)
{
	json_t *reply, *ops;
	int rc;

	if (argc > 1)
		return usage(cli, "too many arguments");
	if (argc == 1) {
		ops = json_array();
		add_op(ops, "host_drain", json_text(str_c(argv[0])));
		return submit(cli, ops);
	}
	if (cli->http.n_servers != 1)
		return usage(cli, "exactly one --server is needed");
	if (client_post(&cli->http, ROOT "drain", "{}", RESEND_MS, &reply) !=
	    CLIENT_OK)
		return unreachable(cli);
	rc = cli->http.http_status == 202 ? CLI_OK : refused(cli, reply);
	if (rc == CLI_OK)
		printf("draining\n");
	json_decref(reply);
	return rc;
}

static int check_file(const char *path)
{
	AUTO_BUF buf_t errors = {0};
	json_t *t;
	int rc;

	if (template_file_is(path)) {
		t = template_file_load(path, &errors);
		rc = t ? 0 : -1;
		json_decref(t);
	} else {
		rc = settings_check_file(path, &errors);
	}
	if (rc)
		fputs(errors.p ? errors.p : "", stderr);
	else
		printf("%s: ok\n", path);
	return rc;
}

static int cmd_check(cli_t *cli, int argc, char **argv)
{
	int rc = CLI_OK;

	if (!argc)
		return usage(cli, "a file is needed");
	for (int i = 0; i < argc; i++)
		if (check_file(argv[i]))
			rc = CLI_USAGE;
	return rc;
}

/* Pages. */

static const char *run_text(run_state_t run)
{
	return run == RUN_NO ? "no" : run == RUN_YES ? "yes" : "unknown";
}

void cli_reasons_page(buf_t *out)
{
	buf_puts(out,
		 "# Refusal and retry reasons\n\n"
		 "Made by `damasklug reasons` from the table in the code.\n\n"
		 "## Refusals and failures\n\n"
		 "`run` says whether the request has run at a target: no, yes, "
		 "or unknown.\nEach is counted as "
		 "`damasklug_refused_total{reason=\"...\"}`.\n\n"
		 "| reason | status | run | retry after | meaning; what to do "
		 "|\n|---|---|---|---|---|\n");
	for (unsigned int r = 1; r < REASON_COUNT; r++) {
		const reason_info_t *i = reason_info((reason_t)r);

		buf_printf(out, "| `%s` | %d | %s | ", i->name, i->http_status,
			   run_text(i->run));
		if (i->retry_ms)
			buf_printf(out, "%u ms", i->retry_ms);
		else
			buf_puts(out, "-");
		buf_printf(out, " | %s |\n", i->help);
	}
	buf_puts(out, "\n## Retries\n\nEach is counted as "
		      "`damasklug_retried_total{reason=\"...\"}`.\n\n"
		      "| reason | meaning |\n|---|---|\n");
	for (unsigned int r = 0; r < RETRY_REASON_COUNT; r++)
		buf_printf(out, "| `%s` | %s |\n",
			   retry_reason_name((retry_reason_t)r),
			   retry_reason_help((retry_reason_t)r));
}

void cli_counters_page(buf_t *out)
{
	buf_puts(out, "# Counters\n\n"
		      "Made by `damasklug counters` from the table in the "
		      "code. Read them as Prometheus\ntext from `/metrics` on "
		      "the operators' port; refusals and retries by reason "
		      "are\non [their own page](reasons.md).\n\n"
		      "| counter | meaning |\n|---|---|\n");
	for (unsigned int c = 0; c < CTR_COUNT; c++)
		buf_printf(out, "| `damasklug_%s_total` | %s |\n",
			   counter_name((counter_t)c),
			   counter_help((counter_t)c));
}

static int print_page(void (*page)(buf_t *out))
{
	AUTO_BUF buf_t out = {0};

	page(&out);
	fputs(out.p, stdout);
	return CLI_OK;
}

static int cmd_reasons(cli_t *cli, int argc, char **argv)
{
	return print_page(cli_reasons_page);
}

static int cmd_counters(cli_t *cli, int argc, char **argv)
{
	return print_page(cli_counters_page);
}

static int cmd_manual(cli_t *cli, int argc, char **argv)
{
	return print_page(cli_manual);
}

/* The table of subcommands. */

#define CHANGES                \
	{                      \
		change_options \
	}
#define LIST                 \
	{                    \
		list_options \
	}

static const command_t commands[] = {
	{"template", "list", "", "Lists templates", LIST, false, cmd_list},
	{"template", "show", "NAME", "Shows a template", {0}, false, cmd_show},
	{"template", "put", "FILE...",
	 "Creates or replaces templates, with all organisations that use them",
	 CHANGES, false, cmd_template_put},
	{"template", "del", "NAME...", "Deletes unused templates", CHANGES,
	 false, cmd_named},
	{"org", "list", "", "Lists organisations", LIST, false, cmd_list},
	{"org", "show", "NAME", "Shows an organisation", {0}, false, cmd_show},
	{"org",
	 "create",
	 "NAME",
	 "Creates an organisation, from a template",
	 {change_options, org_options},
	 false,
	 cmd_org_put},
	{"org",
	 "set",
	 "NAME",
	 "Changes an organisation",
	 {change_options, org_options},
	 false,
	 cmd_org_put},
	{"org", "del", "NAME...", "Deletes organisations without adapters",
	 CHANGES, false, cmd_named},
	{"adapter", "list", "", "Lists adapters", LIST, false, cmd_list},
	{"adapter", "show", "NAME", "Shows an adapter", {0}, false, cmd_show},
	{"adapter",
	 "publish",
	 "NAME[@VERSION]...",
	 "Publishes a new version, and makes it the current one",
	 {change_options, publish_options},
	 false,
	 cmd_publish},
	{"adapter", "retire", "NAME@VERSION...", "Retires versions", CHANGES,
	 false, cmd_version},
	{"adapter", "pin", "NAME@VERSION...",
	 "Makes a published version the current one", CHANGES, false,
	 cmd_version},
	{"adapter", "del", "NAME...", "Deletes adapters", CHANGES, false,
	 cmd_named},
	{"target", "list", "", "Lists targets", LIST, false, cmd_list},
	{"target", "show", "NAME", "Shows a target", {0}, false, cmd_show},
	{"target",
	 "put",
	 "NAME",
	 "Creates or changes a target",
	 {change_options, target_options},
	 false,
	 cmd_target_put},
	{"target", "drain", "NAME...", "No new work for targets", CHANGES,
	 false, cmd_named},
	{"target", "undrain", "NAME...", "New work for targets again", CHANGES,
	 false, cmd_named},
	{"target", "del", "NAME...", "Deletes targets", CHANGES, false,
	 cmd_named},
	{"host", "list", "", "Lists hosts", LIST, false, cmd_list},
	{"host", "show", "NAME", "Shows a host", {0}, false, cmd_show},
	{"host",
	 "put",
	 "NAME",
	 "Creates or changes a host",
	 {change_options, host_options},
	 false,
	 cmd_host_put},
	{"host", "drain", "NAME...", "No new requests for hosts", CHANGES,
	 false, cmd_named},
	{"host", "undrain", "NAME...", "New requests for hosts again", CHANGES,
	 false, cmd_named},
	{"host", "del", "NAME...", "Deletes hosts", CHANGES, false, cmd_named},
	{"change", "list", "", "Lists the latest changes", LIST, false,
	 cmd_change_list},
	{"change",
	 "show",
	 "REVISION|ID",
	 "Shows a change",
	 {0},
	 false,
	 cmd_change_show},
	{"change",
	 "diff",
	 "FROM TO",
	 "Shows the changes between revisions",
	 {0},
	 false,
	 cmd_change_diff},
	{"change", "apply", "FILE", "Sends operations in JSON as one change",
	 CHANGES, false, cmd_change_apply},
	{"status",
	 NULL,
	 "",
	 "Shows revisions, hosts and the daemon's state",
	 {0},
	 false,
	 cmd_status},
	{"explain",
	 NULL,
	 "ADAPTER[@VERSION]",
	 "Says where a request would go, with scores",
	 {0},
	 false,
	 cmd_explain},
	{"drain", NULL, "[HOST]",
	 "Drains a host by a change, or the daemon asked", CHANGES, false,
	 cmd_drain},
	{"check",
	 NULL,
	 "FILE...",
	 "Checks settings and template files offline",
	 {0},
	 true,
	 cmd_check},
	{"reasons",
	 NULL,
	 "",
	 "Prints the page of refusal reasons",
	 {0},
	 true,
	 cmd_reasons},
	{"counters",
	 NULL,
	 "",
	 "Prints the page of counters",
	 {0},
	 true,
	 cmd_counters},
	{"manual",
	 NULL,
	 "",
	 "Prints the page of subcommands",
	 {0},
	 true,
	 cmd_manual},
};

static void print_command(buf_t *out, const command_t *c)
{
	AUTO_BUF buf_t left = {0};

	buf_printf(&left, "%s %s%s%s", c->noun, c->verb ? c->verb : "",
		   c->verb ? " " : "", c->args);
	buf_printf(out, "  %-38s %s\n", left.p, c->help);
}

static void print_usage(buf_t *out)
{
	buf_puts(out, "usage: damasklug COMMAND [ARGUMENT...] [OPTION...]\n\n");
	buf_printf(out, "  %-38s %s\n", "serve --config FILE",
		   "Runs the daemon of one host");
	for (size_t i = 0; i < ARRAY_SIZE(commands); i++)
		print_command(out, &commands[i]);
	buf_puts(out, "\n'damasklug COMMAND --help' lists its options.\n\n"
		      "Exit codes:\n");
#define X(name, code, help) buf_printf(out, "  %2d  %s\n", code, help);
	CLI_EXITS(X)
#undef X
}

static void manual_options(buf_t *out, const GOptionEntry *e)
{
	for (; e && e->long_name; e++)
		buf_printf(out, "- `--%s%s%s`: %s\n", e->long_name,
			   e->arg_description ? " " : "",
			   e->arg_description ? e->arg_description : "",
			   e->description);
}

void cli_manual(buf_t *out)
{
	buf_puts(out, "# Subcommands\n\nMade by `damasklug manual` from the "
		      "tables in the code.\n\n```\n");
	print_usage(out);
	buf_puts(out, "```\n\n## Options of all commands\n\n");
	manual_options(out, common_options);
	buf_puts(out, "\n## Options of commands that change something\n\n");
	manual_options(out, change_options);
	buf_puts(out, "\n## Options of `list`\n\n");
	manual_options(out, list_options);
	buf_puts(out, "\n## Options of `org create` and `org set`\n\n");
	manual_options(out, org_options);
	buf_puts(out, "\n## Options of `adapter publish`\n\n");
	manual_options(out, publish_options);
	buf_puts(out, "\n## Options of `target put`\n\n");
	manual_options(out, target_options);
	buf_puts(out, "\n## Options of `host put`\n\n");
	manual_options(out, host_options);
}

static const command_t *find_command(int argc, char **argv)
{
	for (size_t i = 0; i < ARRAY_SIZE(commands); i++) {
		const command_t *c = &commands[i];

		if (argc < 2 || strcmp(argv[1], c->noun))
			continue;
		if (!c->verb || (argc > 2 && !strcmp(argv[2], c->verb)))
			return c;
	}
	return NULL;
}

static int read_token(client_t *http)
{
	const char *env = g_getenv("DAMASKLUG_TOKEN");
	gchar *data = NULL;

	if (!opt.token_file) {
		http->token = str_dup(str_c(env));
		return 0;
	}
	if (!g_file_get_contents(opt.token_file, &data, NULL, NULL)) {
		fprintf(stderr, "damasklug: %s cannot be read\n",
			opt.token_file);
		return -1;
	}
	http->token = str_dup(str_c(g_strstrip(data)));
	g_free(data);
	return 0;
}

/* Servers and token from options and environment; an exit code. */
static int connect_servers(cli_t *cli)
{
	const char *env = g_getenv("DAMASKLUG_SERVER");
	int rc = 0;

	if (client_init(&cli->http))
		return CLI_FAILED;
	for (gchar **s = opt.server; s && *s; s++)
		rc |= client_add_servers(&cli->http, *s);
	if (!opt.server && env)
		rc |= client_add_servers(&cli->http, env);
	if (rc)
		return usage(cli, "a server must be ip:port");
	if (!cli->http.n_servers)
		return usage(cli, "--server or DAMASKLUG_SERVER is needed");
	return read_token(&cli->http) ? CLI_USAGE : CLI_OK;
}

static int run_command(const command_t *cmd, int argc, char **argv)
{
	cli_t cli = {.cmd = cmd};
	int rc = CLI_OK;

	if (!cmd->local)
		rc = connect_servers(&cli);
	if (rc == CLI_OK)
		rc = cmd->run(&cli, argc, argv);
	if (!cmd->local)
		client_free(&cli.http);
	return rc;
}

static int parse_and_run(const command_t *cmd, int argc, char **argv)
{
	AUTO_BUF buf_t summary = {0};
	GOptionContext *ctx = g_option_context_new(cmd->args);
	GError *error = NULL;
	int words = cmd->verb ? 2 : 1;
	int rc;

	options_reset();
	buf_printf(&summary, "damasklug %s %s: %s.", cmd->noun,
		   cmd->verb ? cmd->verb : "", cmd->help);
	g_option_context_set_summary(ctx, summary.p);
	g_option_context_add_main_entries(ctx, common_options, NULL);
	for (size_t i = 0; i < ARRAY_SIZE(cmd->options); i++)
		if (cmd->options[i])
			g_option_context_add_main_entries(ctx, cmd->options[i],
							  NULL);
	if (g_option_context_parse(ctx, &argc, &argv, &error)) {
		rc = run_command(cmd, argc - 1 - words, argv + 1 + words);
	} else {
		fprintf(stderr, "damasklug: %s\n", error->message);
		g_error_free(error);
		rc = CLI_USAGE;
	}
	g_option_context_free(ctx);
	return rc;
}

static bool is_any(const char *arg, const char *a, const char *b)
{
	return strcmp(arg, a) == 0 || strcmp(arg, b) == 0;
}

int cli_main(int argc, char **argv)
{
	const command_t *cmd = find_command(argc, argv);
	AUTO_BUF buf_t text = {0};

	if (sodium_init() < 0)
		return CLI_FAILED;
	if (cmd)
		return parse_and_run(cmd, argc, argv);
	if (argc == 2 && strcmp(argv[1], "--version") == 0) {
		printf("damasklug %s\n", DAMASKLUG_VERSION);
		return CLI_OK;
	}
	print_usage(&text);
	if (argc == 2 && is_any(argv[1], "--help", "help")) {
		fputs(text.p, stdout);
		return CLI_OK;
	}
	fputs(text.p, stderr);
	return CLI_USAGE;
}
