/*
 * cli.h - the operators' command line client: its subcommands, their options
 * and its exit codes, which scripts may rely on.
 */
#ifndef DK_CLI_H
#define DK_CLI_H

#include "util.h"

#ifdef __cplusplus
extern "C" {
#endif

#define DAMASKLUG_VERSION "0.1.0"

/* X(NAME, code, "meaning") */
#define CLI_EXIT_CODES(X)                                                 \
	X(OK, 0, "done; a change is accepted")                            \
	X(INVALID, 1, "the change is invalid; nothing was decided")       \
	X(USAGE, 2, "wrong usage, or a file with faults")                 \
	X(UNREACHABLE, 3, "no server could be reached; nothing was sent") \
	X(OUTCOME_UNKNOWN, 4,                                             \
	  "the outcome is unknown; run again with the same --change-id")  \
	X(CONFLICT, 5, "the base revision is not the current one")        \
	X(NOT_DECIDED, 6, "no quorum; the change was not decided")        \
	X(NOT_IN_FORCE, 7,                                                \
	  "accepted, but not in force on all live hosts within --wait")   \
	X(NOT_FOUND, 8, "no such row or path exists")                     \
	X(UNAUTHORIZED, 9, "the operators' token is missing or wrong")    \
	X(FAILED, 10, "the server failed")

typedef enum cli_exit {
#define X(name, code, help) CLI_##name = code,
	CLI_EXIT_CODES(X)
#undef X
} cli_exit_t;

/*
 * Runs one subcommand of the client and returns its exit code. argv[0] is the
 * name of the program.
 */
int cli_main(int argc, char **argv);

/*
 * Append the manual pages of refusal reasons and of counters, as Markdown made
 * from the tables in the code.
 */
void cli_reasons_page(buf_t *out);
void cli_counters_page(buf_t *out);
/* Appends the manual page of subcommands, options and exit codes. */
void cli_manual(buf_t *out);

#ifdef __cplusplus
}
#endif
#endif
