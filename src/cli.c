/*
 * cli.c - the operators' client: options, the table of subcommands, and running
 * one of them.
 */
#include "cli_int.h"

#include <stdio.h>
#include <string.h>

#include <sodium.h>

cli_opts_t cli_opts;

static GOptionEntry common_options[] = {
	{"server", 's', 0, G_OPTION_ARG_STRING_ARRAY, &cli_opts.server,
	 "Address of a daemon's operators' port; may be repeated "
	 "(default: DAMASKLUG_SERVER, separated by commas)",
	 "IP:PORT"},
	{"token-file", 't', 0, G_OPTION_ARG_FILENAME, &cli_opts.token_file,
	 "File that holds the operators' token (default: DAMASKLUG_TOKEN)",
	 "FILE"},
	{"json", 'j', 0, G_OPTION_ARG_NONE, &cli_opts.json, "Print JSON", NULL},
	{NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL},
};

static GOptionEntry change_options[] = {
	{"change-id", 0, 0, G_OPTION_ARG_STRING, &cli_opts.change_id,
	 "Id of the change; the same id is never applied twice "
	 "(default: random)",
	 "ID"},
	{"base", 0, 0, G_OPTION_ARG_INT64, &cli_opts.base_revision,
	 "Revision that the change is based on (default: the current one)",
	 "REVISION"},
	{"author", 0, 0, G_OPTION_ARG_STRING, &cli_opts.author,
	 "Author of the change (default: USER)", "NAME"},
	{"dry-run", 'n', 0, G_OPTION_ARG_NONE, &cli_opts.dry_run,
	 "Show what would change, but decide nothing", NULL},
	{"wait", 'w', 0, G_OPTION_ARG_INT, &cli_opts.wait_s,
	 "Wait at most this long until the change is in force on all live "
	 "hosts",
	 "SECONDS"},
	{NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL},
};

static GOptionEntry explain_options[] = {
	{"logs", 0, 0, G_OPTION_ARG_NONE, &cli_opts.from_logs,
	 "Trace the request with this id through the log files that follow",
	 NULL},
	{NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL},
};

static GOptionEntry recover_options[] = {
	{"yes", 0, 0, G_OPTION_ARG_NONE, &cli_opts.yes,
	 "Confirm that the folders of all other voters are given up", NULL},
	{NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL},
};

static GOptionEntry manifest_options[] = {
	{"against", 0, 0, G_OPTION_ARG_FILENAME, &cli_opts.against,
	 "Also print what differs from the manifest in this file", "FILE"},
	{"control", 0, 0, G_OPTION_ARG_STRING, &cli_opts.control,
	 "Also print what differs from the manifest in force, as the control "
	 "port of this daemon tells it",
	 "IP:PORT"},
	{NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL},
};

static GOptionEntry list_options[] = {
	{"prefix", 0, 0, G_OPTION_ARG_STRING, &cli_opts.prefix,
	 "Only rows whose name starts with this", "TEXT"},
	{"limit", 0, 0, G_OPTION_ARG_INT, &cli_opts.limit,
	 "At most this many rows", "N"},
	{NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL},
};

static GOptionEntry org_options[] = {
	{"template", 0, 0, G_OPTION_ARG_STRING, &cli_opts.template_name,
	 "Template of the organisation", "NAME"},
	{"set", 0, 0, G_OPTION_ARG_STRING_ARRAY, &cli_opts.set,
	 "Value of a template parameter; may be repeated", "PARAM=VALUE"},
	{"unset", 0, 0, G_OPTION_ARG_STRING_ARRAY, &cli_opts.unset,
	 "Parameter or setting to take from the template again; may be "
	 "repeated",
	 "NAME"},
	{"priority", 0, 0, G_OPTION_ARG_INT, &cli_opts.priority,
	 "Priority; higher is more urgent", "N"},
	{"rate", 0, 0, G_OPTION_ARG_INT, &cli_opts.rate,
	 "Requests per second; 0: no limit", "N"},
	{"burst", 0, 0, G_OPTION_ARG_INT, &cli_opts.burst,
	 "Requests that may come at once above the rate", "N"},
	{"concurrency", 0, 0, G_OPTION_ARG_INT, &cli_opts.concurrency,
	 "Most requests in progress at the same time; 0: no limit", "N"},
	{"retry-percent", 0, 0, G_OPTION_ARG_INT, &cli_opts.retry_percent,
	 "Retry budget in percent of requests", "N"},
	{"org-token", 0, 0, G_OPTION_ARG_STRING, &cli_opts.org_token,
	 "Bearer token of its callers; only the hash of it is sent", "TOKEN"},
	{"new-token", 0, 0, G_OPTION_ARG_NONE, &cli_opts.new_token,
	 "Generate a random token for its callers and print it", NULL},
	{NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL},
};

static GOptionEntry publish_options[] = {
	{"base-model", 0, 0, G_OPTION_ARG_STRING, &cli_opts.base_model,
	 "Base model; needed for new adapters", "NAME"},
	{"org", 0, 0, G_OPTION_ARG_STRING, &cli_opts.org,
	 "Organisation of new adapters (default: every organisation may use "
	 "them)",
	 "NAME"},
	{"load-ms", 0, 0, G_OPTION_ARG_INT, &cli_opts.load_ms,
	 "Expected time to load the adapter", "MS"},
	{"keep-current", 0, 0, G_OPTION_ARG_NONE, &cli_opts.keep_current,
	 "Publish, but leave the current version as it is", NULL},
	{"from", 0, 0, G_OPTION_ARG_FILENAME, &cli_opts.from_file,
	 "Also publish each NAME[@VERSION] in this file, one per line", "FILE"},
	{"prefix", 0, 0, G_OPTION_ARG_STRING, &cli_opts.prefix,
	 "Also publish the next version of all adapters whose name starts "
	 "with this",
	 "TEXT"},
	{NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL},
};

static GOptionEntry target_options[] = {
	{"url", 0, 0, G_OPTION_ARG_STRING, &cli_opts.url,
	 "Address, as http://ip:port", "URL"},
	{"zone", 0, 0, G_OPTION_ARG_STRING, &cli_opts.zone, "Failure domain",
	 "NAME"},
	{"base-model", 0, 0, G_OPTION_ARG_STRING, &cli_opts.base_model,
	 "Base model of a runner, name of a service", "NAME"},
	{"slots", 0, 0, G_OPTION_ARG_INT, &cli_opts.slots,
	 "Adapter slots of a runner", "N"},
	{"max-batch", 0, 0, G_OPTION_ARG_INT, &cli_opts.max_batch,
	 "Most requests that run at the same time", "N"},
	{"service", 0, 0, G_OPTION_ARG_NONE, &cli_opts.is_service,
	 "A plain service, not a runner", NULL},
	{"checks-fence", 0, 0, G_OPTION_ARG_NONE, &cli_opts.checks_fence,
	 "The target refuses orders with an old fencing number", NULL},
	{"repeatable", 0, 0, G_OPTION_ARG_NONE, &cli_opts.repeatable,
	 "Calls of the service may be repeated", NULL},
	{NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL},
};

static GOptionEntry host_options[] = {
	{"id", 0, 0, G_OPTION_ARG_INT, &cli_opts.host_id,
	 "Numeric id of the host, as in its settings", "N"},
	{"zone", 0, 0, G_OPTION_ARG_STRING, &cli_opts.zone, "Failure domain",
	 "NAME"},
	{"region", 0, 0, G_OPTION_ARG_STRING, &cli_opts.region, "Region",
	 "NAME"},
	{"caller-addr", 0, 0, G_OPTION_ARG_STRING, &cli_opts.caller_addr,
	 "Address that callers connect to", "IP:PORT"},
	{"peer-addr", 0, 0, G_OPTION_ARG_STRING, &cli_opts.peer_addr,
	 "Address of its peer link", "IP:PORT"},
	{"voter", 0, 0, G_OPTION_ARG_NONE, &cli_opts.voter,
	 "The host has a data folder and votes in the log", NULL},
	{"learner", 0, 0, G_OPTION_ARG_NONE, &cli_opts.learner,
	 "The host does not vote in the log", NULL},
	{NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL},
};

/* Sets all options to their values where they are not given. */
static void options_reset(void)
{
	memset(&cli_opts, 0, sizeof(cli_opts));
	cli_opts.base_revision = -1;
	cli_opts.limit = CLI_NOT_SET;
	cli_opts.priority = cli_opts.rate = cli_opts.burst = CLI_NOT_SET;
	cli_opts.concurrency = cli_opts.retry_percent = cli_opts.load_ms =
		CLI_NOT_SET;
	cli_opts.slots = cli_opts.max_batch = cli_opts.host_id = CLI_NOT_SET;
}

int cli_usage_error(const cli_t *cli, const char *what)
{
	const command_t *cmd = cli->cmd;

	fprintf(stderr, "damasklug: %s\nusage: damasklug %s%s%s %s\n", what,
		cmd->noun, cmd->verb ? " " : "", cmd->verb ? cmd->verb : "",
		cmd->args);
	return CLI_USAGE;
}

/* The table of subcommands. */

#define CHANGE_OPTIONS         \
	{                      \
		change_options \
	}
#define LIST_OPTIONS         \
	{                    \
		list_options \
	}

static const command_t commands[] = {
	{"template", "list", "", "Lists templates", LIST_OPTIONS, false,
	 cli_cmd_list},
	{"template",
	 "show",
	 "NAME",
	 "Shows a template",
	 {0},
	 false,
	 cli_cmd_show},
	{"template", "put", "FILE...",
	 "Creates or replaces templates, and updates all organisations that "
	 "use them",
	 CHANGE_OPTIONS, false, cli_cmd_template_put},
	{"template", "del", "NAME...", "Deletes unused templates",
	 CHANGE_OPTIONS, false, cli_cmd_op_per_name},
	{"org", "list", "", "Lists organisations", LIST_OPTIONS, false,
	 cli_cmd_list},
	{"org",
	 "show",
	 "NAME",
	 "Shows an organisation",
	 {0},
	 false,
	 cli_cmd_show},
	{"org",
	 "create",
	 "NAME",
	 "Creates an organisation, from a template",
	 {change_options, org_options},
	 false,
	 cli_cmd_org_put},
	{"org",
	 "set",
	 "NAME",
	 "Changes an organisation",
	 {change_options, org_options},
	 false,
	 cli_cmd_org_put},
	{"org", "del", "NAME...", "Deletes organisations without adapters",
	 CHANGE_OPTIONS, false, cli_cmd_op_per_name},
	{"adapter", "list", "", "Lists adapters", LIST_OPTIONS, false,
	 cli_cmd_list},
	{"adapter",
	 "show",
	 "NAME",
	 "Shows an adapter",
	 {0},
	 false,
	 cli_cmd_show},
	{"adapter",
	 "publish",
	 "NAME[@VERSION]...",
	 "Publishes a new version, and makes it the current one",
	 {change_options, publish_options},
	 false,
	 cli_cmd_publish},
	{"adapter", "retire", "NAME@VERSION...", "Retires versions",
	 CHANGE_OPTIONS, false, cli_cmd_op_per_version},
	{"adapter", "pin", "NAME@VERSION...",
	 "Makes a published version the current one", CHANGE_OPTIONS, false,
	 cli_cmd_op_per_version},
	{"adapter", "del", "NAME...", "Deletes adapters", CHANGE_OPTIONS, false,
	 cli_cmd_op_per_name},
	{"target", "list", "", "Lists targets", LIST_OPTIONS, false,
	 cli_cmd_list},
	{"target", "show", "NAME", "Shows a target", {0}, false, cli_cmd_show},
	{"target",
	 "put",
	 "NAME",
	 "Creates or changes a target",
	 {change_options, target_options},
	 false,
	 cli_cmd_target_put},
	{"target", "drain", "NAME...", "Stops sending new work to targets",
	 CHANGE_OPTIONS, false, cli_cmd_op_per_name},
	{"target", "undrain", "NAME...", "Sends new work to targets again",
	 CHANGE_OPTIONS, false, cli_cmd_op_per_name},
	{"target", "del", "NAME...", "Deletes targets", CHANGE_OPTIONS, false,
	 cli_cmd_op_per_name},
	{"host", "list", "", "Lists hosts", LIST_OPTIONS, false, cli_cmd_list},
	{"host", "show", "NAME", "Shows a host", {0}, false, cli_cmd_show},
	{"host",
	 "put",
	 "NAME",
	 "Creates or changes a host",
	 {change_options, host_options},
	 false,
	 cli_cmd_host_put},
	{"host", "drain", "NAME...", "Stops sending new requests to hosts",
	 CHANGE_OPTIONS, false, cli_cmd_op_per_name},
	{"host", "undrain", "NAME...", "Sends new requests to hosts again",
	 CHANGE_OPTIONS, false, cli_cmd_op_per_name},
	{"host", "del", "NAME...", "Deletes hosts", CHANGE_OPTIONS, false,
	 cli_cmd_op_per_name},
	{"change", "list", "", "Lists the latest changes", LIST_OPTIONS, false,
	 cli_cmd_change_list},
	{"change",
	 "show",
	 "REVISION|ID",
	 "Shows a change",
	 {0},
	 false,
	 cli_cmd_change_show},
	{"change",
	 "diff",
	 "FROM TO",
	 "Shows the changes between revisions",
	 {0},
	 false,
	 cli_cmd_change_diff},
	{"change", "apply", "FILE", "Sends operations in JSON as one change",
	 CHANGE_OPTIONS, false, cli_cmd_change_apply},
	{"status",
	 NULL,
	 "",
	 "Shows revisions, hosts and the daemon's state",
	 {0},
	 false,
	 cli_cmd_status},
	{"explain",
	 NULL,
	 "ADAPTER[@VERSION] | ID --logs FILE...",
	 "Shows where a request would run, with scores; or traces a past "
	 "request through log files",
	 {explain_options},
	 false,
	 cli_cmd_explain},
	{"drain", NULL, "[HOST]",
	 "Drains a host by a change; without HOST, drains and ends the "
	 "daemon asked",
	 CHANGE_OPTIONS, false, cli_cmd_drain},
	{"check",
	 NULL,
	 "FILE...",
	 "Checks settings and template files offline",
	 {0},
	 true,
	 cli_cmd_check},
	{"log",
	 "show",
	 "FOLDER...",
	 "Shows the log in data folders whose daemons do not run",
	 {0},
	 true,
	 cli_cmd_log_show},
	{"log",
	 "recover",
	 "FOLDER",
	 "Where a majority of the voters is gone for good: makes this folder's "
	 "host the only voter",
	 {recover_options},
	 true,
	 cli_cmd_log_recover},
	{"manifest",
	 "check",
	 "FILE",
	 "Checks a manifest of the platform offline; exits with 2 on a fault",
	 {manifest_options},
	 true,
	 cli_cmd_manifest_check},
	{"reasons",
	 NULL,
	 "",
	 "Prints the manual page of refusal reasons",
	 {0},
	 true,
	 cli_cmd_reasons},
	{"events",
	 NULL,
	 "",
	 "Prints the manual page of log events",
	 {0},
	 true,
	 cli_cmd_events},
	{"counters",
	 NULL,
	 "",
	 "Prints the manual page of counters",
	 {0},
	 true,
	 cli_cmd_counters},
	{"manual",
	 NULL,
	 "",
	 "Prints the manual page of subcommands",
	 {0},
	 true,
	 cli_cmd_manual},
};

static void append_command(buf_t *out, const command_t *cmd)
{
	AUTO_BUF buf_t usage = {0};

	buf_printf(&usage, "%s %s%s%s", cmd->noun, cmd->verb ? cmd->verb : "",
		   cmd->verb ? " " : "", cmd->args);
	buf_printf(out, "  %-38s %s\n", usage.p, cmd->help);
}

static void append_usage(buf_t *out)
{
	buf_puts(out, "usage: damasklug COMMAND [ARGUMENT...] [OPTION...]\n\n");
	buf_printf(out, "  %-38s %s\n", "serve --config FILE",
		   "Runs the daemon of one host");
	for (size_t i = 0; i < ARRAY_SIZE(commands); i++)
		append_command(out, &commands[i]);
	buf_puts(
		out,
		"\n'damasklug COMMAND --help' lists the options of COMMAND.\n\n"
		"Exit codes:\n");
#define X(name, code, help) buf_printf(out, "  %2d  %s\n", code, help);
	CLI_EXIT_CODES(X)
#undef X
}

static void append_options(buf_t *out, const GOptionEntry *option)
{
	for (; option && option->long_name; option++)
		buf_printf(out, "- `--%s%s%s`: %s\n", option->long_name,
			   option->arg_description ? " " : "",
			   option->arg_description ? option->arg_description
						   : "",
			   option->description);
}

void cli_manual(buf_t *out)
{
	buf_puts(out, "# Subcommands\n\nMade by `damasklug manual` from the "
		      "tables in the code.\n\n```\n");
	append_usage(out);
	buf_puts(out, "```\n\n## Options of all commands\n\n");
	append_options(out, common_options);
	buf_puts(out, "\n## Options of commands that change something\n\n");
	append_options(out, change_options);
	buf_puts(out, "\n## Options of `list`\n\n");
	append_options(out, list_options);
	buf_puts(out, "\n## Options of `log recover`\n\n");
	append_options(out, recover_options);
	buf_puts(out, "\n## Options of `manifest check`\n\n");
	append_options(out, manifest_options);
	buf_puts(out, "\n## Options of `org create` and `org set`\n\n");
	append_options(out, org_options);
	buf_puts(out, "\n## Options of `adapter publish`\n\n");
	append_options(out, publish_options);
	buf_puts(out, "\n## Options of `target put`\n\n");
	append_options(out, target_options);
	buf_puts(out, "\n## Options of `host put`\n\n");
	append_options(out, host_options);
}

/* The subcommand that the arguments name; NULL where there is none. */
static const command_t *find_command(int argc, char **argv)
{
	for (size_t i = 0; i < ARRAY_SIZE(commands); i++) {
		const command_t *cmd = &commands[i];

		if (argc < 2 || strcmp(argv[1], cmd->noun))
			continue;
		if (!cmd->verb || (argc > 2 && !strcmp(argv[2], cmd->verb)))
			return cmd;
	}
	return NULL;
}

/* Sets the token from --token-file or DAMASKLUG_TOKEN; -1 if unreadable. */
static int read_token(client_t *http)
{
	const char *env = g_getenv("DAMASKLUG_TOKEN");
	gchar *data = NULL;

	if (!cli_opts.token_file) {
		http->token = str_dup(str_c(env));
		return 0;
	}
	if (!g_file_get_contents(cli_opts.token_file, &data, NULL, NULL)) {
		fprintf(stderr, "damasklug: cannot read %s\n",
			cli_opts.token_file);
		return -1;
	}
	http->token = str_dup(str_c(g_strstrip(data)));
	g_free(data);
	return 0;
}

/*
 * Sets up the client with the servers and the token from options or
 * environment; returns an exit code.
 */
static int init_client(cli_t *cli)
{
	const char *env = g_getenv("DAMASKLUG_SERVER");
	int rc = 0;

	if (client_init(&cli->client))
		return CLI_FAILED;
	for (gchar **s = cli_opts.server; s && *s; s++)
		rc |= client_add_servers(&cli->client, *s);
	if (!cli_opts.server && env)
		rc |= client_add_servers(&cli->client, env);
	if (rc)
		return cli_usage_error(cli, "a server must be ip:port");
	if (!cli->client.n_servers)
		return cli_usage_error(
			cli, "--server or DAMASKLUG_SERVER is needed");
	return read_token(&cli->client) ? CLI_USAGE : CLI_OK;
}

static int run_command(const command_t *cmd, int argc, char **argv)
{
	cli_t cli = {.cmd = cmd};
	int rc = CLI_OK;

	if (!cmd->offline && !cli_opts.from_logs)
		rc = init_client(&cli);
	if (rc == CLI_OK)
		rc = cmd->run(&cli, argc, argv);
	if (!cmd->offline && !cli_opts.from_logs)
		client_free(&cli.client);
	return rc;
}

/* Frees the strings that GLib allocated for one table of options. */
static void options_free(const GOptionEntry *option)
{
	for (; option && option->long_name; option++) {
		if (option->arg == G_OPTION_ARG_STRING_ARRAY)
			g_strfreev(*(gchar ***)option->arg_data);
		else if (option->arg == G_OPTION_ARG_STRING ||
			 option->arg == G_OPTION_ARG_FILENAME)
			g_free(*(gchar **)option->arg_data);
	}
}

/* Parses the options of a command and runs it; returns an exit code. */
static int parse_and_run(const command_t *cmd, int argc, char **argv)
{
	AUTO_BUF buf_t summary = {0};
	GOptionContext *ctx = g_option_context_new(cmd->args);
	GError *error = NULL;
	int n_command_words = cmd->verb ? 2 : 1;
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
		rc = run_command(cmd, argc - 1 - n_command_words,
				 argv + 1 + n_command_words);
	} else {
		fprintf(stderr, "damasklug: %s\n", error->message);
		g_error_free(error);
		rc = CLI_USAGE;
	}
	options_free(common_options);
	for (size_t i = 0; i < ARRAY_SIZE(cmd->options); i++)
		options_free(cmd->options[i]);
	g_option_context_free(ctx);
	return rc;
}

static bool equals_either(const char *arg, const char *a, const char *b)
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
	append_usage(&text);
	if (argc == 2 && equals_either(argv[1], "--help", "help")) {
		fputs(text.p, stdout);
		return CLI_OK;
	}
	fputs(text.p, stderr);
	return CLI_USAGE;
}
