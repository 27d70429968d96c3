/*
 * template.h - templates of organisations. A template has typed parameters;
 * the values that an operator sets for them determine the priority, the limits
 * and the adapters of an organisation.
 */
#ifndef DK_TEMPLATE_H
#define DK_TEMPLATE_H

#include "change.pb-c.h"
#include "decided.h"

#ifdef __cplusplus
extern "C" {
#endif

#define TEMPLATE_PARAMS_MAX 64u
#define TEMPLATE_ADAPTERS_MAX 64u
/* Most adapters that one organisation may get from its template. */
#define TEMPLATE_EXPANDED_MAX 1024u

/* Valid ranges of an organisation's settings. */
#define ORG_PRIORITY_MIN (-100)
#define ORG_PRIORITY_MAX 100
#define ORG_LIMIT_MAX 1000000u
#define ORG_RETRY_PERCENT_MAX 100u

typedef struct resolved_adapter {
	str_t name; /* owned by the resolved_org_t */
	str_t base; /* owned by the resolved_org_t */
	uint32_t load_ms;
	/* Version that is published when the adapter is created; 0: none. */
	uint32_t version;
} resolved_adapter_t;

/* What an organisation gets from its template and settings. */
typedef struct resolved_org {
	int32_t priority;
	org_limits_t limits;
	resolved_adapter_t *adapters;
	size_t n_adapters;
} resolved_org_t;

/*
 * Checks what can be checked of a template without an organisation. Returns 0,
 * or -1 after it appended the fault to *error, after the name of its field.
 */
int template_check(const Dk__Template *t, buf_t *error);

/*
 * Fills *out for the organisation of the given name. t and s, its template and
 * the operator's settings, may be NULL; the settings take precedence over the
 * template. Returns 0, or -1 after it appended to *error. The caller frees *out
 * in both cases.
 */
int template_resolve(const Dk__Template *t, const Dk__OrgSettings *s,
		     str_t org_name, resolved_org_t *out, buf_t *error);
void resolved_org_free(resolved_org_t *r);

/*
 * Checks the value of one parameter. Returns 0, or -1 after it appended to
 * *error.
 */
int template_check_value(const Dk__Param *p, const char *value, buf_t *error);

#ifdef __cplusplus
}
#endif
#endif
