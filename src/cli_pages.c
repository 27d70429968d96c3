/* cli_pages.c - operators' manual pages, made from the tables in the code. */
#include "cli_int.h"

#include <stdio.h>

#include "counter.h"
#include "event.h"

static const char *run_state_text(run_state_t run)
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
		const reason_info_t *info = reason_info((reason_t)r);

		buf_printf(out, "| `%s` | %d | %s | ", info->name,
			   info->http_status, run_state_text(info->run_state));
		if (info->retry_ms)
			buf_printf(out, "%u ms", info->retry_ms);
		else
			buf_puts(out, "-");
		buf_printf(out, " | %s |\n", info->help);
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
	buf_puts(out,
		 "\n`damasklug_responses_total{status=\"...\",by=\"...\"}` "
		 "counts the responses to callers\nof `damasklug site`: "
		 "by groups of statuses, and whether a target or this "
		 "daemon made\nthem.\n");
}

static int print_page(void (*page)(buf_t *out))
{
	AUTO_BUF buf_t out = {0};

	page(&out);
	fputs(out.p, stdout);
	return CLI_OK;
}

int cli_cmd_reasons(cli_t *cli, int argc, char **argv)
{
	return print_page(cli_reasons_page);
}

int cli_cmd_events(cli_t *cli, int argc, char **argv)
{
	return print_page(event_manual);
}

int cli_cmd_counters(cli_t *cli, int argc, char **argv)
{
	return print_page(cli_counters_page);
}

int cli_cmd_manual(cli_t *cli, int argc, char **argv)
{
	return print_page(cli_manual);
}
