/* cli_manifest.c - checks a manifest of the platform before it is sent. */
#include "cli_int.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "dialect.h"
#include "manifest_check.h"

static void cleanup_manifest(manifest_t **m)
{
	manifest_unref(*m);
}

#define AUTO_MANIFEST CLEANUP(cleanup_manifest)

/* What the findings are printed to, or gathered in. */
typedef struct findings {
	json_t *list; /* NULL: they are printed as they come */
	size_t n_warnings;
} findings_t;

static json_t *json_str(str_t s)
{
	return json_stringn(s.p ? s.p : "", s.n);
}

static void on_finding(void *ctx, const finding_t *f)
{
	findings_t *all = ctx;
	const char *kind = finding_kind_name(f->kind);

	all->n_warnings += finding_is_warning(f->kind);
	if (!all->list) {
		printf("%s: %s%s%.*s: %.*s\n", kind, f->row,
		       f->name.n ? " " : "", STR_ARG(f->name),
		       STR_ARG(f->text));
		return;
	}
	json_array_append_new(all->list, json_pack("{s:s, s:s, s:o, s:o}",
						   "kind", kind, "row", f->row,
						   "name", json_str(f->name),
						   "text", json_str(f->text)));
}

static manifest_t *parse(const char *from, str_t text)
{
	AUTO_BUF buf_t error = {0};
	manifest_t *m = dialect_parse_manifest(text, &error);

	if (m && dialect_check_manifest(text, &error) < 0) {
		manifest_unref(m);
		m = NULL;
	}
	if (!m)
		fprintf(stderr, "%s: %.*s\n", from, STR_ARG(buf_str(&error)));
	return m;
}

static manifest_t *load_file(const char *path)
{
	g_autofree gchar *text = NULL;
	gsize n = 0;

	if (g_file_get_contents(path, &text, &n, NULL))
		return parse(path, str_n(text, n));
	fprintf(stderr, "damasklug: cannot read %s\n", path);
	return NULL;
}

/* The manifest in force, as a daemon's control port tells it. */
static manifest_t *fetch(const char *addr)
{
	client_t client = {0};
	manifest_t *m = NULL;
	json_t *reply = NULL;
	char *text = NULL;

	if (client_init(&client))
		return NULL;
	if (client_get_from(&client, addr, dialect_call_path(CALL_GET_MANIFEST),
			    &reply) == CLIENT_OK &&
	    client.http_status == 200 && reply)
		text = json_dumps(reply, JSON_COMPACT);
	if (text)
		m = parse(addr, str_c(text));
	else
		fprintf(stderr, "damasklug: no manifest from %s (status %ld)\n",
			addr, client.http_status);
	free(text);
	json_decref(reply);
	client_free(&client);
	return m;
}

/* Loads what the options name; returns an exit code. */
static int load_in_force(manifest_t **out)
{
	if (cli_opts.against)
		*out = load_file(cli_opts.against);
	else if (cli_opts.control)
		*out = fetch(cli_opts.control);
	if (cli_opts.against && !*out)
		return CLI_USAGE;
	return cli_opts.control && !*out ? CLI_UNREACHABLE : CLI_OK;
}

int cli_cmd_manifest_check(cli_t *cli, int argc, char **argv)
{
	findings_t all = {0};
	const finding_sink_t sink = {on_finding, &all};
	AUTO_MANIFEST manifest_t *m = NULL;
	AUTO_MANIFEST manifest_t *in_force = NULL;
	int rc;

	if (argc != 1 || (cli_opts.against && cli_opts.control))
		return cli_usage_error(cli, "one file is needed, and at most "
					    "one of --against and --control");
	m = load_file(argv[0]);
	if (!m)
		return CLI_USAGE;
	rc = load_in_force(&in_force);
	if (rc)
		return rc;
	all.list = cli_opts.json ? json_array() : NULL;
	manifest_check(m, &sink);
	if (in_force)
		manifest_diff(m, in_force, &sink);
	if (all.list)
		cli_print_json(all.list);
	json_decref(all.list);
	return all.n_warnings ? CLI_USAGE : CLI_OK;
}
