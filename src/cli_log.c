/* cli_log.c - commands on the data folders of daemons that do not run. */
#include "cli_int.h"

#include <stdio.h>

#include "rlog_recover.h"
#include "wal.h"

static int report(const char *folder, const wal_err_t *err)
{
	fprintf(stderr, "damasklug: %s: %s%s%s\n", folder,
		wal_code_text(err->code), err->detail[0] ? ": " : "",
		err->detail);
	return CLI_USAGE;
}

static int summarize(const char *folder, rlog_summary_t *out)
{
	wal_err_t err = {0};
	wal_t *wal = wal_open_existing(str_c(folder), &err);
	int rc = wal ? rlog_summarize(wal, out, &err) : -1;

	wal_close(wal);
	return rc ? report(folder, &err) : CLI_OK;
}

static json_t *voters_json(const rlog_summary_t *s)
{
	json_t *voters = json_array();

	for (size_t i = 0; i < s->n_voters; i++)
		json_array_append_new(voters, json_integer(s->voters[i]));
	return voters;
}

static json_t *summary_json(const char *folder, const rlog_summary_t *s)
{
	char log_id[17];

	snprintf(log_id, sizeof(log_id), "%016llx",
		 (unsigned long long)s->log_id);
	return json_pack("{s:s, s:I, s:s, s:I, s:I, s:b, s:o}", "folder",
			 folder, "host", (json_int_t)s->host, "log", log_id,
			 "term", (json_int_t)s->term, "index",
			 (json_int_t)s->index, "votes", s->votes, "voters",
			 voters_json(s));
}

int cli_cmd_log_show(cli_t *cli, int argc, char **argv)
{
	json_t *rows = json_array();
	int rc = CLI_OK;

	if (argc < 1)
		rc = cli_usage_error(cli, "a data folder is needed");
	for (int i = 0; i < argc && rc == CLI_OK; i++) {
		rlog_summary_t s;

		rc = summarize(argv[i], &s);
		if (rc == CLI_OK)
			json_array_append_new(rows, summary_json(argv[i], &s));
	}
	if (rc == CLI_OK && cli_opts.json)
		cli_print_json(rows);
	else if (rc == CLI_OK)
		cli_print_table(rows,
				"folder host log term index votes voters");
	json_decref(rows);
	return rc;
}

int cli_cmd_log_recover(cli_t *cli, int argc, char **argv)
{
	wal_err_t err = {0};
	wal_t *wal;
	int rc;

	if (argc != 1)
		return cli_usage_error(cli, "one data folder is needed");
	if (!cli_opts.yes)
		return cli_usage_error(
			cli, "the other voters' folders are given up; "
			     "confirm it with --yes");
	wal = wal_open_existing(str_c(argv[0]), &err);
	rc = wal ? rlog_recover(wal, &err) : -1;
	wal_close(wal);
	return rc ? report(argv[0], &err) : CLI_OK;
}
