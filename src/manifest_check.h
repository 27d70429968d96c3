/*
 * manifest_check.h - what an operator should know of a valid manifest before sending it:
 * entries that never take effect, limits that contradict each other, and what
 * differs from the manifest in force.
 */
#ifndef DK_MANIFEST_CHECK_H
#define DK_MANIFEST_CHECK_H

#include "manifest.h"

#ifdef __cplusplus
extern "C" {
#endif

/* X(NAME, "name", "meaning") */
#define FINDING_KINDS(X)                                                      \
	X(NEVER, "never", "the entry never takes effect")                     \
	X(CONTRADICTION, "contradiction", "two values contradict each other") \
	X(ADDED, "added", "not in the manifest in force")                     \
	X(REMOVED, "removed", "only in the manifest in force")                \
	X(CHANGED, "changed", "another value than in the manifest in force")

typedef enum finding_kind {
#define X(name, text, meaning) FINDING_##name,
	FINDING_KINDS(X)
#undef X
} finding_kind_t;

typedef struct finding {
	finding_kind_t kind;
	const char *row; /* "route", "service", "organisation" or "manifest" */
	str_t name;	 /* of the row */
	str_t text;	 /* valid during the call only, as is name */
} finding_t;

const char *finding_kind_name(finding_kind_t kind);
/* Whether it is a fault of the manifest itself, not a difference. */
bool finding_is_warning(finding_kind_t kind);

typedef struct finding_sink {
	void (*found)(void *ctx, const finding_t *f);
	void *ctx;
} finding_sink_t;

/* Reports what is wrong within one manifest. */
void manifest_check(const manifest_t *m, const finding_sink_t *sink);
/* Reports how m differs from the manifest in force. */
void manifest_diff(const manifest_t *m, const manifest_t *in_force,
		   const finding_sink_t *sink);

#ifdef __cplusplus
}
#endif
#endif
