/* cli_read.c - the client's commands that read, and printing of replies. */
#include "cli_int.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "settings.h"
#include "template_file.h"

#define PAGE_ROWS "5000" /* rows asked for per request */

/* Replies. */

const char *cli_json_text(const json_t *j, const char *key)
{
	const char *s = json_string_value(json_object_get(j, key));

	return s ? s : "";
}

void cli_print_json(const json_t *j)
{
	json_dumpf(j, stdout, JSON_INDENT(2) | JSON_PRESERVE_ORDER);
	putchar('\n');
}

int cli_report_error(const cli_t *cli, const json_t *reply)
{
	const json_t *error = json_object_get(reply, "error");
	const char *detail = json_is_string(error)
				     ? json_string_value(error)
				     : cli_json_text(error, "detail");
	const char *reason = json_is_object(error)
				     ? cli_json_text(error, "reason")
				     : cli_json_text(reply, "status");

	fprintf(stderr, "damasklug: %s%s%s (status %ld)\n", reason,
		reason[0] && detail[0] ? ": " : "", detail,
		cli->client.http_status);
	switch (cli->client.http_status) {
	case 400:
	case 422:
		return CLI_INVALID;
	case 401:
	case 403:
		return CLI_UNAUTHORIZED;
	case 404:
		return CLI_NOT_FOUND;
	case 409:
		return CLI_CONFLICT;
	case 503:
		return CLI_NOT_DECIDED;
	case 504:
		return CLI_OUTCOME_UNKNOWN;
	default:
		return CLI_FAILED;
	}
}

int cli_report_unreachable(const cli_t *cli)
{
	fprintf(stderr, "damasklug: no server could be reached: %s\n",
		cli->client.error);
	return CLI_UNREACHABLE;
}

int cli_get(cli_t *cli, const char *path, json_t **reply)
{
	AUTO_BUF buf_t full_path = {0};
	int rc;

	buf_printf(&full_path, CLI_ROOT "%s", path);
	if (client_get(&cli->client, full_path.p, reply) != CLIENT_OK)
		return cli_report_unreachable(cli);
	if (cli->client.http_status == 200)
		return CLI_OK;
	rc = cli_report_error(cli, *reply);
	json_decref(*reply);
	*reply = NULL;
	return rc;
}

void cli_append_escaped(const char *s, buf_t *out)
{
	char *escaped = curl_easy_escape(NULL, s, 0);

	buf_puts(out, escaped ? escaped : "");
	curl_free(escaped);
}

/* Tables. */

void cli_append_cell(const json_t *value, buf_t *out)
{
	const json_t *element;
	size_t i;

	if (json_is_string(value)) {
		buf_puts(out, json_string_value(value));
	} else if (json_is_integer(value)) {
		buf_printf(out, "%lld", (long long)json_integer_value(value));
	} else if (json_is_boolean(value)) {
		buf_puts(out, json_is_true(value) ? "yes" : "no");
	} else if (json_is_array(value)) {
		json_array_foreach(value, i, element)
		{
			buf_puts(out, i ? "," : "");
			cli_append_cell(element, out);
		}
	} else if (json_is_object(value)) {
		AUTO_FREE char *text = json_dumps(value, JSON_COMPACT);

		buf_puts(out, text ? text : "");
	}
	if (!out->p)
		buf_puts(out, "");
}

void cli_print_table(const json_t *rows, const char *columns)
{
	gchar **names = g_strsplit(columns, " ", -1);
	guint n_columns = g_strv_length(names);
	AUTO_FREE size_t *widths = xcalloc(n_columns, sizeof(*widths));
	size_t i;
	const json_t *row;

	for (guint column = 0; column < n_columns; column++)
		widths[column] = strlen(names[column]);
	json_array_foreach(rows, i, row)
	{
		for (guint column = 0; column < n_columns; column++) {
			AUTO_BUF buf_t cell = {0};

			cli_append_cell(json_object_get(row, names[column]),
					&cell);
			if (cell.n > widths[column])
				widths[column] = cell.n;
		}
	}
	for (guint column = 0; column < n_columns; column++)
		printf("%-*s%s",
		       column + 1 < n_columns ? (int)widths[column] : 0,
		       names[column], column + 1 < n_columns ? "  " : "\n");
	json_array_foreach(rows, i, row)
	{
		for (guint column = 0; column < n_columns; column++) {
			AUTO_BUF buf_t cell = {0};

			cli_append_cell(json_object_get(row, names[column]),
					&cell);
			printf("%-*s%s",
			       column + 1 < n_columns ? (int)widths[column] : 0,
			       cell.p, column + 1 < n_columns ? "  " : "\n");
		}
	}
	g_strfreev(names);
}

/* How the rows of each noun are read and printed. */
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

/* Index in nouns[] of the command's noun. */
static size_t noun_index(const cli_t *cli)
{
	size_t i = 0;

	while (strcmp(nouns[i].noun, cli->cmd->noun))
		i++;
	return i;
}

int cli_get_all_rows(cli_t *cli, const char *path, const char *prefix,
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
		cli_append_escaped(prefix ? prefix : "", &query);
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
	size_t i = noun_index(cli);
	size_t limit = cli_opts.limit >= 0 ? (size_t)cli_opts.limit : SIZE_MAX;
	json_t *rows = NULL;
	int rc;

	if (argc)
		return cli_usage_error(cli, "too many arguments");
	rc = cli_get_all_rows(cli, nouns[i].path, cli_opts.prefix, limit,
			      &rows);
	if (rc == CLI_OK && cli_opts.json)
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

		cli_append_cell(value, &cell);
		printf("%-16s %s\n", key, cell.p);
	}
}

int cli_show_row(cli_t *cli, const char *path, const char *name)
{
	AUTO_BUF buf_t full_path = {0};
	json_t *row;
	int rc;

	buf_printf(&full_path, "%s/", path);
	cli_append_escaped(name, &full_path);
	rc = cli_get(cli, full_path.p, &row);
	if (rc)
		return rc;
	if (cli_opts.json)
		cli_print_json(row);
	else
		print_members(row);
	json_decref(row);
	return CLI_OK;
}

int cli_cmd_show(cli_t *cli, int argc, char **argv)
{
	if (argc != 1)
		return cli_usage_error(cli, "one name is needed");
	return cli_show_row(cli, nouns[noun_index(cli)].path, argv[0]);
}

int cli_cmd_change_list(cli_t *cli, int argc, char **argv)
{
	AUTO_BUF buf_t path = {0};
	json_t *j;
	int rc;

	if (argc)
		return cli_usage_error(cli, "too many arguments");
	buf_printf(&path, "changes?limit=%d",
		   cli_opts.limit >= 0 ? cli_opts.limit : 50);
	rc = cli_get(cli, path.p, &j);
	if (rc)
		return rc;
	if (cli_opts.json)
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
		return cli_usage_error(cli,
				       "one revision or change id is needed");
	return cli_show_row(cli, "changes", argv[0]);
}

int cli_cmd_change_diff(cli_t *cli, int argc, char **argv)
{
	AUTO_BUF buf_t path = {0};
	uint64_t from, to;
	json_t *j;
	int rc;

	if (argc != 2 || str_to_u64(str_c(argv[0]), &from) ||
	    str_to_u64(str_c(argv[1]), &to))
		return cli_usage_error(cli, "two revisions are needed");
	buf_printf(&path, "diff?from=%llu&to=%llu", (unsigned long long)from,
		   (unsigned long long)to);
	rc = cli_get(cli, path.p, &j);
	if (rc)
		return rc;
	if (cli_opts.json)
		cli_print_json(j);
	else
		cli_print_table(json_object_get(j, "changes"),
				"revision change_id author summary ops");
	if (!json_is_true(json_object_get(j, "whole")))
		fprintf(stderr, "damasklug: some of these changes are no "
				"longer kept\n");
	json_decref(j);
	return CLI_OK;
}

/* Status, explain and check. */

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
		       cli_json_text(in_force, "leader"));
	} else {
		cli_print_table(json_object_get(in_force, "hosts"),
				"host id revision index");
		cli_append_cell(json_object_get(in_force, "absent"), &absent);
		if (absent.n)
			printf("absent: %s\n", absent.p);
	}
	cli_print_json(json_object_get(j, "daemon"));
}

int cli_cmd_status(cli_t *cli, int argc, char **argv)
{
	json_t *j, *leader_reply = NULL;
	const char *leader;
	int rc;

	if (argc)
		return cli_usage_error(cli, "too many arguments");
	rc = cli_get(cli, "status", &j);
	if (rc)
		return rc;
	leader = cli_json_text(json_object_get(j, "in_force"), "leader");
	if (leader[0] &&
	    client_get_from(&cli->client, leader, CLI_ROOT "revisions",
			    &leader_reply) == CLIENT_OK &&
	    cli->client.http_status == 200)
		json_object_set(j, "in_force", leader_reply);
	json_decref(leader_reply);
	if (cli_opts.json)
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

	if (cli_opts.from_logs)
		return cli_trace(cli, argc, argv);
	if (argc != 1)
		return cli_usage_error(cli, "one adapter is needed");
	buf_puts(&path, "explain?model=");
	cli_append_escaped(argv[0], &path);
	rc = cli_get(cli, path.p, &j);
	if (rc)
		return rc;
	cli_print_json(j);
	json_decref(j);
	return CLI_OK;
}

/* Checks one template or settings file and prints its faults; 0 or -1. */
static int check_file(const char *path)
{
	AUTO_BUF buf_t errors = {0};
	json_t *template_json;
	int rc;

	if (template_file_detect(path)) {
		template_json = template_file_load(path, &errors);
		rc = template_json ? 0 : -1;
		json_decref(template_json);
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
		return cli_usage_error(cli, "a file is needed");
	for (int i = 0; i < argc; i++)
		if (check_file(argv[i]))
			rc = CLI_USAGE;
	return rc;
}
