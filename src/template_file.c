/* template_file.c - templates from TOML to JSON, with lines in the errors. */
#include "template_file.h"

#include <stdio.h>
#include <string.h>

#include "change.pb-c.h"
#include "change_json.h"
#include "template.h"
#include "toml.h"

#define SECTION_PARAMS "params"
#define SECTION_ADAPTERS "adapters"

/* What a key may hold. */
typedef enum key_type {
	KEY_STRING,
	KEY_INTEGER,
	KEY_TEXT, /* string or integer */
	KEY_LIST, /* of strings */
} key_type_t;

static const struct {
	const char *section; /* "" is the top */
	const char *key;
	const char *json;
	key_type_t type;
	const char *expected;
} keys[] = {
	{"", "name", "name", KEY_STRING, "a string"},
	{"", "priority", "priority", KEY_TEXT, "an integer or \"{param}\""},
	{"", "rate_per_s", "rate_per_s", KEY_TEXT, "an integer or \"{param}\""},
	{"", "burst", "burst", KEY_TEXT, "an integer or \"{param}\""},
	{"", "concurrency", "concurrency", KEY_TEXT,
	 "an integer or \"{param}\""},
	{"", "retry_percent", "retry_percent", KEY_TEXT,
	 "an integer or \"{param}\""},
	{SECTION_PARAMS, "name", "name", KEY_STRING, "a string"},
	{SECTION_PARAMS, "type", "kind", KEY_STRING, "\"string\" or \"int\""},
	{SECTION_PARAMS, "default", "default", KEY_TEXT,
	 "a string or an integer"},
	{SECTION_PARAMS, "min", "min", KEY_INTEGER, "an integer"},
	{SECTION_PARAMS, "max", "max", KEY_INTEGER, "an integer"},
	{SECTION_PARAMS, "choices", "choices", KEY_LIST, "a list of strings"},
	{SECTION_PARAMS, "help", "help", KEY_STRING, "a string"},
	{SECTION_ADAPTERS, "name", "name", KEY_STRING, "a string"},
	{SECTION_ADAPTERS, "base", "base", KEY_STRING, "a string"},
	{SECTION_ADAPTERS, "count", "count", KEY_TEXT,
	 "an integer or \"{param}\""},
	{SECTION_ADAPTERS, "load_ms", "load_ms", KEY_INTEGER, "an integer"},
	{SECTION_ADAPTERS, "version", "version", KEY_INTEGER, "an integer"},
};

typedef struct file {
	const char *path;
	const toml_doc_t *doc;
	buf_t *errors;
	bool bad;
} file_t;

static void fault(file_t *f, uint32_t line, str_t key, const char *expected)
{
	buf_printf(f->errors, "%s:%u: %.*s: %s\n", f->path, line, STR_ARG(key),
		   expected);
	f->bad = true;
}

/* The object that an item belongs to; NULL where there is no such section. */
static json_t *object_of(json_t *root, const toml_item_t *item)
{
	char section[32];
	json_t *list;

	if (!item->section.n)
		return root;
	if (!str_eq(item->section, STR(SECTION_PARAMS)) &&
	    !str_eq(item->section, STR(SECTION_ADAPTERS)))
		return NULL;
	if (!item->index)
		return NULL;
	snprintf(section, sizeof(section), "%.*s", STR_ARG(item->section));
	list = json_object_get(root, section);
	if (!list) {
		list = json_array();
		json_object_set_new(root, section, list);
	}
	while (json_array_size(list) < item->index)
		json_array_append_new(list, json_object());
	return json_array_get(list, item->index - 1);
}

static bool type_fits(key_type_t type, const toml_item_t *item)
{
	switch (type) {
	case KEY_STRING:
		return item->kind == TOML_STRING && !item->element;
	case KEY_INTEGER:
		return item->kind == TOML_INTEGER && !item->element;
	case KEY_TEXT:
		return !item->element && (item->kind == TOML_STRING ||
					  item->kind == TOML_INTEGER);
	case KEY_LIST:
		return item->kind == TOML_EMPTY_ARRAY ||
		       (item->kind == TOML_STRING && item->element);
	}
	return false;
}

static json_t *json_value(const toml_item_t *item)
{
	if (item->kind == TOML_INTEGER)
		return json_integer(item->i);
	return json_string_lossy(item->s);
}

static void set_value(json_t *object, const char *key, key_type_t type,
		      const toml_item_t *item)
{
	json_t *list;

	if (type != KEY_LIST) {
		json_object_set_new(object, key, json_value(item));
		return;
	}
	list = json_object_get(object, key);
	if (!list) {
		list = json_array();
		json_object_set_new(object, key, list);
	}
	if (item->element)
		json_array_append_new(list, json_value(item));
}

static void add_item(file_t *f, json_t *root, const toml_item_t *item)
{
	json_t *object = object_of(root, item);

	for (size_t i = 0; object && i < ARRAY_SIZE(keys); i++) {
		if (!str_eq(item->section, str_c(keys[i].section)) ||
		    !str_eq(item->key, str_c(keys[i].key)))
			continue;
		if (type_fits(keys[i].type, item))
			set_value(object, keys[i].json, keys[i].type, item);
		else
			fault(f, item->line, item->key, keys[i].expected);
		return;
	}
	fault(f, item->line, item->key, "is not a key of a template");
}

/* Whether an error about "field: ..." is about this item. */
static bool is_about(const toml_item_t *item, const char *error)
{
	AUTO_BUF buf_t field = {0};

	if (!item->section.n)
		buf_printf(&field, "%.*s:", STR_ARG(item->key));
	else if (str_eq(item->section, STR(SECTION_ADAPTERS)))
		buf_printf(&field, "adapters[%u].%.*s:", item->index - 1,
			   STR_ARG(item->key));
	else if (str_eq(item->key, STR("name")))
		buf_printf(&field, "params.%.*s:", STR_ARG(item->s));
	return field.n && strncmp(error, field.p, field.n) == 0;
}

/* Reports an error of the whole template at the line it is about. */
static void locate(file_t *f, const char *error)
{
	uint32_t line = 1;

	for (size_t i = 0; i < toml_count(f->doc); i++) {
		const toml_item_t *item = toml_at(f->doc, i);

		if (is_about(item, error))
			line = item->line;
	}
	buf_printf(f->errors, "%s:%u: %s\n", f->path, line, error);
	f->bad = true;
}

static void check_whole(file_t *f, const json_t *root)
{
	AUTO_BUF buf_t packed = {0};
	AUTO_BUF buf_t error = {0};
	Dk__Template *t;

	if (template_from_json(root, &packed, &error)) {
		locate(f, error.p);
		return;
	}
	t = dk__template__unpack(NULL, packed.n, (const uint8_t *)packed.p);
	if (!t || template_check(t, &error))
		locate(f, error.p ? error.p : "is malformed");
	if (t)
		dk__template__free_unpacked(t, NULL);
}

json_t *template_file_load(const char *path, buf_t *errors)
{
	toml_doc_t *doc = toml_parse_file(path, errors);
	file_t f = {path, doc, errors, false};
	json_t *root;

	if (!doc)
		return NULL;
	root = json_object();
	for (size_t i = 0; i < toml_count(doc); i++)
		add_item(&f, root, toml_at(doc, i));
	if (!f.bad)
		check_whole(&f, root);
	toml_free(doc);
	if (!f.bad)
		return root;
	json_decref(root);
	return NULL;
}

bool template_file_detect(const char *path)
{
	AUTO_BUF buf_t ignored = {0};
	toml_doc_t *doc = toml_parse_file(path, &ignored);
	bool name = false;
	bool host = false;

	if (!doc)
		return false;
	for (size_t i = 0; i < toml_count(doc); i++) {
		const toml_item_t *item = toml_at(doc, i);

		name |= !item->section.n && str_eq(item->key, STR("name"));
		host |= str_eq(item->section, STR("host"));
	}
	toml_free(doc);
	return name && !host;
}
