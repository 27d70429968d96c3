/* reason.c - look-up in the table of reasons. */
#include "reason.h"

static const reason_info_t refusal_reasons[REASON_COUNT] = {
	{"none", 200, RUN_NO, 0, ""},
#define X(name, str, status, run, retry, help) {str, status, run, retry, help},
	REFUSAL_REASONS(X)
#undef X
};

static const struct {
	const char *name;
	const char *help;
} retry_reasons[RETRY_REASON_COUNT] = {
#define X(name, str, help) {str, help},
	RETRY_REASONS(X)
#undef X
};

const reason_info_t *reason_info(reason_t r)
{
	if ((unsigned int)r >= REASON_COUNT)
		r = REASON_NONE;
	return &refusal_reasons[r];
}

reason_t reason_for_run(reason_t r, run_state_t run)
{
	if (run != RUN_NO && reason_info(r)->run_state == RUN_NO)
		return REASON_TARGET_LOST;
	return r;
}

const char *retry_reason_name(retry_reason_t r)
{
	return (unsigned int)r < RETRY_REASON_COUNT ? retry_reasons[r].name
						    : "none";
}

const char *retry_reason_help(retry_reason_t r)
{
	return (unsigned int)r < RETRY_REASON_COUNT ? retry_reasons[r].help
						    : "";
}

const char *run_state_name(run_state_t r)
{
	static const char *const names[] = {"no", "unknown", "yes"};

	return names[r <= RUN_YES ? r : RUN_UNKNOWN];
}
