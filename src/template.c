/* template.c - checks templates and resolves them for an organisation. */
#include "template.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "change.h"

#define VALUE_BYTES_MAX 256u
/*
 * Parameters that every template has without declaring them: the name of the
 * organisation, and the number of the adapter, counted from 1.
 */
#define PARAM_ORG "org"
#define PARAM_NUMBER "n"

static int parse_int(const char *s, int64_t *out)
{
	char *end;

	errno = 0;
	*out = strtoll(s, &end, 10);
	if (errno || end == s || *end || s[0] == ' ')
		return -1;
	return 0;
}

static bool is_choice(const Dk__Param *p, const char *value)
{
	for (size_t i = 0; i < p->n_choices; i++)
		if (strcmp(p->choices[i], value) == 0)
			return true;
	return p->n_choices == 0;
}

static int check_int(const Dk__Param *p, const char *value, buf_t *error)
{
	int64_t v;

	if (parse_int(value, &v)) {
		buf_printf(error, "'%s' is not an integer", value);
		return -1;
	}
	if (p->has_min && v < p->min) {
		buf_printf(error, "%s is below the minimum, %lld", value,
			   (long long)p->min);
		return -1;
	}
	if (p->has_max && v > p->max) {
		buf_printf(error, "%s is above the maximum, %lld", value,
			   (long long)p->max);
		return -1;
	}
	return 0;
}

int template_check_value(const Dk__Param *p, const char *value, buf_t *error)
{
	if (strlen(value) > VALUE_BYTES_MAX) {
		buf_printf(error, "is longer than %u bytes", VALUE_BYTES_MAX);
		return -1;
	}
	if (p->kind == DK__PARAM__KIND__INT)
		return check_int(p, value, error);
	if (is_choice(p, value))
		return 0;
	buf_printf(error, "'%s' is not one of:", value);
	for (size_t i = 0; i < p->n_choices; i++)
		buf_printf(error, " %s", p->choices[i]);
	return -1;
}

static const Dk__Param *find_param(const Dk__Template *t, str_t name)
{
	for (size_t i = 0; t && i < t->n_params; i++)
		if (str_eq(str_c(t->params[i]->name), name))
			return t->params[i];
	return NULL;
}

static bool is_implicit(str_t name)
{
	return str_eq(name, STR(PARAM_ORG)) || str_eq(name, STR(PARAM_NUMBER));
}

/* The values of the {name} references while a template is expanded. */
typedef struct expansion {
	const Dk__Template *t;
	const Dk__OrgSettings *settings;
	str_t org_name;
	uint64_t adapter_number; /* value of {n} */
} expansion_t;

static const char *find_setting(const Dk__OrgSettings *s, const char *name)
{
	for (size_t i = 0; s && i < s->n_params; i++)
		if (strcmp(s->params[i]->name, name) == 0)
			return s->params[i]->value;
	return NULL;
}

/* Appends the value of a parameter; -1 if it has none. */
static int append_value(const expansion_t *ex, str_t name, buf_t *out)
{
	const Dk__Param *p = find_param(ex->t, name);
	const char *value;

	if (str_eq(name, STR(PARAM_ORG))) {
		buf_put(out, ex->org_name.p, ex->org_name.n);
		return 0;
	}
	if (str_eq(name, STR(PARAM_NUMBER))) {
		buf_printf(out, "%llu", (unsigned long long)ex->adapter_number);
		return 0;
	}
	if (!p)
		return -1;
	value = find_setting(ex->settings, p->name);
	if (!value)
		value = p->default_value;
	if (!value)
		return -1;
	buf_puts(out, value);
	return 0;
}

/*
 * Called for each part of a text that may hold {name} references: is_name tells
 * whether part is such a name, without the braces, or literal bytes.
 */
typedef int (*part_fn_t)(void *ctx, str_t part, bool is_name);

/* Returns -1 if fn does, or if a brace is empty or not closed. */
static int for_each_part(str_t text, part_fn_t fn, void *ctx)
{
	str_t literal, rest, name;

	while (text.n) {
		if (!str_split(text, '{', &literal, &rest))
			return fn(ctx, literal, false);
		if (literal.n && fn(ctx, literal, false))
			return -1;
		if (!str_split(rest, '}', &name, &text) || !name.n)
			return -1;
		if (fn(ctx, name, true))
			return -1;
	}
	return 0;
}

typedef struct check_ctx {
	const Dk__Template *t;
	buf_t *error;
} check_ctx_t;

static int check_part(void *ctx, str_t part, bool is_name)
{
	const check_ctx_t *c = ctx;

	if (!is_name || is_implicit(part) || find_param(c->t, part))
		return 0;
	buf_printf(c->error, "names no parameter: {%.*s}", STR_ARG(part));
	return -1;
}

/* Checks that every {name} in the text of a field is a parameter. */
static int check_references(const Dk__Template *t, const char *field,
			    const char *text, buf_t *error)
{
	check_ctx_t c = {t, error};
	size_t prefix_len;

	buf_printf(error, "%s: ", field);
	prefix_len = error->n;
	if (for_each_part(str_c(text), check_part, &c)) {
		if (error->n == prefix_len)
			buf_puts(error, "has an empty or unclosed brace");
		return -1;
	}
	buf_reset(error);
	return 0;
}

static int check_param(const Dk__Template *t, size_t i, buf_t *error)
{
	const Dk__Param *p = t->params[i];

	buf_printf(error, "params.%s: ", p->name);
	if (!name_valid(str_c(p->name)) || is_implicit(str_c(p->name))) {
		buf_puts(error, "is not a valid parameter name");
		return -1;
	}
	for (size_t j = 0; j < i; j++) {
		if (strcmp(t->params[j]->name, p->name) == 0) {
			buf_puts(error, "is defined twice");
			return -1;
		}
	}
	if (p->has_min && p->has_max && p->min > p->max) {
		buf_puts(error, "min is above max");
		return -1;
	}
	if (p->kind == DK__PARAM__KIND__INT && p->n_choices) {
		buf_puts(error, "choices are only allowed for strings");
		return -1;
	}
	if (p->kind != DK__PARAM__KIND__INT && (p->has_min || p->has_max)) {
		buf_puts(error, "min and max are only allowed for integers");
		return -1;
	}
	if (p->default_value) {
		buf_puts(error, "default ");
		if (template_check_value(p, p->default_value, error))
			return -1;
	}
	buf_reset(error);
	return 0;
}

static int check_adapter(const Dk__Template *t, size_t i, buf_t *error)
{
	const Dk__TemplateAdapter *a = t->adapters[i];
	char field[64];

	snprintf(field, sizeof(field), "adapters[%zu].name", i);
	if (check_references(t, field, a->name, error))
		return -1;
	snprintf(field, sizeof(field), "adapters[%zu].base", i);
	if (check_references(t, field, a->base_model, error))
		return -1;
	snprintf(field, sizeof(field), "adapters[%zu].count", i);
	return a->count ? check_references(t, field, a->count, error) : 0;
}

static int check_number_fields(const Dk__Template *t, buf_t *error)
{
	const struct {
		const char *field;
		const char *text;
	} numbers[] = {
		{"priority", t->priority},
		{"rate_per_s", t->rate_per_s},
		{"burst", t->burst},
		{"concurrency", t->concurrency},
		{"retry_percent", t->retry_percent},
	};

	for (size_t i = 0; i < ARRAY_SIZE(numbers); i++)
		if (numbers[i].text && check_references(t, numbers[i].field,
							numbers[i].text, error))
			return -1;
	return 0;
}

int template_check(const Dk__Template *t, buf_t *error)
{
	if (!name_valid(str_c(t->name))) {
		buf_puts(error, "name: is not a valid name");
		return -1;
	}
	if (t->n_params > TEMPLATE_PARAMS_MAX ||
	    t->n_adapters > TEMPLATE_ADAPTERS_MAX) {
		buf_printf(error, "has more than %u parameters or adapters",
			   TEMPLATE_PARAMS_MAX);
		return -1;
	}
	for (size_t i = 0; i < t->n_params; i++)
		if (check_param(t, i, error))
			return -1;
	for (size_t i = 0; i < t->n_adapters; i++)
		if (check_adapter(t, i, error))
			return -1;
	return check_number_fields(t, error);
}

typedef struct expand_ctx {
	const expansion_t *expansion;
	buf_t *out;
} expand_ctx_t;

static int expand_part(void *ctx, str_t part, bool is_name)
{
	const expand_ctx_t *expand_ctx = ctx;

	if (is_name)
		return append_value(expand_ctx->expansion, part,
				    expand_ctx->out);
	buf_put(expand_ctx->out, part.p, part.n);
	return 0;
}

static int expand(const expansion_t *ex, const char *text, buf_t *out)
{
	expand_ctx_t expand_ctx = {ex, out};

	return for_each_part(str_c(text), expand_part, &expand_ctx);
}

static int resolve_int(const expansion_t *ex, const char *field,
		       const char *text, int64_t min, int64_t max, int64_t *out,
		       buf_t *error)
{
	AUTO_BUF buf_t value = {0};

	if (!text)
		return 0;
	if (expand(ex, text, &value) || !value.n || parse_int(value.p, out)) {
		buf_printf(error, "%s: '%s' does not expand to an integer",
			   field, text);
		return -1;
	}
	if (*out < min || *out > max) {
		buf_printf(error, "%s: %lld is not between %lld and %lld",
			   field, (long long)*out, (long long)min,
			   (long long)max);
		return -1;
	}
	return 0;
}

static int resolve_limit(const expansion_t *ex, const char *field,
			 const char *text, uint32_t max, uint32_t *out,
			 buf_t *error)
{
	int64_t v = 0;

	if (resolve_int(ex, field, text, 0, max, &v, error))
		return -1;
	*out = (uint32_t)v;
	return 0;
}

static int resolve_number_fields(const expansion_t *ex, resolved_org_t *out,
				 buf_t *error)
{
	const Dk__Template *t = ex->t;
	int64_t priority = 0;

	if (resolve_int(ex, "priority", t->priority, ORG_PRIORITY_MIN,
			ORG_PRIORITY_MAX, &priority, error))
		return -1;
	out->priority = (int32_t)priority;
	if (resolve_limit(ex, "rate_per_s", t->rate_per_s, ORG_LIMIT_MAX,
			  &out->limits.rate_per_s, error) ||
	    resolve_limit(ex, "burst", t->burst, ORG_LIMIT_MAX,
			  &out->limits.burst, error) ||
	    resolve_limit(ex, "concurrency", t->concurrency, ORG_LIMIT_MAX,
			  &out->limits.concurrency, error))
		return -1;
	return resolve_limit(ex, "retry_percent", t->retry_percent,
			     ORG_RETRY_PERCENT_MAX, &out->limits.retry_percent,
			     error);
}

static int add_adapter(const expansion_t *ex, const Dk__TemplateAdapter *a,
		       resolved_org_t *out, buf_t *error)
{
	AUTO_BUF buf_t name = {0};
	AUTO_BUF buf_t base = {0};
	resolved_adapter_t *ra;

	if (expand(ex, a->name, &name) || !name_valid(buf_str(&name))) {
		buf_printf(error,
			   "adapters: '%s' does not expand to a valid name",
			   a->name);
		return -1;
	}
	for (size_t i = 0; i < out->n_adapters; i++) {
		if (str_eq(out->adapters[i].name, buf_str(&name))) {
			buf_printf(error,
				   "adapters: '%s' expands to '%s' twice",
				   a->name, name.p);
			return -1;
		}
	}
	if (expand(ex, a->base_model, &base) ||
	    !model_name_valid(buf_str(&base))) {
		buf_printf(error,
			   "adapters: '%s' does not expand to a valid base",
			   a->base_model);
		return -1;
	}
	ra = &out->adapters[out->n_adapters++];
	ra->name = str_copy(buf_str(&name));
	ra->base = str_copy(buf_str(&base));
	ra->load_ms = a->load_ms;
	ra->version = a->version;
	return 0;
}

static int resolve_adapters(expansion_t *ex, resolved_org_t *out, buf_t *error)
{
	for (size_t i = 0; i < ex->t->n_adapters; i++) {
		const Dk__TemplateAdapter *a = ex->t->adapters[i];
		int64_t count = 1;

		if (resolve_int(
			    ex, "adapters.count", a->count, 0,
			    (int64_t)(TEMPLATE_EXPANDED_MAX - out->n_adapters),
			    &count, error))
			return -1;
		out->adapters = xrealloc(out->adapters,
					 (out->n_adapters + (size_t)count) *
						 sizeof(*out->adapters));
		for (ex->adapter_number = 1;
		     ex->adapter_number <= (uint64_t)count;
		     ex->adapter_number++)
			if (add_adapter(ex, a, out, error))
				return -1;
	}
	return 0;
}

/*
 * Checks that each setting has a parameter and a valid value, and that each
 * parameter without a default is set.
 */
static int check_settings(const expansion_t *ex, buf_t *error)
{
	const Dk__OrgSettings *s = ex->settings;

	for (size_t i = 0; s && i < s->n_params; i++) {
		const Dk__Param *p =
			find_param(ex->t, str_c(s->params[i]->name));

		buf_printf(error, "params.%s: ", s->params[i]->name);
		if (!p) {
			buf_puts(error, "the template has no such parameter");
			return -1;
		}
		if (template_check_value(p, s->params[i]->value, error))
			return -1;
		buf_reset(error);
	}
	for (size_t i = 0; ex->t && i < ex->t->n_params; i++) {
		const Dk__Param *p = ex->t->params[i];

		if (p->default_value || find_setting(s, p->name))
			continue;
		buf_printf(error, "params.%s: is required", p->name);
		return -1;
	}
	return 0;
}

static int set_limit(const char *field, bool is_set, uint32_t v, uint32_t max,
		     uint32_t *out, buf_t *error)
{
	if (!is_set)
		return 0;
	if (v > max) {
		buf_printf(error, "%s: %u is above the maximum, %u", field, v,
			   max);
		return -1;
	}
	*out = v;
	return 0;
}

/* Replaces what the template gives by what the operator has set. */
static int override(const Dk__OrgSettings *s, resolved_org_t *out, buf_t *error)
{
	if (!s)
		return 0;
	if (s->has_priority && (s->priority < ORG_PRIORITY_MIN ||
				s->priority > ORG_PRIORITY_MAX)) {
		buf_printf(error, "priority: %d is not between %d and %d",
			   s->priority, ORG_PRIORITY_MIN, ORG_PRIORITY_MAX);
		return -1;
	}
	if (s->has_priority)
		out->priority = s->priority;
	if (set_limit("rate_per_s", s->has_rate_per_s, s->rate_per_s,
		      ORG_LIMIT_MAX, &out->limits.rate_per_s, error) ||
	    set_limit("burst", s->has_burst, s->burst, ORG_LIMIT_MAX,
		      &out->limits.burst, error) ||
	    set_limit("concurrency", s->has_concurrency, s->concurrency,
		      ORG_LIMIT_MAX, &out->limits.concurrency, error))
		return -1;
	return set_limit("retry_percent", s->has_retry_percent,
			 s->retry_percent, ORG_RETRY_PERCENT_MAX,
			 &out->limits.retry_percent, error);
}

int template_resolve(const Dk__Template *t, const Dk__OrgSettings *s,
		     str_t org_name, resolved_org_t *out, buf_t *error)
{
	expansion_t ex = {t, s, org_name, 0};

	memset(out, 0, sizeof(*out));
	if (check_settings(&ex, error))
		return -1;
	if (t && resolve_number_fields(&ex, out, error))
		return -1;
	if (t && resolve_adapters(&ex, out, error))
		return -1;
	return override(s, out, error);
}

void resolved_org_free(resolved_org_t *r)
{
	for (size_t i = 0; i < r->n_adapters; i++) {
		str_free(&r->adapters[i].name);
		str_free(&r->adapters[i].base);
	}
	free(r->adapters);
	r->adapters = NULL;
	r->n_adapters = 0;
}
