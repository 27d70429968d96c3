/*
 * template.h - templates of organisations: typed parameters, and the settings
 * and adapters that an organisation gets from them.
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
/* Adapters that one organisation may get from its template. */
#define TEMPLATE_EXPANDED_MAX 1024u

/* Ranges of an organisation's settings. */
#define ORG_PRIORITY_MIN (-100)
#define ORG_PRIORITY_MAX 100
#define ORG_LIMIT_MAX 1000000u
#define ORG_RETRY_PERCENT_MAX 100u

typedef struct resolved_adapter {
	str_t name; /* owned by the resolved_org_t */
	str_t base; /* owned by the resolved_org_t */
	uint32_t load_ms;
	uint32_t version; /* published for a new adapter; 0: none */
} resolved_adapter_t;

/* What an organisation gets from template and settings together. */
typedef struct resolved {
	int32_t priority;
	org_limits_t limits;
	resolved_adapter_t *adapters;
	size_t n_adapters;
} resolved_org_t;

/*
 * Checks a template apart from any organisation; 0, or -1 with the field and
 * what is expected appended to *error.
 */
int template_check(const Dk__Template *t, buf_t *error);

/*
 * Fills *out from a template (NULL: none) and the operator's settings (NULL:
 * none), which go first. 0, or -1 with *error; *out is to be freed in both
 * cases.
 */
int template_resolve(const Dk__Template *t, const Dk__OrgSettings *s, str_t org,
		     resolved_org_t *out, buf_t *error);
void resolved_org_free(resolved_org_t *r);

/* "ok", or the checks of one parameter's value; 0, or -1 with *error. */
int template_check_value(const Dk__Param *p, const char *value, buf_t *error);

#ifdef __cplusplus
}
#endif
#endif
