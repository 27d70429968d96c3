/*
 * cli_int.h - shared by the source files of the operators' client: options,
 * replies and commands.
 */
#ifndef DK_CLI_INT_H
#define DK_CLI_INT_H

#include <limits.h>

#include <glib.h>

#include "cli.h"
#include "client.h"

#define CLI_ROOT "/v1/admin/" /* of all paths of the operators' interface */
/* Value of an integer option that was not given. */
#define CLI_NOT_SET INT_MIN
/* How long a POST request is resent while it gets no final answer. */
#define CLI_RESEND_TIMEOUT_MS 30000L

/* Values of the options of all commands; each command uses some of them. */
typedef struct cli_opts {
	gchar **server;
	gchar *token_file;
	gboolean json;
	gchar *change_id;
	gint64 base_revision; /* -1 where not given */
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
	gchar *from_file;
	gchar *url, *zone, *region;
	gint slots, max_batch;
	gboolean is_service, checks_fence, repeatable;
	gint host_id;
	gchar *caller_addr, *peer_addr;
	gboolean voter, learner;
	gboolean from_logs;
	gchar *against, *control;
	gboolean yes;
} cli_opts_t;

extern cli_opts_t cli_opts;

typedef struct cli cli_t;
typedef struct command {
	const char *noun;
	const char *verb; /* NULL: the command is the noun alone */
	const char *args; /* arguments, as shown in the usage */
	const char *help;
	GOptionEntry *options[3]; /* in addition to the common ones */
	bool offline;		  /* needs no server */
	int (*run)(cli_t *cli, int argc, char **argv);
} command_t;

struct cli {
	const command_t *cmd;
	client_t client;
};

/* Prints what is wrong and the usage of the command; returns CLI_USAGE. */
int cli_usage_error(const cli_t *cli, const char *what);
/* The string member key of j, or "" where there is none; j owns it. */
const char *cli_json_text(const json_t *j, const char *key);
void cli_print_json(const json_t *j);
/* Appends v as the text of a table's cell; never leaves out->p NULL. */
void cli_append_cell(const json_t *v, buf_t *out);
/*
 * Prints an array of objects as a table. columns holds the names of the members
 * to print, separated by spaces.
 */
void cli_print_table(const json_t *rows, const char *columns);
/* Prints the error in a reply; returns the exit code for its HTTP status. */
int cli_report_error(const cli_t *cli, const json_t *reply);
/* Prints that no server could be reached; returns CLI_UNREACHABLE. */
int cli_report_unreachable(const cli_t *cli);
/* Appends s escaped for use in a URL. */
void cli_append_escaped(const char *s, buf_t *out);
/*
 * Sends a GET request; path is relative to CLI_ROOT. Returns an exit code; on
 * CLI_OK *reply is a new reference.
 */
int cli_get(cli_t *cli, const char *path, json_t **reply);
/*
 * Reads all pages of a list, up to limit rows, into one array. Returns an exit
 * code. *rows is always a new reference.
 */
int cli_get_all_rows(cli_t *cli, const char *path, const char *prefix,
		     size_t limit, json_t **rows);
/* Reads the row path/name and prints it; returns an exit code. */
int cli_show_row(cli_t *cli, const char *path, const char *name);

/* Commands; each returns an exit code. */
int cli_cmd_list(cli_t *cli, int argc, char **argv);
int cli_cmd_show(cli_t *cli, int argc, char **argv);
int cli_cmd_op_per_name(cli_t *cli, int argc, char **argv);
int cli_cmd_template_put(cli_t *cli, int argc, char **argv);
int cli_cmd_org_put(cli_t *cli, int argc, char **argv);
int cli_cmd_publish(cli_t *cli, int argc, char **argv);
int cli_cmd_op_per_version(cli_t *cli, int argc, char **argv);
int cli_cmd_target_put(cli_t *cli, int argc, char **argv);
int cli_cmd_host_put(cli_t *cli, int argc, char **argv);
int cli_cmd_change_apply(cli_t *cli, int argc, char **argv);
int cli_cmd_change_list(cli_t *cli, int argc, char **argv);
int cli_cmd_change_show(cli_t *cli, int argc, char **argv);
int cli_cmd_change_diff(cli_t *cli, int argc, char **argv);
int cli_cmd_status(cli_t *cli, int argc, char **argv);
int cli_cmd_explain(cli_t *cli, int argc, char **argv);
int cli_cmd_drain(cli_t *cli, int argc, char **argv);
int cli_cmd_check(cli_t *cli, int argc, char **argv);
int cli_cmd_manifest_check(cli_t *cli, int argc, char **argv);
int cli_cmd_log_show(cli_t *cli, int argc, char **argv);
int cli_cmd_log_recover(cli_t *cli, int argc, char **argv);
int cli_cmd_events(cli_t *cli, int argc, char **argv);
/* Prints the timeline of the request argv[0] from the log files that follow. */
int cli_trace(cli_t *cli, int argc, char **argv);
int cli_cmd_reasons(cli_t *cli, int argc, char **argv);
int cli_cmd_counters(cli_t *cli, int argc, char **argv);
int cli_cmd_manual(cli_t *cli, int argc, char **argv);

#endif
