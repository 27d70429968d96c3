/*
 * toml.cc - flattens a toml++ document for C callers. The only C++ source,
 * because toml++ is a C++ library.
 */
#include "toml.h"

#include <algorithm>
#include <deque>
#include <fstream>
#include <iterator>
#include <string>
#include <vector>

#include <toml++/toml.h>

struct toml_doc {
	std::deque<std::string> strings; /* a deque, for stable addresses */
	std::vector<toml_item_t> items;
};

namespace
{

/* A copy of s that lives as long as the document. */
str_t copy_string(toml_doc_t *doc, std::string_view s)
{
	const std::string &copy = doc->strings.emplace_back(s);

	return str_n(copy.data(), copy.size());
}

/* The table that the walk over the document is in; see toml_item_t. */
struct table_position {
	str_t section;
	uint32_t table_index;
};

void add_value(toml_doc_t *doc, const table_position &position, str_t key,
	       uint32_t element_index, const toml::node &node)
{
	toml_item_t item = {};

	item.section = position.section;
	item.table_index = position.table_index;
	item.key = key;
	item.element_index = element_index;
	item.line = node.source().begin.line;
	item.kind = TOML_OTHER;
	if (const auto *s = node.as_string()) {
		item.kind = TOML_STRING;
		item.string = copy_string(doc, s->get());
	} else if (const auto *i = node.as_integer()) {
		item.kind = TOML_INTEGER;
		item.integer = i->get();
		item.number = (double)item.integer;
	} else if (const auto *f = node.as_floating_point()) {
		item.kind = TOML_FLOAT;
		item.number = f->get();
	} else if (const auto *b = node.as_boolean()) {
		item.kind = TOML_BOOL;
		item.boolean = b->get();
	} else if (node.is_array()) {
		item.kind = TOML_EMPTY_ARRAY;
	}
	doc->items.push_back(item);
}

/* The dotted path of a table inside section. */
str_t join_path(toml_doc_t *doc, str_t section, std::string_view key)
{
	std::string path(section.p ? section.p : "", section.n);

	if (!path.empty())
		path += '.';
	path += key;
	return copy_string(doc, path);
}

void add_table(toml_doc_t *doc, const table_position &position,
	       const toml::table &table);

void add_array(toml_doc_t *doc, const table_position &position,
	       std::string_view key, const toml::array &array)
{
	uint32_t element_index = 0;

	if (array.empty()) {
		add_value(doc, position, copy_string(doc, key), 0, array);
		return;
	}
	for (const toml::node &node : array) {
		element_index++;
		if (const toml::table *t = node.as_table())
			add_table(doc,
				  {join_path(doc, position.section, key),
				   element_index},
				  *t);
		else
			add_value(doc, position, copy_string(doc, key),
				  element_index, node);
	}
}

void add_table(toml_doc_t *doc, const table_position &position,
	       const toml::table &table)
{
	for (const auto &[key, node] : table) {
		if (const toml::table *t = node.as_table())
			add_table(doc,
				  {join_path(doc, position.section, key.str()),
				   0},
				  *t);
		else if (const toml::array *a = node.as_array())
			add_array(doc, position, key.str(), *a);
		else
			add_value(doc, position, copy_string(doc, key.str()), 0,
				  node);
	}
}

} // namespace

extern "C" toml_doc_t *toml_parse(str_t text, str_t name, buf_t *errors)
{
	toml_doc_t *doc = new toml_doc;

	try {
		toml::table table = toml::parse(
			std::string_view(text.p ? text.p : "", text.n),
			std::string_view(name.p ? name.p : "", name.n));

		add_table(doc, {str_n(nullptr, 0), 0}, table);
	} catch (const toml::parse_error &e) {
		buf_printf(errors, "%.*s:%u: %.*s\n", STR_ARG(name),
			   (unsigned int)e.source().begin.line,
			   (int)e.description().size(), e.description().data());
		delete doc;
		return nullptr;
	}
	std::stable_sort(doc->items.begin(), doc->items.end(),
			 [](const toml_item_t &a, const toml_item_t &b) {
				 return a.line < b.line;
			 });
	return doc;
}

extern "C" toml_doc_t *toml_parse_file(const char *path, buf_t *errors)
{
	std::ifstream in(path, std::ios::binary);

	if (!in) {
		buf_printf(errors, "%s:0: cannot read the file\n", path);
		return nullptr;
	}
	std::string text{std::istreambuf_iterator<char>(in),
			 std::istreambuf_iterator<char>()};

	return toml_parse(str_n(text.data(), text.size()), str_c(path), errors);
}

extern "C" void toml_free(toml_doc_t *doc)
{
	delete doc;
}

extern "C" size_t toml_item_count(const toml_doc_t *doc)
{
	return doc->items.size();
}

extern "C" const toml_item_t *toml_item_at(const toml_doc_t *doc, size_t i)
{
	return &doc->items[i];
}

extern "C" const char *toml_kind_name(toml_kind_t kind)
{
	static const char *const names[] = {"a string", "an integer",
					    "a number", "true or false",
					    "an array", "a date or time"};

	return names[kind];
}
