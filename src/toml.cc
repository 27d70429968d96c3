/* toml.cc - the one C++ file: flattens a toml++ document for C callers. */
#include "toml.h"

#include <algorithm>
#include <deque>
#include <fstream>
#include <iterator>
#include <string>
#include <vector>

#include <toml++/toml.h>

struct toml_doc {
	std::deque<std::string> strings; /* stable addresses */
	std::vector<toml_item_t> items;
};

namespace
{

str_t keep(toml_doc_t *doc, std::string_view s)
{
	const std::string &own = doc->strings.emplace_back(s);

	return str_n(own.data(), own.size());
}

/* Where the walk over the document is. */
struct place {
	str_t section;
	uint32_t index;
};

void add_value(toml_doc_t *doc, const place &at, str_t key, uint32_t element,
	       const toml::node &node)
{
	toml_item_t item = {};

	item.section = at.section;
	item.table_index = at.index;
	item.key = key;
	item.element_index = element;
	item.line = node.source().begin.line;
	item.kind = TOML_OTHER;
	if (const auto *s = node.as_string()) {
		item.kind = TOML_STRING;
		item.string = keep(doc, s->get());
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

str_t join(toml_doc_t *doc, str_t section, std::string_view key)
{
	std::string path(section.p ? section.p : "", section.n);

	if (!path.empty())
		path += '.';
	path += key;
	return keep(doc, path);
}

void add_table(toml_doc_t *doc, const place &at, const toml::table &table);

void add_array(toml_doc_t *doc, const place &at, std::string_view key,
	       const toml::array &array)
{
	uint32_t n = 0;

	if (array.empty()) {
		add_value(doc, at, keep(doc, key), 0, array);
		return;
	}
	for (const toml::node &node : array) {
		n++;
		if (const toml::table *t = node.as_table())
			add_table(doc, {join(doc, at.section, key), n}, *t);
		else
			add_value(doc, at, keep(doc, key), n, node);
	}
}

void add_table(toml_doc_t *doc, const place &at, const toml::table &table)
{
	for (const auto &[key, node] : table) {
		if (const toml::table *t = node.as_table())
			add_table(doc, {join(doc, at.section, key.str()), 0},
				  *t);
		else if (const toml::array *a = node.as_array())
			add_array(doc, at, key.str(), *a);
		else
			add_value(doc, at, keep(doc, key.str()), 0, node);
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
		buf_printf(errors, "%s:0: the file cannot be read\n", path);
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
