/* cli_read.c - commands of the client that read, and what they print. */
#include "cli_int.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "settings.h"
#include "template_file.h"

#define PAGE_ROWS "5000"

/* Replies. */

const char *cli_text_of(const json_t *j, const char *key)
{
	const char *s = json_string_value(json_object_get(j, key));

	return s ? s : "";
}

void cli_print_json(const json_t *j)
{
	json_dumpf(j, stdout, JSON_INDENT(2) | JSON_PRESERVE_ORDER);
	putchar('\n');
}

int cli_refused(const cli_t *cli, const json_t *reply)
{
	const json_t *error = json_object_get(reply, "error");
	const char *detail = json_is_string(error)
				     ? json_string_value(error)
				     : cli_text_of(error, "detail");
	const char *reason = json_is_object(error)
				     ? cli_text_of(error, "reason")
				     : cli_text_of(reply, "status");

	fprintf(stderr, "damasklug: %s%s%s (status %ld)\n", reason,
		reason[0] && detail[0] ? ": " : "", detail,
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

int cli_unreachable(const cli_t *cli)
{
	fprintf(stderr, "damasklug: no server could be reached: %s\n",
		cli->http.error);
	return CLI_UNREACHABLE;
}

int cli_get(cli_t *cli, const char *path, json_t **reply)
{
	AUTO_BUF buf_t full = {0};
	int rc;

	buf_printf(&full, CLI_ROOT "%s", path);
	if (client_get(&cli->http, full.p, reply) != CLIENT_OK)
		return cli_unreachable(cli);
	if (cli->http.http_status == 200)
		return CLI_OK;
	rc = cli_refused(cli, *reply);
	json_decref(*reply);
	*reply = NULL;
	return rc;
}

void cli_url_escape(const cli_t *cli, const char *s, buf_t *out)
{
	char *escaped = curl_easy_escape(cli->http.curl, s, 0);

	buf_puts(out, escaped ? escaped : "");
	curl_free(escaped);
}

/* Tables. */

void cli_cell_text(const json_t *v, buf_t *out)
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
			cli_cell_text(each, out);
		}
	} else if (json_is_object(v)) {
		AUTO_FREE char *text = json_dumps(v, JSON_COMPACT);

		buf_puts(out, text ? text : "");
	}
	if (!out->p)
		buf_puts(out, "");
}

void cli_print_table(const json_t *rows, const char *columns)
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

			cli_cell_text(json_object_get(row, cols[c]), &cell);
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

			cli_cell_text(json_object_get(row, cols[c]), &cell);
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

int cli_get_rows(cli_t *cli, const char *path, const char *prefix, size_t limit,
		 json_t **rows)
{
	json_int_t after = 0;
	json_t *page;
	int rc;

	*rows = json_array();
	do {
		AUTO_BUF buf_t query = {0};

		buf_printf(&query, "%s?limit=%s&after=%lld&prefix=", path,
			   PAGE_ROWS, (long long)after);
		cli_url_escape(cli, prefix ? prefix : "", &query);
		rc = cli_get(cli, query.p, &page);
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

int cli_cmd_list(cli_t *cli, int argc, char **argv)
{
	size_t i = noun_of(cli);
	size_t limit = cli_opt.limit >= 0 ? (size_t)cli_opt.limit : SIZE_MAX;
	json_t *rows = NULL;
	int rc;

	if (argc)
		return cli_usage(cli, "too many arguments");
	rc = cli_get_rows(cli, nouns[i].path, cli_opt.prefix, limit, &rows);
	if (rc == CLI_OK && cli_opt.json)
		cli_print_json(rows);
	else if (rc == CLI_OK)
		cli_print_table(rows, nouns[i].columns);
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

		cli_cell_text(value, &cell);
		printf("%-16s %s\n", key, cell.p);
	}
}

int cli_show(cli_t *cli, const char *path, const char *name)
{
	AUTO_BUF buf_t full = {0};
	json_t *row;
	int rc;

	buf_printf(&full, "%s/", path);
	cli_url_escape(cli, name, &full);
	rc = cli_get(cli, full.p, &row);
	if (rc)
		return rc;
	if (cli_opt.json)
		cli_print_json(row);
	else
		print_members(row);
	json_decref(row);
	return CLI_OK;
}

int cli_cmd_show(cli_t *cli, int argc, char **argv)
{
	if (argc != 1)
		return cli_usage(cli, "one name is needed");
	return cli_show(cli, nouns[noun_of(cli)].path, argv[0]);
}

int cli_cmd_change_list(cli_t *cli, int argc, char **argv)
{
	AUTO_BUF buf_t path = {0};
	json_t *j;
	int rc;

	if (argc)
		return cli_usage(cli, "too many arguments");
	buf_printf(&path, "changes?limit=%d",
		   cli_opt.limit >= 0 ? cli_opt.limit : 50);
	rc = cli_get(cli, path.p, &j);
	if (rc)
		return rc;
	if (cli_opt.json)
		cli_print_json(j);
	else
		cli_print_table(json_object_get(j, "changes"),
				"revision change_id author summary");
	json_decref(j);
	return CLI_OK;
}

int cli_cmd_change_show(cli_t *cli, int argc, char **argv)
{
	if (argc != 1)
		return cli_usage(cli, "one revision or change id is needed");
	return cli_show(cli, "changes", argv[0]);
}

int cli_cmd_change_diff(cli_t *cli, int argc, char **argv)
{
	AUTO_BUF buf_t path = {0};
	uint64_t from, to;
	json_t *j;
	int rc;

	if (argc != 2 || str_to_u64(str_c(argv[0]), &from) ||
	    str_to_u64(str_c(argv[1]), &to))
		return cli_usage(cli, "two revisions are needed");
	buf_printf(&path, "diff?from=%llu&to=%llu", (unsigned long long)from,
		   (unsigned long long)to);
	rc = cli_get(cli, path.p, &j);
	if (rc)
		return rc;
	if (cli_opt.json)
		cli_print_json(j);
	else
		cli_print_table(json_object_get(j, "changes"),
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
		       cli_text_of(in_force, "leader"));
	} else {
		cli_print_table(json_object_get(in_force, "hosts"),
				"host id revision index");
		cli_cell_text(json_object_get(in_force, "absent"), &absent);
		if (absent.n)
			printf("absent: %s\n", absent.p);
	}
	cli_print_json(json_object_get(j, "daemon"));
}

int cli_cmd_status(cli_t *cli, int argc, char **argv)
{
	json_t *j, *at_leader = NULL;
	const char *leader;
	int rc;

	if (argc)
		return cli_usage(cli, "too many arguments");
	rc = cli_get(cli, "status", &j);
	if (rc)
		return rc;
	leader = cli_text_of(json_object_get(j, "in_force"), "leader");
	if (leader[0] &&
	    client_get_at(&cli->http, leader, CLI_ROOT "revisions",
			  &at_leader) == CLIENT_OK &&
	    cli->http.http_status == 200)
		json_object_set(j, "in_force", at_leader);
	json_decref(at_leader);
	if (cli_opt.json)
		cli_print_json(j);
	else
		print_status(j);
	json_decref(j);
	return CLI_OK;
}

int cli_cmd_explain(cli_t *cli, int argc, char **argv)
{
	AUTO_BUF buf_t path = {0};
	json_t *j;
	int rc;

	if (cli_opt.logs)
		return cli_trace(cli, argc, argv);
	if (argc != 1)
		return cli_usage(cli, "one adapter is needed");
	buf_puts(&path, "explain?model=");
	cli_url_escape(cli, argv[0], &path);
	rc = cli_get(cli, path.p, &j);
	if (rc)
		return rc;
	cli_print_json(j);
	json_decref(j);
	return CLI_OK;
}

static int check_file(const char *path)
{
	AUTO_BUF buf_t errors = {0};
	json_t *t;
	int rc;

	if (template_file_detect(path)) {
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

int cli_cmd_check(cli_t *cli, int argc, char **argv)
{
	int rc = CLI_OK;

	if (!argc)
		return cli_usage(cli, "a file is needed");
	for (int i = 0; i < argc; i++)
		if (check_file(argv[i]))
			rc = CLI_USAGE;
	return rc;
}
