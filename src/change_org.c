/* change_org.c - operations of a change on templates and organisations. */
#include "change_int.h"

#include <stdlib.h>
#include <string.h>

#include "template.h"

static Dk__Template *unpack_template(const decided_t *d, str_t name)
{
	const template_row_t *row = decided_template_by_name(d, name);

	if (!row)
		return NULL;
	return dk__template__unpack(NULL, row->spec.n,
				    (const uint8_t *)row->spec.p);
}

static void free_template(Dk__Template **t)
{
	if (*t)
		dk__template__free_unpacked(*t, NULL);
}

static void free_settings(Dk__OrgSettings **s)
{
	if (*s)
		dk__org_settings__free_unpacked(*s, NULL);
}

static Dk__OrgSettings *unpack_settings(const org_t *org)
{
	return dk__org_settings__unpack(
		NULL, org->settings.n,
		(const uint8_t *)(org->settings.p ? org->settings.p : ""));
}

static bool resolved_has(const resolved_org_t *org, str_t name)
{
	for (size_t i = 0; i < org->n_adapters; i++)
		if (str_eq(org->adapters[i].name, name))
			return true;
	return false;
}

/* Creates or updates one adapter that a template gives to an organisation. */
static int put_template_adapter(apply_ctx_t *ap, const org_t *org,
				const resolved_adapter_t *ra)
{
	const adapter_t *old = decided_adapter_by_name(ap->d, ra->name);
	adapter_t row = {0};

	if (old && old->org_id != org->id)
		return change_fail(
			ap, "adapters",
			"adapter '%.*s' of organisation '%.*s' exists "
			"already and belongs to another",
			STR_ARG(ra->name), STR_ARG(org->name));
	if (old)
		row = *old;
	row.name = ra->name;
	row.org_id = org->id;
	row.load_ms = ra->load_ms;
	if (!row.n_versions)
		row.base = ra->base;
	if (row.n_versions && !str_eq(row.base, ra->base))
		return change_fail(
			ap, "adapters",
			"adapter '%.*s' has published versions; its base "
			"cannot change",
			STR_ARG(ra->name));
	if (old && old->load_ms == row.load_ms && str_eq(old->base, row.base))
		return 0;
	if (!old && ra->version) {
		row.current_version = ra->version;
		row.versions = &ra->version;
		row.n_versions = 1;
	}
	decided_put_adapter(ap->d, &row);
	return 0;
}

/*
 * Whether an operator has published a version of the adapter, apart from the
 * one that the template publishes.
 */
static bool has_operator_versions(const adapter_t *a, uint32_t template_version)
{
	if (a->n_versions == 0)
		return false;
	return a->n_versions > 1 || a->versions[0] != template_version;
}

/*
 * Deletes the adapters that the template no longer gives to the organisation,
 * except those to which an operator has published.
 */
static void delete_dropped_adapters(apply_ctx_t *ap, uint32_t org_id,
				    const resolved_org_t *before,
				    const resolved_org_t *after)
{
	for (size_t i = 0; i < before->n_adapters; i++) {
		str_t name = before->adapters[i].name;
		const adapter_t *a = decided_adapter_by_name(ap->d, name);

		if (!a || a->org_id != org_id ||
		    has_operator_versions(a, before->adapters[i].version))
			continue;
		if (!resolved_has(after, name))
			decided_del_adapter(ap->d, a->id);
	}
}

/*
 * Stores an organisation with the priority, limits and adapters that follow
 * from template and settings. row->id is 0 for a new organisation; before holds
 * the adapters that its template has given it so far.
 */
static int put_org(apply_ctx_t *ap, org_t *row, const Dk__Template *t,
		   const Dk__OrgSettings *s, const resolved_org_t *before)
{
	CLEANUP(resolved_org_free) resolved_org_t after = {0};
	AUTO_BUF buf_t packed = {0};
	AUTO_BUF buf_t error = {0};
	uint32_t id;

	if (template_resolve(t, s, row->name, &after, &error))
		return change_fail(ap, "", "organisation '%.*s': %s",
				   STR_ARG(row->name), error.p ? error.p : "");
	change_pack_message(s, &packed);
	row->settings = buf_str(&packed);
	row->priority = after.priority;
	row->limits = after.limits;
	/* Afterwards the strings of *row may be freed: the old row owns them. */
	id = decided_put_org(ap->d, row);
	for (size_t i = 0; i < after.n_adapters; i++)
		if (put_template_adapter(ap, decided_org(ap->d, id),
					 &after.adapters[i]))
			return -1;
	delete_dropped_adapters(ap, id, before, &after);
	return 0;
}

/* Applies a changed template to one organisation that uses it. */
static int reapply_template(apply_ctx_t *ap, const org_t *org,
			    const Dk__Template *old, const Dk__Template *t)
{
	CLEANUP(free_settings) Dk__OrgSettings *s = unpack_settings(org);
	CLEANUP(resolved_org_free) resolved_org_t before = {0};
	AUTO_BUF buf_t ignored_error = {0};
	org_t row = *org;

	if (!s)
		return change_fail(ap, "", "the stored settings are damaged");
	template_resolve(old, s, org->name, &before, &ignored_error);
	return put_org(ap, &row, t, s, &before);
}

int change_template_put(apply_ctx_t *ap, const Dk__Template *t)
{
	str_t name = str_c(t->name);
	CLEANUP(free_template)
	Dk__Template *old = unpack_template(ap->d, name);
	AUTO_BUF buf_t error = {0};
	AUTO_BUF buf_t spec = {0};
	template_row_t row = {0};

	if (template_check(t, &error))
		return change_fail(ap, "", "%s", error.p ? error.p : "");
	change_pack_message(t, &spec);
	row.name = name;
	row.spec = buf_str(&spec);
	decided_put_template(ap->d, &row);
	for (size_t i = 0; old && i < decided_org_count(ap->d); i++) {
		const org_t *org = decided_org_at(ap->d, i);

		if (str_eq(org->template_name, name) &&
		    reapply_template(ap, org, old, t))
			return -1;
	}
	return 0;
}

int change_template_del(apply_ctx_t *ap, const char *name)
{
	const template_row_t *row =
		decided_template_by_name(ap->d, str_c(name));

	if (!row)
		return change_fail_unknown(ap, "name", "template", name);
	for (size_t i = 0; i < decided_org_count(ap->d); i++) {
		const org_t *org = decided_org_at(ap->d, i);

		if (str_eq(org->template_name, row->name))
			return change_fail(ap, "name",
					   "organisation '%.*s' uses it",
					   STR_ARG(org->name));
	}
	decided_del_template(ap->d, row->id);
	return 0;
}

static int check_token(apply_ctx_t *ap, const Dk__Org *o, const org_t *self)
{
	str_t hash = str_n((char *)o->token_hash.data, o->token_hash.len);

	if (!o->has_token_hash)
		return 0;
	if (hash.n != TOKEN_HASH_BYTES)
		return change_fail(ap, "token_hash", "must have %u bytes",
				   TOKEN_HASH_BYTES);
	for (size_t i = 0; i < decided_org_count(ap->d); i++) {
		const org_t *org = decided_org_at(ap->d, i);

		if (org != self && str_eq(org->token_hash, hash))
			return change_fail(ap, "token_hash",
					   "organisation '%.*s' has this token",
					   STR_ARG(org->name));
	}
	return 0;
}

/* Sets *t to the named template, or to NULL if none is named; -1 on error. */
static int find_template(apply_ctx_t *ap, const char *name, Dk__Template **t)
{
	*t = NULL;
	if (!name || !name[0])
		return 0;
	*t = unpack_template(ap->d, str_c(name));
	return *t ? 0 : change_fail_unknown(ap, "template", "template", name);
}

int change_org_create(apply_ctx_t *ap, const Dk__Org *o)
{
	CLEANUP(free_template) Dk__Template *t = NULL;
	Dk__OrgSettings no_settings = DK__ORG_SETTINGS__INIT;
	resolved_org_t before = {0};
	org_t row = {0};

	if (change_check_name(ap, "name", o->name) || check_token(ap, o, NULL))
		return -1;
	row.name = str_c(o->name);
	if (decided_org_by_name(ap->d, row.name))
		return change_fail(ap, "name",
				   "organisation '%s' exists already", o->name);
	if (o->n_unset)
		return change_fail(ap, "unset",
				   "is not allowed for a new organisation");
	if (find_template(ap, o->template_name, &t))
		return -1;
	row.template_name = str_c(o->template_name);
	row.token_hash = str_n((char *)o->token_hash.data, o->token_hash.len);
	return put_org(ap, &row, t, o->settings ? o->settings : &no_settings,
		       &before);
}

static void set_param(Dk__OrgSettings *s, const Dk__Setting *from)
{
	Dk__Setting *p;

	for (size_t i = 0; i < s->n_params; i++) {
		if (strcmp(s->params[i]->name, from->name) == 0) {
			free(s->params[i]->value);
			s->params[i]->value = str_dup(str_c(from->value));
			return;
		}
	}
	s->params = xrealloc(s->params, (s->n_params + 1) * sizeof(*s->params));
	p = xmalloc(sizeof(*p));
	dk__setting__init(p);
	p->name = str_dup(str_c(from->name));
	p->value = str_dup(str_c(from->value));
	s->params[s->n_params++] = p;
}

static void merge_settings(Dk__OrgSettings *s, const Dk__OrgSettings *from)
{
	for (size_t i = 0; i < from->n_params; i++)
		set_param(s, from->params[i]);
#define MERGE(field)                    \
	if (from->has_##field) {        \
		s->has_##field = true;  \
		s->field = from->field; \
	}
	MERGE(priority)
	MERGE(rate_per_s)
	MERGE(burst)
	MERGE(concurrency)
	MERGE(retry_percent)
#undef MERGE
}

static int unset_param(Dk__OrgSettings *s, const char *name)
{
	for (size_t i = 0; i < s->n_params; i++) {
		if (strcmp(s->params[i]->name, name))
			continue;
		dk__setting__free_unpacked(s->params[i], NULL);
		s->params[i] = s->params[--s->n_params];
		return 0;
	}
	return -1;
}

static int unset_setting(Dk__OrgSettings *s, const char *name)
{
#define UNSET(field)                     \
	if (strcmp(name, #field) == 0) { \
		s->has_##field = false;  \
		s->field = 0;            \
		return 0;                \
	}
	UNSET(priority)
	UNSET(rate_per_s)
	UNSET(burst)
	UNSET(concurrency)
	UNSET(retry_percent)
#undef UNSET
	return unset_param(s, name);
}

int change_org_set(apply_ctx_t *ap, const Dk__Org *o)
{
	const org_t *org = decided_org_by_name(ap->d, str_c(o->name));
	CLEANUP(free_settings) Dk__OrgSettings *s = NULL;
	CLEANUP(free_template) Dk__Template *old = NULL;
	CLEANUP(free_template) Dk__Template *t = NULL;
	CLEANUP(resolved_org_free) resolved_org_t before = {0};
	AUTO_BUF buf_t ignored_error = {0};
	org_t row;

	if (!org)
		return change_fail_unknown(ap, "name", "organisation", o->name);
	if (check_token(ap, o, org))
		return -1;
	s = unpack_settings(org);
	if (!s)
		return change_fail(ap, "", "the stored settings are damaged");
	old = unpack_template(ap->d, org->template_name);
	template_resolve(old, s, org->name, &before, &ignored_error);
	row = *org;
	if (o->template_name)
		row.template_name = str_c(o->template_name);
	t = unpack_template(ap->d, row.template_name);
	if (row.template_name.n && !t)
		return change_fail_unknown(ap, "template", "template",
					   o->template_name);
	if (o->has_token_hash)
		row.token_hash =
			str_n((char *)o->token_hash.data, o->token_hash.len);
	for (size_t i = 0; i < o->n_unset; i++)
		if (unset_setting(s, o->unset[i]))
			return change_fail(ap, "unset", "'%.80s' is not set",
					   o->unset[i]);
	if (o->settings)
		merge_settings(s, o->settings);
	return put_org(ap, &row, t, s, &before);
}

int change_org_del(apply_ctx_t *ap, const char *name)
{
	const org_t *org = decided_org_by_name(ap->d, str_c(name));

	if (!org)
		return change_fail_unknown(ap, "name", "organisation", name);
	for (size_t i = 0; i < decided_adapter_count(ap->d); i++) {
		const adapter_t *a = decided_adapter_at(ap->d, i);

		if (a->org_id == org->id)
			return change_fail(
				ap, "name",
				"it still has adapter '%.*s'; delete its "
				"adapters first",
				STR_ARG(a->name));
	}
	decided_del_org(ap->d, org->id);
	return 0;
}
