/*
 * template_file.c - converts a template from TOML to JSON; errors tell the line
 * of the file.
 */
#include "template_file.h"

#include <stdio.h>
#include <string.h>

#include "change.pb-c.h"
#include "change_json.h"
#include "template.h"
#include "toml.h"

#define SECTION_PARAMS "params"
#define SECTION_ADAPTERS "adapters"

/* The type of value that a key takes. */
typedef enum key_type {
	KEY_STRING,
	KEY_INTEGER,
	KEY_STRING_OR_INTEGER,
	KEY_STRING_LIST,
} key_type_t;

static const struct {
	const char *section; /* "" for keys before any section */
	const char *key;
	const char *json; /* name of the member in the JSON form */
	key_type_t type;
	const char *expected; /* error text for a value of another type */
} keys[] = {
	{"", "name", "name", KEY_STRING, "a string"},
	{"", "priority", "priority", KEY_STRING_OR_INTEGER,
	 "an integer or \"{param}\""},
	{"", "rate_per_s", "rate_per_s", KEY_STRING_OR_INTEGER,
	 "an integer or \"{param}\""},
	{"", "burst", "burst", KEY_STRING_OR_INTEGER,
	 "an integer or \"{param}\""},
	{"", "concurrency", "concurrency", KEY_STRING_OR_INTEGER,
	 "an integer or \"{param}\""},
	{"", "retry_percent", "retry_percent", KEY_STRING_OR_INTEGER,
	 "an integer or \"{param}\""},
	{SECTION_PARAMS, "name", "name", KEY_STRING, "a string"},
	{SECTION_PARAMS, "type", "kind", KEY_STRING, "\"string\" or \"int\""},
	{SECTION_PARAMS, "default", "default", KEY_STRING_OR_INTEGER,
	 "a string or an integer"},
	{SECTION_PARAMS, "min", "min", KEY_INTEGER, "an integer"},
	{SECTION_PARAMS, "max", "max", KEY_INTEGER, "an integer"},
	{SECTION_PARAMS, "choices", "choices", KEY_STRING_LIST,
	 "a list of strings"},
	{SECTION_PARAMS, "help", "help", KEY_STRING, "a string"},
	{SECTION_ADAPTERS, "name", "name", KEY_STRING, "a string"},
	{SECTION_ADAPTERS, "base", "base", KEY_STRING, "a string"},
	{SECTION_ADAPTERS, "count", "count", KEY_STRING_OR_INTEGER,
	 "an integer or \"{param}\""},
	{SECTION_ADAPTERS, "load_ms", "load_ms", KEY_INTEGER, "an integer"},
	{SECTION_ADAPTERS, "version", "version", KEY_INTEGER, "an integer"},
};

/* A template file that is being read. */
typedef struct template_file {
	const char *path;
	const toml_doc_t *doc;
	buf_t *errors;
	bool has_faults;
} template_file_t;

static void add_fault(template_file_t *f, uint32_t line, str_t key,
		      const char *expected)
{
	buf_printf(f->errors, "%s:%u: %.*s: %s\n", f->path, line, STR_ARG(key),
		   expected);
	f->has_faults = true;
}

/*
 * Returns the JSON object that an item belongs to, which it creates if it does
 * not exist yet; NULL if templates have no such section.
 */
static json_t *section_object(json_t *root, const toml_item_t *item)
{
	char section[32];
	json_t *list;

	if (!item->section.n)
		return root;
	if (!str_eq(item->section, STR(SECTION_PARAMS)) &&
	    !str_eq(item->section, STR(SECTION_ADAPTERS)))
		return NULL;
	if (!item->table_index)
		return NULL;
	snprintf(section, sizeof(section), "%.*s", STR_ARG(item->section));
	list = json_object_get(root, section);
	if (!list) {
		list = json_array();
		json_object_set_new(root, section, list);
	}
	while (json_array_size(list) < item->table_index)
		json_array_append_new(list, json_object());
	return json_array_get(list, item->table_index - 1);
}

static bool type_matches(key_type_t type, const toml_item_t *item)
{
	switch (type) {
	case KEY_STRING:
		return item->kind == TOML_STRING && !item->element_index;
	case KEY_INTEGER:
		return item->kind == TOML_INTEGER && !item->element_index;
	case KEY_STRING_OR_INTEGER:
		return !item->element_index && (item->kind == TOML_STRING ||
						item->kind == TOML_INTEGER);
	case KEY_STRING_LIST:
		return item->kind == TOML_EMPTY_ARRAY ||
		       (item->kind == TOML_STRING && item->element_index);
	}
	return false;
}

static json_t *json_value(const toml_item_t *item)
{
	if (item->kind == TOML_INTEGER)
		return json_integer(item->integer);
	return json_string_lossy(item->string);
}

static void set_member(json_t *object, const char *key, key_type_t type,
		       const toml_item_t *item)
{
	json_t *list;

	if (type != KEY_STRING_LIST) {
		json_object_set_new(object, key, json_value(item));
		return;
	}
	list = json_object_get(object, key);
	if (!list) {
		list = json_array();
		json_object_set_new(object, key, list);
	}
	if (item->element_index)
		json_array_append_new(list, json_value(item));
}

static void add_item(template_file_t *f, json_t *root, const toml_item_t *item)
{
	json_t *object = section_object(root, item);

	for (size_t i = 0; object && i < ARRAY_SIZE(keys); i++) {
		if (!str_eq(item->section, str_c(keys[i].section)) ||
		    !str_eq(item->key, str_c(keys[i].key)))
			continue;
		if (type_matches(keys[i].type, item))
			set_member(object, keys[i].json, keys[i].type, item);
		else
			add_fault(f, item->line, item->key, keys[i].expected);
		return;
	}
	add_fault(f, item->line, item->key, "is not a key of a template");
}

/* Whether an error text "field: ..." concerns this item. */
static bool concerns_item(const toml_item_t *item, const char *error)
{
	AUTO_BUF buf_t field = {0};

	if (!item->section.n)
		buf_printf(&field, "%.*s:", STR_ARG(item->key));
	else if (str_eq(item->section, STR(SECTION_ADAPTERS)))
		buf_printf(&field, "adapters[%u].%.*s:", item->table_index - 1,
			   STR_ARG(item->key));
	else if (str_eq(item->key, STR("name")))
		buf_printf(&field, "params.%.*s:", STR_ARG(item->string));
	return field.n && strncmp(error, field.p, field.n) == 0;
}

/*
 * Reports an error that the check of the whole template has found, at the line
 * of the item that it concerns; line 1 if there is no such item.
 */
static void report_at_item(template_file_t *f, const char *error)
{
	uint32_t line = 1;

	for (size_t i = 0; i < toml_item_count(f->doc); i++) {
		const toml_item_t *item = toml_item_at(f->doc, i);

		if (concerns_item(item, error))
			line = item->line;
	}
	buf_printf(f->errors, "%s:%u: %s\n", f->path, line, error);
	f->has_faults = true;
}

static void check_template(template_file_t *f, const json_t *root)
{
	AUTO_BUF buf_t packed = {0};
	AUTO_BUF buf_t error = {0};
	Dk__Template *t;

	if (template_from_json(root, &packed, &error)) {
		report_at_item(f, error.p);
		return;
	}
	t = dk__template__unpack(NULL, packed.n, (const uint8_t *)packed.p);
	if (!t || template_check(t, &error))
		report_at_item(f, error.p ? error.p : "is malformed");
	if (t)
		dk__template__free_unpacked(t, NULL);
}

json_t *template_file_load(const char *path, buf_t *errors)
{
	toml_doc_t *doc = toml_parse_file(path, errors);
	template_file_t f = {path, doc, errors, false};
	json_t *root;

	if (!doc)
		return NULL;
	root = json_object();
	for (size_t i = 0; i < toml_item_count(doc); i++)
		add_item(&f, root, toml_item_at(doc, i));
	if (!f.has_faults)
		check_template(&f, root);
	toml_free(doc);
	if (!f.has_faults)
		return root;
	json_decref(root);
	return NULL;
}

bool template_file_detect(const char *path)
{
	AUTO_BUF buf_t ignored_errors = {0};
	toml_doc_t *doc = toml_parse_file(path, &ignored_errors);
	bool has_name = false;
	bool has_host_section = false;

	if (!doc)
		return false;
	for (size_t i = 0; i < toml_item_count(doc); i++) {
		const toml_item_t *item = toml_item_at(doc, i);

		has_name |= !item->section.n && str_eq(item->key, STR("name"));
		has_host_section |= str_eq(item->section, STR("host"));
	}
	toml_free(doc);
	return has_name && !has_host_section;
}
